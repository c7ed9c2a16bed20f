package quota

import (
	"math"
	"time"
)

// Bounds say by how much all processes together may exceed a limit: in any Window, they send at most (rate * Window + burst) * (1 + Overage) + Slack.
// A zero Window means that limits of workspaces are not enforced.
type Bounds struct {
	Window  time.Duration
	Overage float64
	// Slack is in tokens. It does not apply to limits that count requests.
	Slack float64
}

// Limit is the limit of a workspace. The zero value is no limit.
type Limit struct {
	name     string
	rate     float64
	burst    float64
	requests bool
	// version orders the limits of one name.
	version uint64
}

// NewLimit returns a limit of a rate per second and a burst, in tokens or in requests. A higher version replaces a lower one.
func NewLimit(name string, rate, burst float64, requests bool, version uint64) Limit {
	return Limit{name: name, rate: rate, burst: burst, requests: requests, version: version}
}

// Name returns the name of the limit.
func (lm Limit) Name() string { return lm.name }

// Rate returns the limit per second.
func (lm Limit) Rate() float64 { return lm.rate }

// Burst returns what may be used at once beyond the rate.
func (lm Limit) Burst() float64 { return lm.burst }

// CountsRequests reports whether the limit counts requests instead of tokens.
func (lm Limit) CountsRequests() bool { return lm.requests }

// Version returns the version of the configuration with the limit.
func (lm Limit) Version() uint64 { return lm.version }

// binds reports whether the limit limits anything.
func (lm Limit) binds() bool { return lm.rate > 0 && !math.IsInf(lm.rate, 0) }

// Parts of the margin, which is what all processes may send in a window beyond the limit. In a window, they send at most what they held at its
// beginning and the balance of the dispenser then (the burst and totalPart), what it gives out on credit (debtPart), its rate over the window (the limit
// and surplusPart), what a dispenser that starts or takes over begins with (startPart), and what others give out that are cut off (secondPart and
// othersPart). The rest covers requests that are sent later than they were admitted.
const (
	totalPart   = 0.30
	debtPart    = 0.08
	surplusPart = 0.12
	startPart   = 0.20
	secondPart  = 0.10
	othersPart  = 0.10
)

// plan holds the amounts that follow from a limit and its bounds.
type plan struct {
	rate float64
	// total is the most that the balance and what processes hold may be together.
	total float64
	debt  float64
	start float64
}

// newPlan returns the amounts for a dispenser. One that is not the first has only a part of the margin: rank is 0 for the first one.
func newPlan(lm Limit, bd Bounds, rank, dispensers int) plan {
	window := max(bd.Window.Seconds(), 1)
	margin := bd.Overage * (lm.rate*window + lm.burst)
	if !lm.requests {
		margin += bd.Slack
	}
	if rank > 0 {
		part := secondPart * margin
		if rank > 1 {
			part = othersPart * margin / float64(max(dispensers, 1))
		}
		return plan{rate: part / 2 / window, total: part / 2, start: part / 4}
	}
	return plan{
		rate:  lm.rate + surplusPart*margin/window,
		total: lm.burst + totalPart*margin,
		debt:  debtPart * margin,
		start: startPart * margin,
	}
}

// MostAtOnce returns the amount beyond which a single request can never be admitted.
func MostAtOnce(lm Limit, bd Bounds) float64 {
	pl := newPlan(lm, bd, 0, 1)
	return pl.total + pl.debt
}

// Claim parameters.
const (
	// HoldTime is how long a request waits for an allowance at most.
	HoldTime = 60 * time.Millisecond
	// aheadTime is the time whose tokens a process wants to hold.
	aheadTime = 300 * time.Millisecond
	// renewInterval is the time after which a process reports what it used, and leaseTTL the time after which an allowance that was not renewed
	// is void. A dispenser assumes it void later, at leaseTTL and leaseMargin.
	renewInterval = time.Second
	leaseTTL      = 2500 * time.Millisecond
	leaseMargin   = 500 * time.Millisecond
	// minAskInterval is the time between asks of a process for one limit.
	minAskInterval = 5 * time.Millisecond
	// askerInterval is multiplied by the number of processes that want tokens for the time after which one that got too few may ask again, so that
	// a dispenser gets at most 400 asks a second for one limit.
	askerInterval = 2500 * time.Microsecond
	// minDenied and maxDenied bound that time.
	minDenied = 10 * time.Millisecond
	maxDenied = 500 * time.Millisecond
	// demandTime and slowDemandTime are the time constants of the estimates of a process's demand.
	demandTime     = 400 * time.Millisecond
	slowDemandTime = 3 * time.Second
	// accountTTL is how long the account of a limit without requests is kept.
	accountTTL = 10 * time.Second
	// minCallerRetry and maxCallerRetry bound the time after which a refused caller is to return.
	minCallerRetry = 200 * time.Millisecond
	maxCallerRetry = 5 * time.Second
	// majorityTTL is how long an ask counts for the majority that lets the second dispenser take the place of the first.
	majorityTTL = 3 * time.Second
	// isolationTTL is how long a dispenser that most holders no longer ask assumes that it is cut off.
	isolationTTL = 15 * time.Second
	// takeOverTime is how long after it took over a dispenser assumes that some gates still ask the former one.
	takeOverTime = 1500 * time.Millisecond
	// minHolders is the number of holders from which on their silence shows that.
	minHolders = 3
)

// TokenAsk asks a dispenser for tokens of a limit and reports what the process holds.
type TokenAsk struct {
	Limit Limit
	// Need is what requests wait for, Ahead what is wanted beyond it.
	Need, Ahead float64
	// Held is what the process still holds. Used is what it used since its last ask that got a reply.
	Held, Used float64
	// Elsewhere is how long ago the process last got tokens from another dispenser, or zero if it did not.
	Elsewhere time.Duration
}

// releases reports whether the process holds nothing and wants nothing.
func (ak TokenAsk) releases() bool { return ak.Held == 0 && ak.Need == 0 && ak.Ahead == 0 }

// TokenGrant is the reply to a TokenAsk.
type TokenGrant struct {
	// Amount is the number of tokens that were given out.
	Amount float64
	// Retry is the time after which a process that got less than it needs may ask again.
	Retry time.Duration
	// CallerRetry is the time after which a caller that is refused may return.
	CallerRetry time.Duration
}

// TickInterval is how often the owner of a Stock calls Tick.
const TickInterval = 100 * time.Millisecond
