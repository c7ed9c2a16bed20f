package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Evidence that is required to blame a part.
const (
	// minChain is the number of crashes in a row, each by a call that was sent after the crash before, and minChainServed the same for parts
	// of prompts that were answered earlier.
	minChain       = 3
	minChainServed = 6
	// minCrashes is the number of crashes that suffice if the first and the last are at least minSpread apart: with long times to the first
	// event a chain takes too long.
	minCrashes = 5
	minSpread  = 500 * time.Millisecond
)

// Limits of what is kept.
const (
	// sameCrashWindow is the greatest difference between two reports of one crash.
	sameCrashWindow = time.Second
	maxCrashes      = 256
	crashTTL        = 10 * time.Minute
	maxSuspects     = 256
	maxServedParts  = 16384
	// maxSightings is the number above which sightings of parts that are not suspected are dropped.
	maxSightings = 4096
	maxRules     = 64
	// ruleTTL is how long a rule that refuses no prompt is kept.
	ruleTTL = 10 * time.Minute
	// shareDelay is the age from which other processes are told of a rule. By then the reports of all processes have come, which may show that
	// another part is to blame.
	shareDelay = time.Second
	// trialDelay is the time after which a single prompt that a rule forbids is tried.
	trialDelay = time.Minute
)

// Detector collects reports and derives rules from them. It is not safe for concurrent use.
type Detector struct {
	// crashes are the known crashes, sorted by time.
	crashes []Report
	// served holds when prompts with a part were last answered by this process.
	served *lru.Cache[uint64, time.Time]
	// sightings holds, for suspects and parts of rules, when prompts with a part were last answered by any process.
	sightings map[uint64]time.Time
	rules     map[uint64]*activeRule
}

// NewDetector returns a detector without reports.
func NewDetector() *Detector {
	served, err := lru.New[uint64, time.Time](maxServedParts)
	if err != nil {
		panic(err) // The size is positive.
	}
	return &Detector{served: served, sightings: make(map[uint64]time.Time), rules: make(map[uint64]*activeRule)}
}

// AddReport adds a report, or merges it with an earlier one about the same crash. It returns the sightings of its parts that other processes
// may lack.
func (dt *Detector) AddReport(now time.Time, rp Report) []Sighting {
	dt.expire(now)
	var sightings []Sighting
	for part := range rp.suspects {
		if at, ok := dt.served.Get(part); ok && dt.sightings[part].Before(at) {
			dt.sightings[part] = at
			sightings = append(sightings, NewSighting(part, at))
		}
	}
	dt.merge(rp)
	dt.derive(now)
	return sightings
}

// merge adds a report to crashes.
func (dt *Detector) merge(rp Report) {
	i := slices.IndexFunc(dt.crashes, func(known Report) bool {
		return known.server == rp.server && rp.at.Sub(known.at).Abs() < sameCrashWindow
	})
	if i < 0 {
		rp.suspects = maps.Clone(rp.suspects)
		dt.crashes = append(dt.crashes, rp)
	} else {
		known := &dt.crashes[i]
		if rp.at.Before(known.at) {
			known.at = rp.at
		}
		for part, sentAt := range rp.suspects {
			if len(known.suspects) < maxSuspects && known.suspects[part].Before(sentAt) {
				known.suspects[part] = sentAt
			}
		}
	}
	slices.SortFunc(dt.crashes, func(a, b Report) int { return a.at.Compare(b.at) })
	dt.dropCrashes(len(dt.crashes) - maxCrashes)
}

// dropCrashes drops the oldest crashes, if count is positive. Rules that follow from them stay in force.
func (dt *Detector) dropCrashes(count int) {
	if count <= 0 {
		return
	}
	dt.crashes = slices.Delete(dt.crashes, 0, count)
	for _, ar := range dt.rules {
		ar.derived = false
	}
}

