package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evidence that is required to blame a request or a part.
const (
	// minRequestCrashes is the number of crashes on which a request is blamed.
	minRequestCrashes = 3
	// minChain is the number of crashes in a row, each by a call that was sent after the crash before, and minChainServed the same for parts
	// of prompts that were answered earlier.
	minChain       = 3
	minChainServed = 6
	// minCrashes is the number of crashes that suffice if the first and the last are at least minSpread apart: with long times to the first
	// event a chain takes too long.
	minCrashes = 5
	minSpread  = 500 * time.Millisecond
	// minCrashesOneServer is the number of crashes that is required if only one server crashed: it may have reasons of its own.
	minCrashesOneServer = 6
)

// evidence is what speaks against a part.
type evidence struct {
	part uint64
	// crashes are the indexes of the crashes since the part was last answered. address is the hash of the address of the first server, and
	// severalServers is set if another one crashed, too.
	crashes        []int
	address        uint64
	severalServers bool
	// chain is the number of crashes in a row, each by a call that was sent after the crash before, and chainEnd the last of them.
	chain    int
	chainEnd time.Time
	first    time.Time
	spread   time.Duration
	// served is set if the part was ever answered.
	served bool
}

// blamesRequest reports whether the evidence suffices to blame a request: callers count from the third crash on, whichever servers crash. One
// that was answered before may be in many calls at once, so that it must have been sent after each crash.
func (ev *evidence) blamesRequest() bool {
	return len(ev.crashes) >= minRequestCrashes && (!ev.served || ev.chain >= minRequestCrashes)
}

// suffices reports whether the evidence suffices to blame a part.
func (ev *evidence) suffices() bool {
	if !ev.severalServers && len(ev.crashes) < minCrashesOneServer {
		return false
	}
	if ev.served {
		return ev.chain >= minChainServed
	}
	return ev.chain >= minChain || len(ev.crashes) >= minCrashes && ev.spread >= minSpread
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

// derive updates the rules that follow from the known crashes. The part that explains most crashes is blamed first, and the crashes that it
// explains count no longer: their other suspects are likely bystanders. Parts that were never answered go before the others. A part is
// blamed only if it explains a crash that no blamed request does.
func (dt *Detector) derive(now time.Time) {
	derived := dt.blameRequests(now)
	unexplained := slices.Clone(dt.crashes)
	for {
		rl, ok := dt.blamePart(now, unexplained, derived)
		if !ok {
			break
		}
		derived = append(derived, rl)
		unexplained = slices.DeleteFunc(unexplained, rl.explains)
	}
	byKey := make(map[uint64]Rule, len(derived))
	for _, rl := range derived {
		byKey[rl.Key()] = rl
	}
	maps.DeleteFunc(dt.rules, func(key uint64, ar *activeRule) bool {
		_, ok := byKey[key]
		return ar.derived && !ok || dt.isRefuted(ar.rule)
	})
	for key, rl := range byKey {
		if ar, ok := dt.rules[key]; ok {
			ar.derived = true
		} else {
			dt.addRule(&activeRule{rule: rl, derived: true})
		}
	}
}

// blameRequests returns rules for requests. Of those that were never answered, and of those that were, the one that explains most crashes is
// blamed first, together with those that are suspects of exactly the same crashes: trials tell them apart. A bystander that was never
// answered must not hide a request that servers have answered before.
func (dt *Detector) blameRequests(now time.Time) []Rule {
	var rules []Rule
	for _, served := range []bool{false, true} {
		unexplained := slices.Clone(dt.crashes)
		for {
			byRequest := dt.collect(unexplained, isRequest)
			var best *evidence
			for _, ev := range byRequest {
				if ev.served == served && ev.blamesRequest() && (best == nil || ev.compare(best) > 0) {
					best = ev
				}
			}
			if best == nil {
				break
			}
			for _, ev := range byRequest {
				if ev.served == served && ev.blamesRequest() && slices.Equal(ev.crashes, best.crashes) {
					rules = append(rules, NewRule([]uint64{ev.part}, now, now).WithEarlyTrial(served))
				}
			}
			unexplained = slices.DeleteFunc(unexplained, rules[len(rules)-1].explains)
		}
	}
	return rules
}

// blamePart returns a rule for the part with the most evidence in the given crashes, together with the parts that were suspects of exactly the
// same crashes; ok is false if the evidence does not suffice for any. Evidence counts only if some prompt was answered since: while all
// servers are down, parts that all prompts share are suspects of all crashes. requests are the rules about requests.
func (dt *Detector) blamePart(now time.Time, crashes []Report, requests []Rule) (rl Rule, ok bool) {
	byPart := dt.collect(crashes, func(key uint64) bool { return !isRequest(key) })
	explained := make([]bool, len(crashes))
	for i, rp := range crashes {
		explained[i] = slices.ContainsFunc(requests, func(rl Rule) bool { return isRequest(rl.parts[0]) && rl.explains(rp) })
	}
	var best *evidence
	for _, ev := range byPart {
		explainsMore := slices.ContainsFunc(ev.crashes, func(i int) bool { return !explained[i] })
		if explainsMore && ev.suffices() && dt.answeredAt.After(ev.first) && (best == nil || ev.compare(best) > 0) {
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

// collect returns the evidence against each suspect of the given crashes whose key is selected, and drops the suspects that were answered
// after a crash.
func (dt *Detector) collect(crashes []Report, selected func(key uint64) bool) map[uint64]*evidence {
	byPart := make(map[uint64]*evidence)
	for i, rp := range crashes {
		for part, sentAt := range rp.suspects {
			if !selected(part) {
				continue
			}
			seenAt, served := dt.sightings[part]
			if !rp.at.After(seenAt) {
				delete(rp.suspects, part)
				continue
			}
			ev := byPart[part]
			if ev == nil {
				ev = &evidence{part: part, first: rp.at, served: served, address: rp.address}
				byPart[part] = ev
			}
			ev.crashes = append(ev.crashes, i)
			ev.severalServers = ev.severalServers || rp.address != ev.address
			ev.spread = rp.at.Sub(ev.first)
			if ev.chain == 0 || sentAt.After(ev.chainEnd) {
				ev.chain++
				ev.chainEnd = rp.at
			}
		}
	}
	return byPart
}
