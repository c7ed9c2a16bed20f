package quota

import "time"

// Parameters of the schedule. All dispensers of a server together give out less than 1.09 times its limit, whichever of them reply. In any 4 s, the
// server gets less than (4 s + validity) * 1.09 < 6 s times its limit, and one request for the first dispenser.
const (
	// validity is how long a slot can be used.
	validity = 1500 * time.Millisecond
	// horizon is how far ahead slots are given out.
	horizon = time.Second
	// firstShare and secondShare are the parts of the limit that the first two dispensers of a server give out. The others share lastShare.
	firstShare  = 0.9
	secondShare = 0.12
	lastShare   = 0.06
	// handover is how long after a process got slots from another dispenser this one gives out secondShare at most.
	handover = 6 * time.Second
	// batch is the time whose slots one process may get at once.
	batch = 250 * time.Millisecond
	// maxSlots bounds the slots that a process wants to hold for a server.
	maxSlots = 64
	// maxRetry bounds the time after which a process that got no slot may ask again.
	maxRetry = 5 * time.Second
	// maxLimit is the limit per second from which on a server counts as unlimited.
	maxLimit = 10_000
)

// Share returns the part of a server's limit that a dispenser gives out, given its rank among a number of dispensers.
func Share(rank, dispensers int) float64 {
	switch rank {
	case 0:
		return firstShare
	case 1:
		return secondShare
	}
	return lastShare / float64(max(dispensers, 1))
}

// Ask is a request for slots of a server. It also reports the limit that the server last named to the asking process.
type Ask struct {
	server         string
	startUnixMilli int64
	perSecond      float64
	age            time.Duration
	count          int
	elsewhere      time.Duration
}

// NewAsk returns a request for a number of slots of the server with an id and a start time in Unix milliseconds. perSecond is its limit, or
// zero if it names none any more, as of an answer that came a duration age ago.
func NewAsk(server string, startUnixMilli int64, perSecond float64, age time.Duration, count int) Ask {
	return Ask{server: server, startUnixMilli: startUnixMilli, perSecond: perSecond, age: age, count: count}
}

// WithElsewhere returns the ask of a process that last got slots of the server from another dispenser a duration ago, which must be positive.
func (ak Ask) WithElsewhere(ago time.Duration) Ask {
	ak.elsewhere = ago
	return ak
}

// Elsewhere returns how long ago the process last got slots from another dispenser, or zero if it did not.
func (ak Ask) Elsewhere() time.Duration { return ak.elsewhere }

// Server returns the id of the server.
func (ak Ask) Server() string { return ak.server }

// StartUnixMilli returns the start time of the server in Unix milliseconds, or zero if it is unknown.
func (ak Ask) StartUnixMilli() int64 { return ak.startUnixMilli }

// PerSecond returns the limit in requests per second, or zero if the server names none any more.
func (ak Ask) PerSecond() float64 { return ak.perSecond }

// Age returns how long ago the server named that limit.
func (ak Ask) Age() time.Duration { return ak.age }

// Count returns the number of slots that are wanted.
func (ak Ask) Count() int { return ak.count }

// Grant is the reply to an Ask.
type Grant struct {
	count    int
	delay    time.Duration
	interval time.Duration
	retry    time.Duration
	ended    bool
}

// NewGrant returns a grant of a number of slots, the first one after delay and the others each an interval later. If there are none, the process
// may ask again after retry. ended reports that the server names no limit any more.
func NewGrant(count int, delay, interval, retry time.Duration, ended bool) Grant {
	return Grant{count: count, delay: delay, interval: interval, retry: retry, ended: ended}
}

// Count returns the number of slots.
func (gr Grant) Count() int { return gr.count }

// Delay returns the time until the first slot.
func (gr Grant) Delay() time.Duration { return gr.delay }

// Interval returns the time between slots.
func (gr Grant) Interval() time.Duration { return gr.interval }

// Retry returns the time after which a process that got no slot may ask again.
func (gr Grant) Retry() time.Duration { return gr.retry }

// Ended reports whether the server names no limit any more.
func (gr Grant) Ended() bool { return gr.ended }