// AddServed records that a prompt with the given parts was answered to its end. It returns the sightings that other processes may lack.
func (dt *Detector) AddServed(now time.Time, parts []uint64) []Sighting {
	var sightings []Sighting
	for _, part := range parts {
		dt.served.Add(part, now)
		if dt.isSuspectedAfter(part, dt.sightings[part]) {
			sightings = append(sightings, NewSighting(part, now))
		}
	}
	dt.AddSightings(now, sightings)
	return sightings
}

// isSuspectedAfter reports whether a part is a suspect of a crash, or is blamed, after a time.
func (dt *Detector) isSuspectedAfter(part uint64, at time.Time) bool {
	for i := len(dt.crashes) - 1; i >= 0 && dt.crashes[i].at.After(at); i-- {
		if _, ok := dt.crashes[i].suspects[part]; ok {
			return true
		}
	}
	for _, ar := range dt.rules {
		if ar.rule.since.After(at) && slices.Contains(ar.rule.parts, part) {
			return true
		}
	}
	return false
}

// AddSightings adds sightings of any process.
func (dt *Detector) AddSightings(now time.Time, sightings []Sighting) {
	if len(sightings) == 0 {
		return
	}
	dt.expire(now)
	for _, sg := range sightings {
		if dt.sightings[sg.part].Before(sg.at) {
			dt.sightings[sg.part] = sg.at
		}
	}
	dt.derive(now)
}

// AddRules adds rules that other processes derived.
func (dt *Detector) AddRules(now time.Time, rules []Rule) {
	for _, rl := range rules {
		ar, ok := dt.rules[rl.Key()]
		switch {
		case len(rl.parts) == 0 || now.Sub(rl.usedAt) > ruleTTL || dt.isRefuted(rl):
		case !ok && len(dt.rules) < maxRules:
			ar = &activeRule{rule: rl}
			ar.trials = ar.trialPeriods(now)
			dt.rules[rl.Key()] = ar
		case ok:
			if rl.since.Before(ar.rule.since) {
				ar.rule.since = rl.since
			}
			if rl.usedAt.After(ar.rule.usedAt) {
				ar.rule.usedAt = rl.usedAt
			}
		}
	}
}

// isRefuted reports whether prompts with each of the rule's parts were answered after the parts were blamed.
func (dt *Detector) isRefuted(rl Rule) bool {
	return !slices.ContainsFunc(rl.parts, func(part uint64) bool { return !dt.sightings[part].After(rl.since) })
}

// Rules returns the rules for other processes: those that refuse prompts and whose evidence is complete.
func (dt *Detector) Rules(now time.Time) []Rule {
	var rules []Rule
	for _, ar := range dt.rules {
		if now.Sub(ar.rule.since) >= shareDelay {
			rules = append(rules, ar.rule)
		}
	}
	return rules
}

// RuleKeys returns the keys of the rules in force.
func (dt *Detector) RuleKeys() []uint64 { return slices.Collect(maps.Keys(dt.rules)) }

// Verdict is the decision about a prompt.
type Verdict struct {
	// Forbidden is set if the prompt must not be sent to a server; another one may be tried after RetryAfter.
	Forbidden  bool
	RetryAfter time.Duration
	// Trial is set if the prompt is sent in spite of a rule; it must not be repeated.
	Trial bool
	// Rule is the rule that the prompt matches.
	Rule Rule
}

// Decide decides about a prompt with the given parts. mayTry reports whether this process is the one that tries prompts.
func (dt *Detector) Decide(now time.Time, parts []uint64, mayTry func() bool) Verdict {
	for _, ar := range dt.rules {
		if !ar.rule.matches(parts) {
			continue
		}
		ar.rule.usedAt = now
		if periods := ar.trialPeriods(now); periods > ar.trials && mayTry() {
			ar.trials = periods
			return Verdict{Trial: true, Rule: ar.rule}
		}
		return Verdict{Forbidden: true, RetryAfter: ar.untilTrial(now), Rule: ar.rule}
	}
	return Verdict{}
}

