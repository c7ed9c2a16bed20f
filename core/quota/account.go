package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// account is what a process has of the limit of one workspace. The mutex of its Stock guards it.
type account struct {
	limit Limit
	// held is the allowance until expires; it is negative after a charge without one.
	held    float64
	expires time.Time
	// used is what was used since the last ask that got a reply, and asked the part of it that is in the ask under way.
	used, asked float64
	// demand and slowDemand are estimates per second as of demandAt, and size that of one request.
	demand     float64
	slowDemand float64
	demandAt   time.Time
	size       float64
	claims     []*Claim
	due        bool
	asking     bool
	// leased is set while the dispenser may count something as held.
	leased bool
	// askAfter is the earliest time of the next ask, and repliedAt that of the last reply.
	askAfter    time.Time
	repliedAt   time.Time
	usedAt      time.Time
	callerRetry time.Duration
	// refusing is set while requests are refused, until quietAfter.
	refusing   bool
	quietAfter time.Time
}

// Claim is the wish of one request to use tokens.
type Claim struct {
	name   string
	amount float64
	until  time.Time
	done   chan struct{}
	// granted is valid once done is closed; the mutex of the Stock guards it before.
	granted bool
	over    bool
	retry   time.Duration
}

// Done returns a channel that is closed once the claim is decided.
func (cl *Claim) Done() <-chan struct{} { return cl.done }

// Until returns when a claim that is not decided is to be given up.
func (cl *Claim) Until() time.Time { return cl.until }

// Granted reports whether the request may run, once the claim is decided.
func (cl *Claim) Granted() bool { return cl.granted }

// Retry returns the time after which a refused caller may return.
func (cl *Claim) Retry() time.Duration { return cl.retry }

func (cl *Claim) decide(granted bool, retry time.Duration) {
	if !cl.over {
		cl.over, cl.granted, cl.retry = true, granted, retry
		close(cl.done)
	}
}

// Claim asks for an amount of a limit. The claim is decided at once if the process holds enough or knows that it gets none in HoldTime.
// Otherwise the caller waits for Done, and calls GiveUp at Until.
func (sk *Stock) Claim(now time.Time, lm Limit, amount float64) *Claim {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	ac := sk.account(now, lm)
	cl := &Claim{name: lm.name, amount: amount, until: now.Add(HoldTime), done: make(chan struct{})}
	ac.addDemand(now, amount)
	ac.expire(now)
	switch {
	case len(ac.claims) == 0 && ac.held >= amount:
		ac.use(now, amount)
		cl.decide(true, 0)
	case ac.askAfter.After(cl.until) && !ac.asking:
		cl.decide(false, max(ac.callerRetry, minCallerRetry))
	default:
		ac.claims = append(ac.claims, cl)
	}
	if ac.wantsMore(now) {
		ac.due = true
	}
	if ac.due || len(ac.claims) > 0 {
		sk.signal()
	}
	return cl
}

// GiveUp refuses a claim that is not decided yet.
func (sk *Stock) GiveUp(cl *Claim) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	ac := sk.accounts[cl.name]
	if ac == nil {
		cl.decide(false, minCallerRetry)
		return
	}
	if i := slices.Index(ac.claims, cl); i >= 0 {
		ac.claims = slices.Delete(ac.claims, i, i+1)
	}
	cl.decide(false, max(ac.callerRetry, minCallerRetry))
}

// Credit gives back what a request was admitted for that did not run.
func (sk *Stock) Credit(now time.Time, name string, amount float64) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if ac := sk.accounts[name]; ac != nil {
		ac.expire(now)
		ac.held += amount
		ac.used -= amount
		ac.serve(now)
	}
}

// Charge uses an amount without asking, for a request that may run once more; what is not held is paid back later.
func (sk *Stock) Charge(now time.Time, name string, amount float64) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if ac := sk.accounts[name]; ac != nil {
		ac.expire(now)
		ac.use(now, amount)
		if ac.wantsMore(now) {
			ac.due = true
			sk.signal()
		}
	}
}

// Refusing records whether a request was refused, and reports whether requests of the limit began to be refused.
func (sk *Stock) Refusing(now time.Time, name string, quiet time.Duration) bool {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	ac := sk.accounts[name]
	if ac == nil {
		return false
	}
	began := !ac.refusing
	ac.refusing, ac.quietAfter = true, now.Add(quiet)
	return began
}

// Tick makes asks due that report use or return an allowance that is no longer wanted, and returns the limits of which no request has been refused for a
// while.
func (sk *Stock) Tick(now time.Time) (quiet []string) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	for name, ac := range sk.accounts {
		if ac.refusing && now.After(ac.quietAfter) {
			ac.refusing = false
			quiet = append(quiet, name)
		}
		ac.expire(now)
		if now.Sub(ac.repliedAt) >= renewInterval && (ac.leased || ac.held != 0 || ac.used != 0) || ac.wantsMore(now) && len(ac.claims) > 0 {
			ac.due = true
			sk.signal()
		}
	}
	maps.DeleteFunc(sk.accounts, func(_ string, ac *account) bool {
		return now.Sub(ac.usedAt) > accountTTL && ac.held >= 0 && !ac.leased && len(ac.claims) == 0 && !ac.asking && !ac.refusing
	})
	return quiet
}

