package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
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

// blame returns a rule for the part with the most evidence in the given crashes, together with the parts that were suspects of exactly the
// same crashes; ok is false if the evidence does not suffice for any. Evidence counts only if some prompt was answered since: while all
// servers are down, parts that all prompts share are suspects of all crashes.
func (dt *Detector) blame(now time.Time, crashes []Report) (rl Rule, ok bool) {
	byPart := dt.collect(crashes)
	var best *evidence
	for _, ev := range byPart {
		if ev.suffices() && dt.answeredAt.After(ev.first) && (best == nil || ev.compare(best) > 0) {
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

// collect returns the evidence against each suspect of the given crashes, and drops the suspects that were answered after a crash.
func (dt *Detector) collect(crashes []Report) map[uint64]*evidence {
	byPart := make(map[uint64]*evidence)
	for i, rp := range crashes {
		for part, sentAt := range rp.suspects {
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
