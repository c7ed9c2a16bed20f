package crash

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rule is a set of parts that are blamed for crashes: a prompt that has all of them is refused. It has several parts while none of them was
// seen without the others.
type Rule struct {
	parts []uint64
	since time.Time
	// usedAt is when the rule was made or last refused a prompt, at any process.
	usedAt time.Time
}

// NewRule returns a rule for the hashes of parts. since is when the parts were blamed, and usedAt when the rule last refused a prompt.
func NewRule(parts []uint64, since, usedAt time.Time) Rule {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return Rule{parts: slices.Compact(sorted), since: since, usedAt: usedAt}
}

// Parts returns the hashes of the parts in ascending order; the slice must not be changed.
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

// activeRule is a rule in force.
type activeRule struct {
	rule Rule
	// derived is set if the rule follows from the crashes that this process knows.
	derived bool
	// offered is the number of the last trial period for which this process was offered a trial.
	offered int
	// grantedUntil is until when this process may try a prompt, or zero.
	grantedUntil time.Time
}

// trialPeriod returns the number of the present trial period, and the time until the next one. The first one begins trialDelay after the
// parts were blamed, and each is twice as long as the one before.
func (ar *activeRule) trialPeriod(now time.Time) (period int, untilNext time.Duration) {
	delay, age := trialDelay, now.Sub(ar.rule.since)
	for age >= delay {
		period++
		delay = 2*delay + trialDelay
	}
	return period, delay - age
}