// account returns the account of a limit and adapts it to a change.
func (sk *Stock) account(now time.Time, lm Limit) *account {
	ac := sk.accounts[lm.name]
	if ac == nil {
		ac = &account{limit: lm, demandAt: now, usedAt: now}
		sk.accounts[lm.name] = ac
	}
	if lm.version > ac.limit.version {
		if lm.rate < ac.limit.rate && ac.held > 0 {
			ac.held *= lm.rate / ac.limit.rate
		}
		ac.limit = lm
	}
	return ac
}

// addDemand records a request.
func (ac *account) addDemand(now time.Time, amount float64) {
	ac.demand, ac.slowDemand = ac.demandNow(now)
	ac.demand += amount / demandTime.Seconds()
	ac.slowDemand += amount / slowDemandTime.Seconds()
	ac.demandAt, ac.usedAt = now, now
	const sizeWeight = 0.1
	if ac.size == 0 {
		ac.size = amount
	}
	ac.size += sizeWeight * (amount - ac.size)
}

// demandNow returns the estimates of the demand per second.
func (ac *account) demandNow(now time.Time) (fast, slow float64) {
	elapsed := now.Sub(ac.demandAt).Seconds()
	return ac.demand * math.Exp(-elapsed/demandTime.Seconds()), ac.slowDemand * math.Exp(-elapsed/slowDemandTime.Seconds())
}

// target returns what the process wants to hold: what it needs until it asks again, and one request if there is one every few seconds.
func (ac *account) target(now time.Time) float64 {
	fast, slow := ac.demandNow(now)
	const sizes = 1.5
	return max(fast, slow)*aheadTime.Seconds() + min(sizes*ac.size, slow*slowDemandTime.Seconds())
}

func (ac *account) use(now time.Time, amount float64) {
	ac.held -= amount
	ac.used += amount
	ac.usedAt = now
}

// expire drops an allowance that was not renewed.
func (ac *account) expire(now time.Time) {
	if ac.held > 0 && now.After(ac.expires) {
		ac.held = 0
	}
}

// wantsMore reports whether an ask is due.
func (ac *account) wantsMore(now time.Time) bool {
	return !ac.asking && !now.Before(ac.askAfter) && (len(ac.claims) > 0 || ac.held < ac.target(now)/2)
}

// serve decides the claims in order as far as the allowance suffices.
func (ac *account) serve(now time.Time) {
	for len(ac.claims) > 0 && ac.held >= ac.claims[0].amount {
		cl := ac.claims[0]
		ac.claims = ac.claims[1:]
		ac.use(now, cl.amount)
		cl.decide(true, 0)
	}
}

// TakeTokenAsks returns the asks for tokens that are due. The caller passes the reply to each to ApplyTokens, or calls FailTokens.
func (sk *Stock) TakeTokenAsks(now time.Time) []TokenAsk {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	var asks []TokenAsk
	for _, ac := range sk.accounts {
		if ac.asking || !ac.due && (len(ac.claims) == 0 || now.Before(ac.askAfter)) {
			continue
		}
		ac.expire(now)
		ac.due, ac.asking, ac.asked = false, true, ac.used
		waiting := 0.0
		for _, cl := range ac.claims {
			waiting += cl.amount
		}
		target := ac.target(now)
		if len(ac.claims) == 0 && target < 1 {
			// Below one token a second, the limit is not in use.
			target = 0
		}
		if len(ac.claims) == 0 {
			ac.held = min(ac.held, 2*target)
		}
		ak := TokenAsk{Limit: ac.limit, Held: ac.held, Used: ac.used, Need: max(waiting-max(ac.held, 0), 0)}
		ak.Ahead = max(target-max(ac.held-waiting, 0), 0)
		asks = append(asks, ak)
	}
	return asks
}

// ApplyTokens adds the tokens of a reply to an ask that was sent at askedAt.
func (sk *Stock) ApplyTokens(now, askedAt time.Time, ak TokenAsk, gr TokenGrant) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	ac := sk.accounts[ak.Limit.name]
	if ac == nil {
		return
	}
	ac.asking, ac.leased = false, !ak.releases()
	ac.used -= ac.asked
	// The dispenser has taken over what was owed.
	ac.held += max(gr.Amount, 0) - min(ak.Held, 0)
	ac.repliedAt, ac.expires = now, askedAt.Add(leaseTTL)
	ac.askAfter = now.Add(max(gr.Retry, minAskInterval))
	ac.callerRetry = gr.CallerRetry
	ac.serve(now)
	if gr.Retry > 0 {
		// Claims that end before the next ask are refused at once.
		for _, cl := range ac.claims {
			if cl.until.Before(ac.askAfter) {
				cl.decide(false, max(gr.CallerRetry, minCallerRetry))
			}
		}
		ac.claims = slices.DeleteFunc(ac.claims, func(cl *Claim) bool { return cl.over })
	}
	if len(ac.claims) > 0 {
		sk.signal()
	}
}

// FailTokens records that an ask got no reply.
func (sk *Stock) FailTokens(now time.Time, ak TokenAsk) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if ac := sk.accounts[ak.Limit.name]; ac != nil {
		ac.asking, ac.askAfter = false, now.Add(minDenied)
		if len(ac.claims) > 0 {
			sk.signal()
		}
	}
}

// NextTokenAsk returns when a waiting claim may be asked for at the earliest, or the zero time if none waits.
func (sk *Stock) NextTokenAsk() time.Time {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	var next time.Time
	for _, ac := range sk.accounts {
		if len(ac.claims) > 0 && !ac.asking && (next.IsZero() || ac.askAfter.Before(next)) {
			next = ac.askAfter
		}
	}
	return next
}
