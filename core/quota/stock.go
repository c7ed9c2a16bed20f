package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// holdingTTL is how long a limit is kept after it was last named, once other servers name limits.
	holdingTTL = 10 * time.Minute
	// failedRetry is the time after which a process asks again if it got no reply.
	failedRetry = 250 * time.Millisecond
)

// Stock holds the slots that one process has for servers with limits; its methods may be called from any goroutine.
type Stock struct {
	// wanted receives a value when asks are due.
	wanted chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	holdings map[string]*holding
	// accounts are those of the limits of workspaces, by name.
	accounts map[string]*account
}

// holding is what a process has for one server.
type holding struct {
	startUnixMilli int64
	// perSecond is the limit in the last answer, at namedAt. It is zero once the server names none any more, until that is reported.
	perSecond float64
	namedAt   time.Time
	// slots are the times from which on a request may pass, in ascending order.
	slots []time.Time
	// target is how many slots the process wants to hold: it grows with an ask if a request has lacked one since the ask before, which lacked
	// records, and shrinks if one expires.
	target int
	lacked bool
	// due is set if an ask is due, asking while one has no reply. No ask is due before askAfter.
	due      bool
	asking   bool
	askAfter time.Time
}

// NewStock returns a stock for a process that knows of no limits.
func NewStock() *Stock {
	return &Stock{wanted: make(chan struct{}, 1), holdings: make(map[string]*holding),
		accounts: make(map[string]*account)}
}

// Observe records the limit in an answer of a server, in requests per second, or that it has none if perSecond is zero. The request was sent
// at sentAt: an answer to one that was sent before the last limit came may be older, and does not end the limit. Observe reports whether the server
// began or ceased to have a limit.
func (sk *Stock) Observe(now, sentAt time.Time, server string, startUnixMilli int64, perSecond float64) bool {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	hd := sk.holding(server, startUnixMilli)
	if hd != nil && startUnixMilli < hd.startUnixMilli {
		return false
	}
	if perSecond > 0 && perSecond < maxLimit {
		begins := hd == nil || hd.perSecond == 0
		if begins {
			maps.DeleteFunc(sk.holdings, func(_ string, old *holding) bool { return now.Sub(old.namedAt) > holdingTTL })
			hd = &holding{startUnixMilli: startUnixMilli, target: 1}
			sk.holdings[server] = hd
		}
		hd.perSecond, hd.namedAt = perSecond, now
		return begins
	}
	if hd == nil || hd.perSecond == 0 || sentAt.Before(hd.namedAt) {
		return false
	}
	// The other processes learn from the dispenser that the limit has ended.
	hd.perSecond, hd.namedAt, hd.slots = 0, now, nil
	hd.due = true
	sk.signal()
	return true
}

// Allows reports whether a request may be sent to a server now. limited is set if that takes a slot.
func (sk *Stock) Allows(now time.Time, server string, startUnixMilli int64) (allowed, limited bool) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	hd := sk.holding(server, startUnixMilli)
	if hd == nil || hd.perSecond == 0 {
		return true, false
	}
	hd.dropExpired(now)
	return len(hd.slots) > 0 && !now.Before(hd.slots[0]), true
}

// Take uses the first slot of a server, after Allows, and returns it for Return. The process wants another one.
func (sk *Stock) Take(now time.Time, server string) (slot time.Time) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	hd := sk.holdings[server]
	if hd == nil || len(hd.slots) == 0 {
		return time.Time{}
	}
	slot = hd.slots[0]
	hd.slots = hd.slots[1:]
	sk.want(now, hd)
	return slot
}

// Return gives a slot back that was taken for a run of a server but not used. A slot is worth nothing once the server has started again.
func (sk *Stock) Return(server string, startUnixMilli int64, slot time.Time) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if hd := sk.holdings[server]; hd != nil && hd.startUnixMilli == startUnixMilli && hd.perSecond > 0 && !slot.IsZero() {
		hd.slots = slices.Insert(hd.slots, 0, slot)
	}
}

