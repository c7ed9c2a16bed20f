package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/stamp"
)

// Server is a backend server as an entry process sees it; it is immutable once published in a View.
type Server struct {
	address             string
	hash                uint64
	zone                string
	service             string
	status              Status
	pendingWork         time.Duration
	consecutiveFailures int
	// statusReceivedAt is the time at which the last status was received, zero if there is none, and retryAt the time from
	// which an ejected server may be used again. Both are in nanoseconds since 1970, since placement reads them for each
	// server.
	statusReceivedAt int64
	retryAt          int64
}

// LoadingWeights is the weight version that an agent reports while its engine loads weights. No request asks for it.
const LoadingWeights = "loading"

// Status is the status that an agent reports for itself and its backend server.
type Status struct {
	stamp             stamp.Stamp
	incarnation       uint64
	engineIncarnation uint64
	epoch             uint64
	weightVersion     string
	queueWait         time.Duration
	prefillRate       float64
	leaving           bool
}

// NewStatus returns a status that an agent reported at reportedAt. The incarnation is that of the agent and
// engineIncarnation that of its backend server, queueWait is the expected time until a new request would start, and
// prefillRate is in tokens per second, zero for plain services.
func NewStatus(reportedAt stamp.Stamp, incarnation, engineIncarnation, epoch uint64, weightVersion string,
	queueWait time.Duration, prefillRate float64, leaving bool) Status {
	return Status{
		stamp:             reportedAt,
		incarnation:       incarnation,
		engineIncarnation: engineIncarnation,
		epoch:             epoch,
		weightVersion:     weightVersion,
		queueWait:         queueWait,
		prefillRate:       prefillRate,
		leaving:           leaving,
	}
}

// Incarnation returns the incarnation of the agent, which changes at each start.
func (st Status) Incarnation() uint64 { return st.incarnation }

// EngineIncarnation returns the incarnation of the backend server, which changes at each start.
func (st Status) EngineIncarnation() uint64 { return st.engineIncarnation }

// Epoch returns the highest configuration epoch that the agent knows.
func (st Status) Epoch() uint64 { return st.epoch }

// WeightVersion returns the version of the weights that the engine serves, or LoadingWeights.
func (st Status) WeightVersion() string { return st.weightVersion }

// QueueWait returns the expected time until a new request would start.
func (st Status) QueueWait() time.Duration { return st.queueWait }

// PrefillRate returns the prefill rate of the engine in prompt tokens per second.
func (st Status) PrefillRate() float64 { return st.prefillRate }

// Stamp returns the hybrid logical time at which the agent reported the status.
func (st Status) Stamp() stamp.Stamp { return st.stamp }

// Leaving reports whether the agent accepts no new work.
func (st Status) Leaving() bool { return st.leaving }

// NewServer returns a server without a status; address is that of its agent.
func NewServer(address, zone, service string) *Server {
	return &Server{address: address, hash: xxhash.Sum64String(address), zone: zone, service: service}
}

// Address returns the address of the server's agent.
func (sv *Server) Address() string { return sv.address }

// Hash returns the hash of the address for rendezvous hashing.
func (sv *Server) Hash() uint64 { return sv.hash }

// Zone returns the availability zone of the server's VM.
func (sv *Server) Zone() string { return sv.zone }

// Service returns the name of the service that the server belongs to.
func (sv *Server) Service() string { return sv.service }

// Status returns the latest status of the agent, or the zero Status.
func (sv *Server) Status() Status { return sv.status }

// HasStatus reports whether the agent has ever reported a status.
func (sv *Server) HasStatus() bool { return sv.statusReceivedAt != 0 }

// ExpectedWait returns the expected time until a new request would start: the queue wait in the last status, plus the
// work that this entry has sent since, less the time elapsed.
func (sv *Server) ExpectedWait(now time.Time) time.Duration {
	age := time.Duration(now.UnixNano() - sv.statusReceivedAt)
	return max(sv.status.queueWait+sv.pendingWork-age, 0)
}

// PrefillRate returns the reported prefill rate in prompt tokens per second.
func (sv *Server) PrefillRate() float64 { return sv.status.prefillRate }

// Usable reports whether new work may be sent to the server: it is neither leaving nor ejected.
func (sv *Server) Usable(now time.Time) bool {
	return !sv.status.leaving && now.UnixNano() >= sv.retryAt
}