// expire drops what is too old or no longer needed.
func (dt *Detector) expire(now time.Time) {
	old := 0
	for old < len(dt.crashes) && now.Sub(dt.crashes[old].at) > crashTTL {
		old++
	}
	dt.dropCrashes(old)
	maps.DeleteFunc(dt.rules, func(_ uint64, ar *activeRule) bool { return now.Sub(ar.rule.usedAt) > ruleTTL })
	if len(dt.sightings) > maxSightings {
		maps.DeleteFunc(dt.sightings, func(part uint64, _ time.Time) bool { return !dt.isSuspectedAfter(part, time.Time{}) })
	}
}

// derive updates the rules that follow from the known crashes. The part that explains most crashes is blamed first, and the crashes that it
// explains count no longer: their other suspects are likely bystanders. Parts that were never answered go before the others.
func (dt *Detector) derive(now time.Time) {
	derived := make(map[uint64]Rule)
	unexplained := slices.Clone(dt.crashes)
	for {
		rl, ok := dt.blame(now, unexplained)
		if !ok {
			break
		}
		derived[rl.Key()] = rl
		unexplained = slices.DeleteFunc(unexplained, func(rp Report) bool {
			return !slices.ContainsFunc(rl.parts, func(part uint64) bool { _, ok := rp.suspects[part]; return !ok })
		})
	}
	maps.DeleteFunc(dt.rules, func(key uint64, ar *activeRule) bool {
		_, ok := derived[key]
		return ar.derived && !ok || dt.isRefuted(ar.rule)
	})
	for key, rl := range derived {
		if ar, ok := dt.rules[key]; ok {
			ar.derived = true
		} else if len(dt.rules) < maxRules {
			dt.rules[key] = &activeRule{rule: rl, derived: true}
		}
	}
}

// evidence is what speaks against a part.
type evidence struct {
	part uint64
	// crashes are the indexes of the crashes since the part was last answered.
	crashes []int
	chain   int
	// chainEnd is the last crash of the chain, first the first crash.
	chainEnd time.Time
	first    time.Time
	spread   time.Duration
	// served is set if the part was ever answered.
	served bool
}

func (ev *evidence) suffices() bool {
	if ev.served {
		return ev.chain >= minChainServed
	}
	return ev.chain >= minChain || len(ev.crashes) >= minCrashes && ev.spread >= minSpread
}

// blame returns a rule for the part with the most evidence in the given crashes, together with the parts that were suspects of exactly the
// same crashes; ok is false if the evidence does not suffice for any.
func (dt *Detector) blame(now time.Time, crashes []Report) (rl Rule, ok bool) {
	byPart := make(map[uint64]*evidence)
	for i, rp := range crashes {
		for part, sentAt := range rp.suspects {
			seenAt, served := dt.sightings[part]
			if !rp.at.After(seenAt) {
				// The part was answered after the crash.
				delete(rp.suspects, part)
				continue
			}
			ev := byPart[part]
			if ev == nil {
				ev = &evidence{part: part, first: rp.at, served: served}
				byPart[part] = ev
			}
			ev.crashes = append(ev.crashes, i)
			ev.spread = rp.at.Sub(ev.first)
			if ev.chain == 0 || sentAt.After(ev.chainEnd) {
				ev.chain++
				ev.chainEnd = rp.at
			}
		}
	}
	var best *evidence
	for _, ev := range byPart {
		if ev.suffices() && (best == nil || ev.compare(best) > 0) {
			best = ev
		}
	}
	if best == nil {
		return Rule{}, false
	}
	var parts []uint64
	for _, ev := range byPart {
		if ev.served == best.served && slices.Equal(ev.crashes, best.crashes) {
			parts = append(parts, ev.part)
		}
	}
	return NewRule(parts, now, now), true
}

// compare orders evidence by its weight.
func (ev *evidence) compare(other *evidence) int {
	if ev.served != other.served {
		if ev.served {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(ev.crashes), len(other.crashes)), cmp.Compare(ev.chain, other.chain), cmp.Compare(ev.part, other.part))
}