// Want records that a request would have been sent to a server if there had been a slot.
func (sk *Stock) Want(now time.Time, server string) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	hd := sk.holdings[server]
	if hd == nil {
		return
	}
	hd.lacked = hd.lacked || len(hd.slots) == 0
	sk.want(now, hd)
}

// want makes an ask due if the stock lacks slots. The caller holds mu.
func (sk *Stock) want(now time.Time, hd *holding) {
	if hd.asking || now.Before(hd.askAfter) || len(hd.slots) >= hd.target {
		return
	}
	hd.due = true
	sk.signal()
}

// NextUse returns when a request may be sent to a server at the earliest, as far as is known.
func (sk *Stock) NextUse(now time.Time, server string, startUnixMilli int64) time.Time {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	hd := sk.holding(server, startUnixMilli)
	switch {
	case hd == nil || hd.perSecond == 0:
		return now
	case len(hd.slots) > 0:
		return hd.slots[0]
	}
	next := now.Add(min(seconds(1/hd.perSecond), maxRetry))
	if hd.askAfter.After(next) {
		return hd.askAfter
	}
	return next
}

// Wanted returns a channel that receives a value when TakeAsks has something to return.
func (sk *Stock) Wanted() <-chan struct{} { return sk.wanted }

// TakeAsks returns the asks that are due. The caller passes the reply to each to Apply, or calls Fail.
func (sk *Stock) TakeAsks(now time.Time) []Ask {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	var asks []Ask
	for server, hd := range sk.holdings {
		if !hd.due {
			continue
		}
		if hd.lacked {
			hd.target = min(2*hd.target, maxSlots)
		}
		hd.due, hd.asking, hd.lacked = false, true, false
		asks = append(asks, NewAsk(server, hd.startUnixMilli, hd.perSecond, now.Sub(hd.namedAt), max(hd.target-len(hd.slots), 1)))
	}
	return asks
}

// Apply adds the slots of a reply to an ask.
func (sk *Stock) Apply(now time.Time, ak Ask, gr Grant) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	hd := sk.holdings[ak.server]
	if hd == nil || hd.startUnixMilli != ak.startUnixMilli {
		return
	}
	hd.asking = false
	if hd.perSecond == 0 {
		// The end of the limit is reported.
		delete(sk.holdings, ak.server)
		return
	}
	if gr.ended && now.Sub(hd.namedAt) > ak.age {
		// The limit was not named again since the ask.
		delete(sk.holdings, ak.server)
		return
	}
	for i := range min(max(gr.count, 0), maxSlots) {
		hd.slots = append(hd.slots, now.Add(gr.delay+time.Duration(i)*gr.interval))
	}
	hd.askAfter = now.Add(gr.retry)
}

// Fail records that an ask got no reply.
func (sk *Stock) Fail(now time.Time, ak Ask) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if hd := sk.holdings[ak.server]; hd != nil && hd.startUnixMilli == ak.startUnixMilli {
		hd.asking, hd.askAfter = false, now.Add(failedRetry)
	}
}

// holding returns the holding of a server, or nil if it has none or has started again since. The caller holds mu.
func (sk *Stock) holding(server string, startUnixMilli int64) *holding {
	hd := sk.holdings[server]
	if hd != nil && startUnixMilli > hd.startUnixMilli && hd.startUnixMilli != 0 {
		delete(sk.holdings, server)
		return nil
	}
	return hd
}

// dropExpired drops the slots that can't be used any more.
func (hd *holding) dropExpired(now time.Time) {
	expired := 0
	for expired < len(hd.slots) && now.Sub(hd.slots[expired]) > validity {
		expired++
	}
	if expired > 0 {
		hd.slots = hd.slots[expired:]
		hd.target = max(hd.target/2, 1)
	}
}

// signal makes Wanted receive a value. The caller holds mu.
func (sk *Stock) signal() {
	select {
	case sk.wanted <- struct{}{}:
	default:
	}
}
