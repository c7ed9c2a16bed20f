package crash

import (
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of what is kept.
const (
	// sameCrashWindow is the greatest difference between two reports of one crash of a run of a server, and sameAddressWindow between those
	// of an address: processes may know different runs of a server that starts under its id again.
	sameCrashWindow   = 10 * time.Second
	sameAddressWindow = 500 * time.Millisecond
	maxCrashes        = 256
	crashTTL          = 10 * time.Minute
	maxSuspects       = 512
	maxServed         = 16384
	// maxSightings is the number above which sightings of parts that are not suspected are dropped.
	maxSightings = 4096
	// maxRules is the number above which the rules that were used least recently are dropped; a rule does not end otherwise, unless what it
	// blames is answered. usePrecision is how exactly processes tell each other of its last use: a message takes a while, so that a use
	// would become later with each of them.
	maxRules     = 256
	usePrecision = time.Minute
	// maxToldRules bounds the rules that are told at once, and ruleToldFor is how long after its last use a rule is told.
	maxToldRules = 32
	ruleToldFor  = 10 * time.Minute
	// shareDelay is the age from which other processes are told of a rule. By then the reports of all processes have come, which may show that
	// another part is to blame.
	shareDelay = time.Second
	// offerInterval is the time between the offers of a trial to a process, and grantTTL how long the process may wait for a request.
	offerInterval  = 2 * time.Second
	grantTTL       = 10 * time.Second
	expireInterval = time.Second
)

// Detector collects reports and derives rules from them. It is not safe for concurrent use.
type Detector struct {
	// crashes are the known crashes, sorted by time.
	crashes []Report
	// servedParts and servedRequests hold when requests with a key were last answered by this process, and answeredAt when any request was,
	// by any process.
	servedParts    *lru.Cache[uint64, time.Time]
	servedRequests *lru.Cache[uint64, time.Time]
	answeredAt     time.Time
	// sightings holds, for suspects and keys of rules, when requests with a key were last answered by any process.
	sightings map[uint64]time.Time
	rules     map[uint64]*activeRule
	// changed is set if reports or sightings have come since the rules were derived.
	changed   bool
	expiredAt time.Time
	// toldKey is the key of the last rule that was told to other processes.
	toldKey uint64
}

// NewDetector returns a detector without reports.
func NewDetector() *Detector {
	return &Detector{servedParts: newServed(), servedRequests: newServed(), sightings: make(map[uint64]time.Time),
		rules: make(map[uint64]*activeRule)}
}

func newServed() *lru.Cache[uint64, time.Time] {
	served, err := lru.New[uint64, time.Time](maxServed)
	if err != nil {
		panic(err) // The size is positive.
	}
	return served
}

// served returns the cache for a key. That of requests is apart, since most of them come once.
func (dt *Detector) served(key uint64) *lru.Cache[uint64, time.Time] {
	if isRequest(key) {
		return dt.servedRequests
	}
	return dt.servedParts
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
		if at, ok := dt.served(part).Get(part); ok && dt.sightings[part].Before(at) {
			dt.sightings[part] = at
			added = append(added, NewSighting(part, at))
		}
	}
	return added
}

// merge adds a report to crashes. Of too many suspects those that this process has answered are dropped.
func (dt *Detector) merge(rp Report) {
	i := slices.IndexFunc(dt.crashes, func(known Report) bool {
		apart := rp.at.Sub(known.at).Abs()
		return known.server == rp.server && apart < sameCrashWindow || known.address == rp.address && apart < sameAddressWindow
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
		if isKnown && !at.Before(sentAt) || !isKnown && len(known.suspects) >= maxSuspects/2 && dt.served(part).Contains(part) {
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
		dt.served(part).Add(part, now)
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
		if len(rl.parts) == 0 {
			continue
		}
		sightings = append(sightings, dt.ownSightings(rl.parts)...)
		ar, ok := dt.rules[rl.Key()]
		switch {
		case dt.isRefuted(rl):
			for _, part := range rl.parts {
				sightings = append(sightings, NewSighting(part, dt.sightings[part]))
			}
		case !ok:
			dt.addRule(&activeRule{rule: rl})
		default:
			ar.rule.early = ar.rule.early || rl.early
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
	if len(dt.sightings) > maxSightings {
		maps.DeleteFunc(dt.sightings, func(part uint64, _ time.Time) bool { return !dt.isSuspectedAfter(part, time.Time{}) })
	}
}

// addRule adds a rule, and drops that which was used least recently if there are too many.
func (dt *Detector) addRule(ar *activeRule) {
	dt.rules[ar.rule.Key()] = ar
	if len(dt.rules) <= maxRules {
		return
	}
	oldest := ar
	for _, other := range dt.rules {
		if other.rule.usedAt.Before(oldest.rule.usedAt) {
			oldest = other
		}
	}
	delete(dt.rules, oldest.rule.Key())
}

// Rules returns the rules whose evidence is complete, sorted by key.
func (dt *Detector) Rules(now time.Time) []Rule {
	var rules []Rule
	for _, key := range slices.Sorted(maps.Keys(dt.rules)) {
		if rl := dt.rules[key].rule; now.Sub(rl.since) >= shareDelay {
			rules = append(rules, rl)
		}
	}
	return rules
}

// RulesToTell returns rules to tell to other processes, those in use in turn. Processes read the others from the store when they start.
func (dt *Detector) RulesToTell(now time.Time) []Rule {
	rules := slices.DeleteFunc(dt.Rules(now), func(rl Rule) bool { return now.Sub(rl.usedAt) > ruleToldFor })
	if len(rules) <= maxToldRules {
		return rules
	}
	first := 0
	for first < len(rules) && rules[first].Key() <= dt.toldKey {
		first++
	}
	told := append(rules[first:], rules[:first]...)[:maxToldRules]
	dt.toldKey = told[maxToldRules-1].Key()
	return told
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
	// Offer is the number of the trial period if the process may apply for a trial of Rule, or zero.
	Offer int
	// Rule is the rule that the prompt matches.
	Rule Rule
}

// Decide decides about a request with the given keys. mayTry is set if a trial would show whether servers still crash on it.
func (dt *Detector) Decide(now time.Time, parts []uint64, mayTry bool) Verdict {
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
		if period > ar.settled && now.Sub(ar.offeredAt) >= offerInterval && mayTry {
			ar.offeredAt = now
			verdict.Offer = period
		}
	}
	if granted != nil && !verdict.Forbidden {
		granted.grantedUntil = time.Time{}
		return Verdict{Trial: true, Rule: granted.rule}
	}
	return verdict
}

// SettleTrial records that the trial of a period was claimed. If that was by this process, which granted states, the next request that the
// rule forbids passes, as a trial.
func (dt *Detector) SettleTrial(now time.Time, key uint64, period int, granted bool) {
	ar, ok := dt.rules[key]
	if !ok {
		return
	}
	ar.settled = max(ar.settled, period)
	if granted {
		ar.grantedUntil = now.Add(grantTTL)
	}
}
