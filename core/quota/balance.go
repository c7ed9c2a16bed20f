package quota

import (
	"maps"
	"time"
)

// balance is what a dispenser knows of the limit of one workspace.
type balance struct {
	limit Limit
	rank  int
	// level is what can be given out, as of at; it is negative after a grant on credit.
	level float64
	at    time.Time
	// elsewhereAt is when another dispenser last gave out tokens, as far as is known.
	elsewhereAt time.Time
	// tookOverAt is when the dispenser took over from another one, and gates the number of gates then.
	tookOverAt time.Time
	gates      int
	leases     map[string]*lease
}

// lease is what a process has got.
type lease struct {
	held    float64
	askedAt time.Time
	wants   bool
}

// Place is the place of a dispenser among those of a limit.
type Place struct {
	// Rank is the number of dispensers before this one that may be giving out tokens, and Dispensers the number of all.
	Rank, Dispensers int
}

// SetBounds sets by how much limits of workspaces may be exceeded, and the time at which the dispenser began.
func (dp *Dispenser) SetBounds(now time.Time, bd Bounds) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.bounds, dp.began = bd, now
}

// DispenseTokens replies to an ask of a process for tokens.
func (dp *Dispenser) DispenseTokens(now time.Time, ak TokenAsk, process string, pc Place) TokenGrant {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	bl, ok := dp.balances[ak.Limit.name]
	if !ok {
		maps.DeleteFunc(dp.balances, func(_ string, old *balance) bool { return now.Sub(old.at) > ledgerTTL })
		bl = &balance{limit: ak.Limit, rank: -1, at: now, leases: make(map[string]*lease)}
		dp.balances[ak.Limit.name] = bl
	}
	if ak.Limit.version > bl.limit.version {
		bl.limit = ak.Limit
	}
	if !bl.limit.binds() {
		return TokenGrant{Amount: max(ak.Need, 0) + max(ak.Ahead, 0)}
	}
	bl.settle(now, ak, process)
	rank := bl.effectiveRank(now, pc)
	pl := newPlan(bl.limit, dp.bounds, rank, pc.Dispensers)
	bl.refill(now, ak, pl, dp.began, dp.bounds.Window, rank, pc.Dispensers)
	if ak.releases() {
		delete(bl.leases, process)
		return TokenGrant{}
	}
	return bl.grant(ak, process, pl, now)
}

// settle takes back what the process no longer has and did not use.
func (bl *balance) settle(now time.Time, ak TokenAsk, process string) {
	ls, ok := bl.leases[process]
	if !ok {
		ls = &lease{}
		bl.leases[process] = ls
	}
	held := max(ak.Held, 0)
	bl.level += max(ls.held-max(ak.Used, 0)-held, 0)
	// A process that has used more than it held pays that back.
	bl.level += min(ak.Held, 0)
	ls.held, ls.askedAt, ls.wants = held, now, ak.Need > 0
}

// effectiveRank returns the rank with which the dispenser gives out tokens. Another dispenser takes the place of the first once most processes ask
// it, which they do if the first does not reply; a first one that most holders no longer ask is assumed to be cut off.
func (bl *balance) effectiveRank(now time.Time, pc Place) int {
	asking, silent := 0, 0
	for process, ls := range bl.leases {
		switch age := now.Sub(ls.askedAt); {
		case age > isolationTTL:
			delete(bl.leases, process)
		case age > majorityTTL:
			silent++
		default:
			asking++
		}
	}
	switch {
	case pc.Rank == 0 && silent+asking >= minHolders && silent > asking:
		return 1
	case pc.Rank > 0 && 2*asking > pc.Dispensers:
		return 0
	}
	return pc.Rank
}

// refill adds what the time since the last ask brings. A dispenser that has begun lately, or takes over, does not know what others gave out
// and begins low.
func (bl *balance) refill(now time.Time, ak TokenAsk, pl plan, began time.Time, window time.Duration, rank, gates int) {
	most := pl.total - bl.outstanding(now)
	switch {
	case bl.rank < 0:
		bl.level += pl.start + pl.rate*max(now.Sub(began).Seconds(), 0)
	case rank != bl.rank:
		bl.level, bl.at = min(bl.level, pl.start), now
	}
	bl.rank = rank
	bl.level = min(bl.level+bl.currentRate(now, pl)*max(now.Sub(bl.at).Seconds(), 0), most)
	bl.at = now
	if ak.Elsewhere > 0 && ak.Elsewhere < window {
		if now.Sub(bl.elsewhereAt) > window {
			bl.level, bl.tookOverAt, bl.gates = min(bl.level, pl.start), now, gates
		}
		bl.elsewhereAt = now
	}
}

// currentRate returns what the balance grows by in a second. Just after a dispenser has taken over, gates that do not know it yet may get tokens
// from the former one, so that it gives out the part of those that ask it: both rates for half a second were 1.03 of the bound in a flood.
func (bl *balance) currentRate(now time.Time, pl plan) float64 {
	if bl.tookOverAt.IsZero() || now.Sub(bl.tookOverAt) > takeOverTime || bl.gates == 0 {
		return pl.rate
	}
	return pl.rate * min(float64(len(bl.leases))/float64(bl.gates), 1)
}

// outstanding returns what processes hold at most.
func (bl *balance) outstanding(now time.Time) float64 {
	held := 0.0
	for _, ls := range bl.leases {
		if now.Sub(ls.askedAt) <= leaseTTL+leaseMargin {
			held += ls.held
		}
	}
	return held
}

// countWanting returns how many processes have lately asked for tokens that requests waited for.
func (bl *balance) countWanting(now time.Time) int {
	wanting := 0
	for _, ls := range bl.leases {
		if ls.wants && now.Sub(ls.askedAt) <= renewInterval {
			wanting++
		}
	}
	return wanting
}

// grant gives out what is needed as long as the balance is positive, also on credit, and a part of the balance ahead of need.
func (bl *balance) grant(ak TokenAsk, process string, pl plan, now time.Time) TokenGrant {
	need, amount := max(ak.Need, 0), 0.0
	if bl.level > 0 {
		amount = min(need, bl.level+pl.debt)
	}
	bl.level -= amount
	// The rest stays for processes that need it: at 45 gates and 36,000 tokens a second, allowances that nobody used left too little for large requests.
	const aheadPart, reservePart = 0.25, 0.4
	ahead := max(min(ak.Ahead, aheadPart*(bl.level-reservePart*pl.total)), 0)
	bl.level -= ahead
	bl.leases[process].held += amount + ahead
	gr := TokenGrant{Amount: amount + ahead}
	if amount < need {
		rate := max(pl.rate, 1e-3)
		gr.Retry = min(max(seconds(-bl.level/rate), time.Duration(bl.countWanting(now))*askerInterval, minDenied), maxDenied)
		gr.CallerRetry = min(max(seconds((need-amount-bl.level)/rate), minCallerRetry), maxCallerRetry)
	}
	return gr
}
