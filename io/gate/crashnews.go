package gate

import (
	"time"

	"shallotcleat/core/crash"
	"shallotcleat/io/wire"
)

// crashNews is what gates tell each other about crashes of servers.
type crashNews struct {
	reports   []crash.Report
	sightings []crash.Sighting
	rules     []crash.Rule
}

// add adds the reports and sightings of other news.
func (cn *crashNews) add(other crashNews) {
	cn.reports = append(cn.reports, other.reports...)
	cn.sightings = append(cn.sightings, other.sightings...)
}

// size returns the number of items.
func (cn *crashNews) size() int { return len(cn.reports) + len(cn.sightings) + len(cn.rules) }

// encode adds the news to a message that is sent now; times become ages.
func (cn *crashNews) encode(now time.Time, message *wire.CacheHints) {
	for _, rp := range cn.reports {
		sc := &wire.ServerCrash{Server: rp.Server(), Address: rp.Address(), AgoMs: agoMillis(now, rp.At())}
		for part, sentAt := range rp.Suspects() {
			sc.Parts = append(sc.Parts, part)
			sc.SentAgoMs = append(sc.SentAgoMs, agoMillis(now, sentAt))
		}
		message.Crashes = append(message.Crashes, sc)
	}
	for _, sg := range cn.sightings {
		message.Sightings = append(message.Sightings, &wire.PartSighting{Part: sg.Part(), AgoMs: agoMillis(now, sg.At())})
	}
	for _, rl := range cn.rules {
		message.Rules = append(message.Rules,
			&wire.CrashRule{Parts: rl.Parts(), SinceAgoMs: agoMillis(now, rl.Since()), UsedAgoMs: agoMillis(now, rl.UsedAt()), Early: rl.EarlyTrial()})
	}
}

// decodeCrashNews returns the news in a message that has just come.
func decodeCrashNews(now time.Time, ch *wire.CacheHints) crashNews {
	var cn crashNews
	ago := func(millis uint32) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for _, sc := range ch.GetCrashes() {
		suspects := make(map[uint64]time.Time)
		for i := range min(len(sc.GetParts()), len(sc.GetSentAgoMs()), maxReportedKeys) {
			suspects[sc.GetParts()[i]] = ago(sc.GetSentAgoMs()[i])
		}
		cn.reports = append(cn.reports, crash.NewReport(sc.GetServer(), sc.GetAddress(), ago(sc.GetAgoMs()), suspects))
	}
	for _, ps := range ch.GetSightings() {
		cn.sightings = append(cn.sightings, crash.NewSighting(ps.GetPart(), ago(ps.GetAgoMs())))
	}
	for _, cr := range ch.GetRules() {
		rl := crash.NewRule(cr.GetParts(), ago(cr.GetSinceAgoMs()), ago(cr.GetUsedAgoMs()))
		cn.rules = append(cn.rules, rl.WithEarlyTrial(cr.GetEarly()))
	}
	return cn
}

// agoMillis returns how long before now a time was, in milliseconds, and zero for later times.
func agoMillis(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }
