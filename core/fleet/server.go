package fleet

import "github.com/cespare/xxhash/v2"

// Server is one run of a backend server process, as its directory entry or its tender describes it; it is immutable.
type Server struct {
	id       string
	hash     uint64
	address  string
	zone     string
	service  string
	slots    int
	draining bool
	// startUnixMilli is the start time of the process in milliseconds since the Unix epoch, or zero if unknown.
	startUnixMilli int64
	// sequence counts the writes of the directory entry since the start.
	sequence       uint64
	weightVersions map[string]uint64
	// softwareVersion is the version of the server's software; it is not ordered.
	softwareVersion string
}

// NewServer returns a server; weightVersions holds the weight version of each model, and the map must not be changed later.
func NewServer(id, address, zone, service string, slots int, draining bool, startUnixMilli int64,
	weightVersions map[string]uint64) *Server {
	return &Server{
		id:             id,
		hash:           Hash(id),
		address:        address,
		zone:           zone,
		service:        service,
		slots:          slots,
		draining:       draining,
		startUnixMilli: startUnixMilli,
		weightVersions: weightVersions,
	}
}

// Hash returns the hash of a server's id.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// WithSequence returns a copy of the server with the number of times that its directory entry was written since its start.
func (sv *Server) WithSequence(sequence uint64) *Server {
	out := *sv
	out.sequence = sequence
	return &out
}

// WithSoftwareVersion returns a copy of the server with the version of its software.
func (sv *Server) WithSoftwareVersion(version string) *Server {
	out := *sv
	out.softwareVersion = version
	return &out
}

// SoftwareVersion returns the version of the server's software, or "" if unknown. Versions are not ordered.
func (sv *Server) SoftwareVersion() string { return sv.softwareVersion }

// ID returns the id of the run; the server rejects calls that are addressed to another id.
func (sv *Server) ID() string { return sv.id }

// Hash returns the hash of the id.
func (sv *Server) Hash() uint64 { return sv.hash }

// Address returns the IP and port at which the server accepts calls.
func (sv *Server) Address() string { return sv.address }

// Zone returns the availability zone.
func (sv *Server) Zone() string { return sv.zone }

// Service returns the name of the service.
func (sv *Server) Service() string { return sv.service }

// Slots returns the maximum number of calls that the server runs at once, or zero if unknown.
func (sv *Server) Slots() int { return sv.slots }

// Draining reports whether the server accepts no new calls.
func (sv *Server) Draining() bool { return sv.draining }

// StartUnixMilli returns the start time of the process in milliseconds since the Unix epoch, or zero if unknown.
func (sv *Server) StartUnixMilli() int64 { return sv.startUnixMilli }

// WeightVersion returns the version of a model's weights that the server reported last, or zero if unknown.
func (sv *Server) WeightVersion(model string) uint64 { return sv.weightVersions[model] }

// WeightVersions returns the weight version of each model; the map must not be changed.
func (sv *Server) WeightVersions() map[string]uint64 { return sv.weightVersions }
