package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/stamp"
)

// Server is one backend server as an entry process sees it; it is immutable.
type Server struct {
	address string
	hash    uint64
	zone    string
	service string
	status  Status
	pending time.Duration
	faults  int
	// seen is when the agent was last heard of and retryAt when an ejected server may be tried again, in nanoseconds
	// since 1970; placement reads them for each server.
	seen    int64
	retryAt int64
}

// LoadingWeights is the version that an agent tells while its engine loads weights; no request asks for it.
const LoadingWeights = "loading"

// Status is what an agent says of itself and its backend server.
type Status struct {
	stamp       stamp.Stamp
	incarnation uint64
	engine      uint64
	epoch       uint64
	weights     string
	wait        time.Duration
	prefillRate float64
	leaving     bool
}

// NewStatus returns a status that an agent gave at a time. The incarnation is the agent's and engine that of its backend server, wait is the time
// until a new request would start, and prefillRate is in tokens per second, zero for plain services.
func NewStatus(st stamp.Stamp, incarnation, engine, epoch uint64, weights string, wait time.Duration, prefillRate float64, leaving bool) Status {
	return Status{
		stamp:       st,
		incarnation: incarnation,
		engine:      engine,
		epoch:       epoch,
		weights:     weights,
		wait:        wait,
		prefillRate: prefillRate,
		leaving:     leaving,
	}
}

// Incarnation returns the number that is new at each start of the agent.
func (st Status) Incarnation() uint64 { return st.incarnation }

// Engine returns the number that is new at each start of the backend server.
func (st Status) EngineIncarnation() uint64 { return st.engine }

// Epoch returns the highest configuration epoch that the agent knows.
func (st Status) Epoch() uint64 { return st.epoch }

// Weights returns the version of the weights that the engine serves.
func (st Status) Weights() string { return st.weights }

// Wait returns the time until a new request would start.
func (st Status) QueueWait() time.Duration { return st.wait }

// PrefillRate returns how many prompt tokens a second the engine computes.
func (st Status) PrefillRate() float64 { return st.prefillRate }

// Stamp returns the hybrid time at which the agent gave the status.
func (st Status) Stamp() stamp.Stamp { return st.stamp }

// Leaving reports whether the agent takes no new work.
func (st Status) Leaving() bool { return st.leaving }

// NewServer returns a server of which nothing but its place is known.
func NewServer(address, zone, service string) *Server {
	return &Server{address: address, hash: xxhash.Sum64String(address), zone: zone, service: service}
}

// Address returns the address of the server's agent.
func (sv *Server) Address() string { return sv.address }

// Hash returns a hash of the address, for rendezvous hashing.
func (sv *Server) Hash() uint64 { return sv.hash }

// Zone returns the availability zone of the server's VM.
func (sv *Server) Zone() string { return sv.zone }

// Service returns the name of the service that the server belongs to.
func (sv *Server) Service() string { return sv.service }

// Status returns what the agent said last.
func (sv *Server) Status() Status { return sv.status }

// Known reports whether the agent has ever been heard of.
func (sv *Server) HasStatus() bool { return sv.seen != 0 }

// Wait returns the expected time until a new request would start: the agent's word and the work that this entry has
// sent since then.
func (sv *Server) ExpectedWait(now time.Time) time.Duration {
	age := time.Duration(now.UnixNano() - sv.seen)
	return max(sv.status.wait+sv.pending-age, 0)
}

// PrefillRate returns the prompt tokens a second to expect.
func (sv *Server) PrefillRate() float64 { return sv.status.prefillRate }

// Usable reports whether new work may be sent to the server.
func (sv *Server) Usable(now time.Time) bool {
	return !sv.status.leaving && now.UnixNano() >= sv.retryAt
}
