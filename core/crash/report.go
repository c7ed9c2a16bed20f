package crash

import "time"

// Report is the crash of a server as one process saw it.
type Report struct {
	server   uint64
	address  uint64
	at       time.Time
	suspects map[uint64]time.Time
}

// NewReport returns a report: the hashes of the run of the server and of its address, when it crashed, and for each key of the requests that it
// was answering when the last of them was sent.
func NewReport(server, address uint64, at time.Time, suspects map[uint64]time.Time) Report {
	return Report{server: server, address: address, at: at, suspects: suspects}
}

// Server returns the hash of the run of the server.
func (rp Report) Server() uint64 { return rp.server }

// Address returns the hash of the server's address.
func (rp Report) Address() uint64 { return rp.address }

// At returns when the server crashed.
func (rp Report) At() time.Time { return rp.at }

// Suspects returns when the last request with each key was sent; the map must not be changed.
func (rp Report) Suspects() map[uint64]time.Time { return rp.suspects }

// Sighting is the last time at which a request with a key was answered.
type Sighting struct {
	part uint64
	at   time.Time
}

// NewSighting returns a sighting of a key.
func NewSighting(part uint64, at time.Time) Sighting { return Sighting{part: part, at: at} }

// Part returns the key.
func (sg Sighting) Part() uint64 { return sg.part }

// At returns when a request with the key was answered.
func (sg Sighting) At() time.Time { return sg.at }
