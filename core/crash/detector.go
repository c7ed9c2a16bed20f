package crash

import (
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of what is kept.
const (
	// sameCrashWindow is the greatest difference between two reports of one crash; the ids of servers differ from start to start.
	sameCrashWindow = 10 * time.Second
	maxCrashes      = 256
	crashTTL        = 10 * time.Minute
	maxSuspects     = 256
	maxServedParts  = 16384
	// maxSightings is the number above which sightings of parts that are not suspected are dropped.
	maxSightings = 4096
	maxRules     = 64
	// ruleTTL is how long a rule that refuses no prompt is kept, and usePrecision how exactly processes tell each other of its last use: a
	// message takes a while, so that a use would become later with each of them.
	ruleTTL      = 10 * time.Minute
	usePrecision = time.Minute
	// shareDelay is the age from which other processes are told of a rule. By then the reports of all processes have come, which may show that
	// another part is to blame.
	shareDelay = time.Second
	// trialDelay is the time after which a single prompt that a rule forbids is tried, and grantTTL how long a process may wait for one.
	trialDelay     = time.Minute
	grantTTL       = 10 * time.Second
	expireInterval = time.Second
)

// Detector collects reports and derives rules from them. It is not safe for concurrent use.
type Detector struct {
	// crashes are the known crashes, sorted by time.
	crashes []Report
	// served holds when prompts with a part were last answered by this process, and answeredAt when any prompt was, by any process.
	served     *lru.Cache[uint64, time.Time]
	answeredAt time.Time
	// sightings holds, for suspects and parts of rules, when prompts with a part were last answered by any process.
	sightings map[uint64]time.Time
	rules     map[uint64]*activeRule
	// changed is set if reports or sightings have come since the rules were derived.
	changed   bool
	expiredAt time.Time
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
func (dt *Detector) AddReport(rp Report) []Sighting {
	dt.changed = true
	dt.merge(rp)
	var parts []uint64
	for part := range rp.suspects {
		parts = append(parts, part)
	}
	return dt.ownSightings(parts)
}

// ownSightings adds what this process has answered to the sightings of parts, and returns those that were added.
func (dt *Detector) ownSightings(parts []uint64) []Sighting {
	var added []Sighting
	for _, part := range parts {
		if at, ok := dt.served.Get(part); ok && dt.sightings[part].Before(at) {
			dt.sightings[part] = at
			added = append(added, NewSighting(part, at))
		}
	}
	return added
}

// merge adds a report to crashes. Of too many suspects those that this process has answered are dropped.
func (dt *Detector) merge(rp Report) {
	i := slices.IndexFunc(dt.crashes, func(known Report) bool {
		return known.server == rp.server && rp.at.Sub(known.at).Abs() < sameCrashWindow
	})
	if i < 0 {
		i = len(dt.crashes)
		dt.crashes = append(dt.crashes, NewReport(rp.server, rp.address, rp.at, make(map[uint64]time.Time, len(rp.suspects))))
	}
	known := &dt.crashes[i]
	if rp.at.Before(known.at) {
		known.at = rp.at
	}
	for part, sentAt := range rp.suspects {
		at, isKnown := known.suspects[part]
		if isKnown && !at.Before(sentAt) || !isKnown && len(known.suspects) >= maxSuspects/2 && dt.served.Contains(part) {
			continue
		}
		if isKnown || len(known.suspects) < maxSuspects {
			known.suspects[part] = sentAt
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

// AddServed records that a prompt with the given parts was answered. It returns the sightings that other processes may lack.
func (dt *Detector) AddServed(now time.Time, parts []uint64) []Sighting {
	dt.answeredAt = now
	var sightings []Sighting
	for _, part := range parts {
		dt.served.Add(part, now)
		if dt.isSuspectedAfter(part, dt.sightings[part]) {
			sightings = append(sightings, NewSighting(part, now))
		}
	}
	dt.AddSightings(sightings)
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
func (dt *Detector) AddSightings(sightings []Sighting) {
	for _, sg := range sightings {
		if dt.sightings[sg.part].Before(sg.at) {
			dt.sightings[sg.part] = sg.at
			dt.changed = true
		}
		if sg.at.After(dt.answeredAt) {
			dt.answeredAt = sg.at
		}
	}
}

// AddRules adds rules that other processes derived. It returns the sightings that refute some of them.
func (dt *Detector) AddRules(now time.Time, rules []Rule) []Sighting {
	var sightings []Sighting
	for _, rl := range rules {
		if len(rl.parts) == 0 || now.Sub(rl.usedAt) > ruleTTL {
			continue
		}
		sightings = append(sightings, dt.ownSightings(rl.parts)...)
		ar, ok := dt.rules[rl.Key()]
		switch {
		case dt.isRefuted(rl):
			for _, part := range rl.parts {
				sightings = append(sightings, NewSighting(part, dt.sightings[part]))
			}
		case !ok && len(dt.rules) < maxRules:
			ar = &activeRule{rule: rl}
			ar.offered, _ = ar.trialPeriod(now)
			dt.rules[rl.Key()] = ar
		case ok:
			if rl.since.Before(ar.rule.since) {
				ar.rule.since = rl.since
			}
			if rl.usedAt.Sub(ar.rule.usedAt) > usePrecision {
				ar.rule.usedAt = rl.usedAt
			}
		}
	}
	return sightings
}

// isRefuted reports whether prompts with each of the rule's parts were answered after the parts were blamed.
func (dt *Detector) isRefuted(rl Rule) bool {
	return !slices.ContainsFunc(rl.parts, func(part uint64) bool { return !dt.sightings[part].After(rl.since) })
}

// Refresh derives the rules from what has come since the last call, and drops what is too old. It is to be called often; other methods do
// not derive rules.
func (dt *Detector) Refresh(now time.Time) {
	if now.Sub(dt.expiredAt) >= expireInterval {
		dt.expire(now)
		dt.expiredAt = now
	}
	if dt.changed {
		dt.changed = false
		dt.derive(now)
	}
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
	// Offer is the number of the trial period if the process may apply for a trial of Rule, or zero. It is set once in each period.
	Offer int
	// Rule is the rule that the prompt matches.
	Rule Rule
}

// Decide decides about a prompt with the given parts.
func (dt *Detector) Decide(now time.Time, parts []uint64) Verdict {
	var verdict Verdict
	var granted *activeRule
	for _, ar := range dt.rules {
		if !ar.rule.matches(parts) {
			continue
		}
		ar.rule.usedAt = now
		period, untilNext := ar.trialPeriod(now)
		if now.Before(ar.grantedUntil) {
			granted = ar
			continue
		}
		verdict.Forbidden = true
		verdict.RetryAfter = max(verdict.RetryAfter, untilNext)
		verdict.Rule = ar.rule
		if period > ar.offered {
			ar.offered = period
			verdict.Offer = period
		}
	}
	if granted != nil && !verdict.Forbidden {
		granted.grantedUntil = time.Time{}
		return Verdict{Trial: true, Rule: granted.rule}
	}
	return verdict
}

// GrantTrial lets the next prompt that a rule forbids pass, as a trial.
func (dt *Detector) GrantTrial(now time.Time, key uint64) {
	if ar, ok := dt.rules[key]; ok {
		ar.grantedUntil = now.Add(grantTTL)
	}
}
