package quota

import (
	"sync"
	"time"
)

const (
	// ledgerTTL is how long a server without asks is kept.
	ledgerTTL = 10 * time.Minute
	// askerTTL is how long a process counts as one that asks for slots.
	askerTTL = 2 * maxRetry
)

// Dispenser gives out the slots of servers and the tokens of workspaces; its methods may be called from any goroutine.
type Dispenser struct {
	// mu guards the fields below.
	mu      sync.Mutex
	ledgers map[string]*ledger
	// balances are those of the limits of workspaces, by name.
	balances map[string]*balance
	bounds   Bounds
	began    time.Time
}

// ledger is what a dispenser knows of one server.
type ledger struct {
	startUnixMilli int64
	// perSecond is the limit of the latest answer that any process has reported, at observedAt.
	perSecond  float64
	observedAt time.Time
	// last is the time of the last slot that was given out.
	last    time.Time
	askedAt time.Time
	// elsewhereAt is when another dispenser last gave out slots, as far as is known.
	elsewhereAt time.Time
	// askers holds when each process last asked.
	askers map[string]time.Time
}

// NewDispenser returns a dispenser that has given out no slots.
func NewDispenser() *Dispenser {
	return &Dispenser{ledgers: make(map[string]*ledger), balances: make(map[string]*balance)}
}

// Dispense replies to an ask of a process; share is that of this dispenser, as Share returns it. A dispenser
// that takes over from another one begins with secondShare.
func (dp *Dispenser) Dispense(now time.Time, ak Ask, process string, share float64) Grant {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	lg, ok := dp.ledgers[ak.server]
	if !ok || ak.startUnixMilli > lg.startUnixMilli {
		dp.dropOld(now)
		lg = &ledger{startUnixMilli: ak.startUnixMilli, askers: make(map[string]time.Time)}
		dp.ledgers[ak.server] = lg
	}
	if ak.startUnixMilli < lg.startUnixMilli && ak.startUnixMilli != 0 {
		return NewGrant(0, 0, 0, 0, true)
	}
	if observedAt := now.Add(-max(ak.age, 0)); observedAt.After(lg.observedAt) {
		lg.perSecond, lg.observedAt = ak.perSecond, observedAt
	}
	lg.askedAt = now
	if ak.elsewhere > 0 && now.Add(-ak.elsewhere).After(lg.elsewhereAt) {
		lg.elsewhereAt = now.Add(-ak.elsewhere)
	}
	if now.Sub(lg.elsewhereAt) < handover {
		share = min(share, secondShare)
	}
	if share < firstShare && lg.last.IsZero() {
		// Another dispenser may have given out slots just now.
		lg.last = now
	}
	if lg.perSecond <= 0 {
		return NewGrant(0, 0, 0, 0, true)
	}
	if ak.perSecond <= 0 {
		return NewGrant(0, 0, 0, 0, false)
	}
	lg.askers[process] = now
	return lg.schedule(now, ak.count, lg.perSecond*share)
}

// schedule gives out the next slots of those per second, up to count.
func (lg *ledger) schedule(now time.Time, count int, rate float64) Grant {
	interval := seconds(1 / rate)
	first := lg.last.Add(interval)
	if lg.last.IsZero() || first.Before(now) {
		first = now
	}
	free := now.Add(horizon).Sub(first)
	if free < 0 {
		// All processes that want slots ask about twice as often as there are any.
		retry := max(-free, seconds(float64(lg.countAskers(now))/(2*rate)))
		return NewGrant(0, 0, 0, min(retry, maxRetry), false)
	}
	count = min(max(count, 1), max(int(batch.Seconds()*rate), 1), int(free/interval)+1)
	lg.last = first.Add(time.Duration(count-1) * interval)
	return NewGrant(count, first.Sub(now), interval, 0, false)
}

// countAskers returns how many processes have asked lately.
func (lg *ledger) countAskers(now time.Time) int {
	for process, at := range lg.askers {
		if now.Sub(at) > askerTTL {
			delete(lg.askers, process)
		}
	}
	return len(lg.askers)
}

// dropOld drops servers without asks. The caller holds mu.
func (dp *Dispenser) dropOld(now time.Time) {
	for id, lg := range dp.ledgers {
		if now.Sub(lg.askedAt) > ledgerTTL {
			delete(dp.ledgers, id)
		}
	}
}

// seconds returns a duration of the given seconds, at least a microsecond and at most a day.
func seconds(value float64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(max(value, 1e-6), day.Seconds()) * float64(time.Second))
}
