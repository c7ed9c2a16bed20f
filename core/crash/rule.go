package crash

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trials of a rule, counted over all processes: a request on which servers crash may reach them only a few times more, for good.
const (
	trialDelay      = time.Minute
	earlyTrialDelay = time.Second
	// trialSlots and trialSlot spread the early trials of several rules, so that a sound request is not tried beside the one that crashes servers.
	trialSlots = 4
	trialSlot  = 500 * time.Millisecond
	// finalRetryAfter is told to callers when no trial is left.
	finalRetryAfter = time.Hour
)

// Rule is a request, or a set of parts, that is blamed for crashes: what has all of its keys is refused. It has several parts while none of them
// was seen without the others.
type Rule struct {
	parts []uint64
	since time.Time
	// usedAt is when the rule was made or last refused a request, at any process.
	usedAt time.Time
	// early is set if the first trial comes early, since the request was answered before the crashes.
	early bool
}

// NewRule returns a rule for the key of a request or the keys of parts. since is when these were blamed, and usedAt when the rule last refused a
// request.
func NewRule(parts []uint64, since, usedAt time.Time) Rule {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return Rule{parts: slices.Compact(sorted), since: since, usedAt: usedAt}
}

// WithEarlyTrial returns a copy of the rule whose first trial comes early, or not.
func (rl Rule) WithEarlyTrial(early bool) Rule {
	rl.early = early
	return rl
}

// EarlyTrial reports whether the first trial comes early.
func (rl Rule) EarlyTrial() bool { return rl.early }

// trialTimes returns the ages of the rule at which a request may be tried.
func (rl Rule) trialTimes() [2]time.Duration {
	if rl.early {
		return [2]time.Duration{earlyTrialDelay + time.Duration(rl.Key()%trialSlots)*trialSlot, trialDelay}
	}
	return [2]time.Duration{trialDelay, 3 * trialDelay}
}

// Parts returns the keys in ascending order; the slice must not be changed.
func (rl Rule) Parts() []uint64 { return rl.parts }

// Since returns when the parts were blamed.
func (rl Rule) Since() time.Time { return rl.since }

// UsedAt returns when the rule was made or last refused a prompt.
func (rl Rule) UsedAt() time.Time { return rl.usedAt }

// Key returns a hash of the parts.
func (rl Rule) Key() uint64 {
	var bytes []byte
	for _, part := range rl.parts {
		bytes = binary.BigEndian.AppendUint64(bytes, part)
	}
	return xxhash.Sum64(bytes)
}

// matches reports whether a prompt has all parts of the rule.
func (rl Rule) matches(parts []uint64) bool {
	for _, part := range rl.parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// explains reports whether all keys of the rule are suspects of a crash.
func (rl Rule) explains(rp Report) bool {
	return !slices.ContainsFunc(rl.parts, func(part uint64) bool { _, ok := rp.suspects[part]; return !ok })
}

// activeRule is a rule in force.
type activeRule struct {
	rule Rule
	// derived is set if the rule follows from the crashes that this process knows.
	derived bool
	// offeredAt is when this process was last offered a trial, and settled the last trial period whose trial a process has claimed.
	offeredAt time.Time
	settled   int
	// grantedUntil is until when this process may try a prompt, or zero.
	grantedUntil time.Time
}

// trialPeriod returns the number of the present trial period, or zero before the first one, and the time until the next one.
func (ar *activeRule) trialPeriod(now time.Time) (period int, untilNext time.Duration) {
	age := now.Sub(ar.rule.since)
	for _, begin := range ar.rule.trialTimes() {
		if age < begin {
			return period, begin - age
		}
		period++
	}
	return period, finalRetryAfter
}
