package fleet

import "github.com/cespare/xxhash/v2"

// Server is one start of a backend server, as it tells in the directory; it is immutable.
type Server struct {
	id       string
	hash     uint64
	address  string
	zone     string
	service  string
	slots    int
	draining bool
	// born is the start of the server in milliseconds since 1970, or zero if it is not told.
	born    int64
	weights map[string]uint64
}

// NewServer returns a server; weights are the versions of its models' weights, and the map must not be changed later.
func NewServer(id, address, zone, service string, slots int, draining bool, born int64, weights map[string]uint64) *Server {
	return &Server{
		id:       id,
		hash:     xxhash.Sum64String(id),
		address:  address,
		zone:     zone,
		service:  service,
		slots:    slots,
		draining: draining,
		born:     born,
		weights:  weights,
	}
}

// ID returns the id under which the server refuses calls for others at its address.
func (sv *Server) ID() string { return sv.id }

// Hash returns a hash of the id, for rendezvous hashing.
func (sv *Server) Hash() uint64 { return sv.hash }

// Address returns the IP and port that take calls.
func (sv *Server) Address() string { return sv.address }

// Zone returns the availability zone.
func (sv *Server) Zone() string { return sv.zone }

// Service returns the name of the service.
func (sv *Server) Service() string { return sv.service }

// Slots returns how many calls the server runs at once, or zero if it is not told.
func (sv *Server) Slots() int { return sv.slots }

// Draining reports whether the server takes no new calls.
func (sv *Server) Draining() bool { return sv.draining }

// Born returns the start of the server in milliseconds since 1970, or zero.
func (sv *Server) StartUnixMilli() int64 { return sv.born }

// Weights returns the version of a model's weights that the server told last, or zero.
func (sv *Server) WeightVersion(model string) uint64 { return sv.weights[model] }

// Models returns the versions of all models' weights; the map must not be changed.
func (sv *Server) WeightVersions() map[string]uint64 { return sv.weights }
