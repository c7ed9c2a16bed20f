package crash

import "time"

// Report is the crash of a server as one process saw it.
type Report struct {
	server   uint64
	address  uint64
	at       time.Time
	suspects map[uint64]time.Time
}

// NewReport returns a report: the hashes of the server's id and address, when it crashed, and for the hash of each part of the prompts that
// it was answering when the last of them was sent.
func NewReport(server, address uint64, at time.Time, suspects map[uint64]time.Time) Report {
	return Report{server: server, address: address, at: at, suspects: suspects}
}

// Server returns the hash of the server's id.
func (rp Report) Server() uint64 { return rp.server }

// Address returns the hash of the server's address.
func (rp Report) Address() uint64 { return rp.address }

// At returns when the server crashed.
func (rp Report) At() time.Time { return rp.at }

// Suspects returns when the last prompt with each part was sent, by the hash of the part; the map must not be changed.
func (rp Report) Suspects() map[uint64]time.Time { return rp.suspects }

// Sighting is the last time at which a prompt with a part was answered.
type Sighting struct {
	part uint64
	at   time.Time
}

// NewSighting returns a sighting of the part with a hash.
func NewSighting(part uint64, at time.Time) Sighting { return Sighting{part: part, at: at} }

// Part returns the hash of the part.
func (sg Sighting) Part() uint64 { return sg.part }

// At returns when a prompt with the part was answered.
func (sg Sighting) At() time.Time { return sg.at }
