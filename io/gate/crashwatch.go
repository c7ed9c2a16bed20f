package gate

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"shallotcleat/core/answer"
	"shallotcleat/core/crash"
	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/io/client"
	"shallotcleat/io/timer"
)

// Parameters of the watch for parts of prompts on which servers crash.
const (
	// beginWindow is how long after its first event an answer counts as having just begun.
	beginWindow = 500 * time.Millisecond
	// collectDelay is how long the gate waits for other calls that broke off with the same server.
	collectDelay   = 30 * time.Millisecond
	examineTimeout = 400 * time.Millisecond
	// maxReportedParts bounds the parts in a report.
	maxReportedParts = 256
	// refreshRulesInterval is the time between derivations of rules.
	refreshRulesInterval = 100 * time.Millisecond
)

// crashWatch finds, together with the other gates, the parts of prompts on which servers crash, and refuses prompts with them.
type crashWatch struct {
	gate *Gate
	// calls are the examinations of servers and the claims of trials in progress.
	calls conc.WaitGroup

	// mu guards the fields below. It is not held during calls of the nodes table's copy, whose lock is taken first.
	mu       sync.Mutex
	detector *crash.Detector
	// examined holds the examinations in progress by server id.
	examined map[string]*examination
	// news has not been sent to the other gates yet.
	news crashNews
	// logged holds the keys of the rules in force, saved those of rules that this gate has written to the store, and ended those of rules
	// that have ended since and may be there.
	logged map[uint64]bool
	saved  map[uint64]bool
	ended  map[uint64]bool
}

// examination is what is known about a server that has closed connections and is being examined.
type examination struct {
	// suspects holds when the last prompt with a part was sent, for calls that had just begun or were about to.
	suspects map[uint64]time.Time
	// answered holds the parts of prompts whose answers ended with their connections.
	answered [][]uint64
}

func newCrashWatch(gt *Gate) *crashWatch {
	return &crashWatch{gate: gt, detector: crash.NewDetector(), examined: make(map[string]*examination),
		logged: make(map[uint64]bool), saved: make(map[uint64]bool), ended: make(map[uint64]bool)}
}

// hashParts returns the hashes of a prompt's shared parts. The last part belongs to the call or its conversation alone.
func hashParts(model string, parts []pick.Part) []uint64 {
	if model == "" || len(parts) < 2 {
		return nil
	}
	hashes := make([]uint64, 0, len(parts)-1)
	for _, pt := range parts[:len(parts)-1] {
		hashes = append(hashes, xxhash.Sum64String(model+"/"+pt.ID()))
	}
	return hashes
}

// check returns the reason why a request must not be sent to a server, or nil.
func (cw *crashWatch) check(ctx context.Context, now time.Time, rq *request) *answer.Error {
	if len(rq.partHashes) == 0 || rq.trial {
		return nil
	}
	verdict := cw.decide(now, rq.partHashes)
	switch {
	case verdict.Trial:
		rq.trial = true
		cw.gate.log.WithFields(logrus.Fields{"event": "crash_trial", "request_id": rq.info.RequestID, "rule": keyName(verdict.Rule.Key())}).
			Info("trying a prompt with parts on which servers crashed")
		return nil
	case !verdict.Forbidden:
		return nil
	case verdict.Offer > 0:
		cw.calls.Go(func() { cw.claimTrial(context.WithoutCancel(ctx), verdict.Rule, verdict.Offer) })
	}
	return answer.NewError(answer.CrashingPrompt, answer.NotRun, verdict.RetryAfter, "servers crash on parts of the prompt (rule %s)",
		keyName(verdict.Rule.Key()))
}

func (cw *crashWatch) decide(now time.Time, parts []uint64) crash.Verdict {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	return cw.detector.Decide(now, parts)
}

// recordServed records that a request was answered.
func (cw *crashWatch) recordServed(rq *request) {
	if len(rq.partHashes) == 0 {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.addServed(rq.partHashes)
}

// addServed is recordServed; the caller holds mu.
func (cw *crashWatch) addServed(parts []uint64) {
	cw.news.sightings = append(cw.news.sightings, cw.detector.AddServed(time.Now(), parts)...)
}

// recordClosed records that a server closed the connection of an attempt, and examines whether the server has crashed. answered is set if that
// may have been the end of the answer. A server that has announced its stop closes connections when it stops.
func (cw *crashWatch) recordClosed(ctx context.Context, at *attempt, answered bool) {
	parts, sv := at.rq.partHashes, at.choice.Server()
	if cw.gate.picker.Leaving(sv) {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	ex, ok := cw.examined[sv.ID()]
	if !ok {
		ex = &examination{suspects: make(map[uint64]time.Time)}
		cw.examined[sv.ID()] = ex
		closedAt := time.Now()
		cw.calls.Go(func() { cw.examine(context.WithoutCancel(ctx), sv, closedAt) })
	}
	if answered {
		ex.answered = append(ex.answered, parts)
	}
	if !at.firstEventAt.IsZero() && time.Since(at.firstEventAt) > beginWindow {
		return
	}
	for _, part := range parts {
		if len(ex.suspects) < maxReportedParts && ex.suspects[part].Before(at.sentAt) {
			ex.suspects[part] = at.sentAt
		}
	}
}

// examine reports a server as crashed if it refuses connections. One that accepts them has ended or broken off single answers; a VM that does
// not respond was cut off or lost power.
func (cw *crashWatch) examine(parent context.Context, sv *fleet.Server, closedAt time.Time) {
	ctx, cancel := context.WithTimeout(parent, examineTimeout)
	defer cancel()
	crashed := client.RefusesConnections(ctx, sv.Address())
	timer.Sleep(ctx, collectDelay)
	cw.mu.Lock()
	defer cw.mu.Unlock()
	ex := cw.examined[sv.ID()]
	delete(cw.examined, sv.ID())
	if !crashed {
		for _, parts := range ex.answered {
			cw.addServed(parts)
		}
		return
	}
	cw.gate.log.WithFields(logrus.Fields{"event": "server_crashed", "server": sv.ID(), "suspects": len(ex.suspects)}).
		Info("server closed its connections and refuses new ones")
	if len(ex.suspects) > 0 {
		rp := crash.NewReport(sv.Hash(), xxhash.Sum64String(sv.Address()), closedAt, ex.suspects)
		cw.news.reports = append(cw.news.reports, rp)
		cw.news.sightings = append(cw.news.sightings, cw.detector.AddReport(rp)...)
	}
}

// apply applies the news of another gate.
func (cw *crashWatch) apply(now time.Time, cn crashNews) {
	if cn.size() == 0 {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.detector.AddSightings(cn.sightings)
	for _, rp := range cn.reports {
		cw.news.sightings = append(cw.news.sightings, cw.detector.AddReport(rp)...)
	}
	cw.news.sightings = append(cw.news.sightings, cw.detector.AddRules(now, cn.rules)...)
}

// takeNews returns the news for the other gates since the last call.
func (cw *crashWatch) takeNews() crashNews {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cn := cw.news
	cw.news = crashNews{}
	return cn
}

// rules returns the rules for the other gates.
func (cw *crashWatch) rules(now time.Time) []crash.Rule {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	return cw.detector.Rules(now)
}

// refresh derives the rules from the latest reports, and logs those that have come into force or ended.
func (cw *crashWatch) refresh() {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.detector.Refresh(time.Now())
	keys := cw.detector.RuleKeys()
	for _, key := range keys {
		if !cw.logged[key] {
			cw.logged[key] = true
			delete(cw.ended, key)
			cw.gate.log.WithFields(logrus.Fields{"event": "crash_rule", "rule": keyName(key)}).
				Warn("prompts with parts on which servers crash are refused")
		}
	}
	for key := range cw.logged {
		if !slices.Contains(keys, key) {
			delete(cw.logged, key)
			delete(cw.saved, key)
			cw.ended[key] = true
			cw.gate.log.WithFields(logrus.Fields{"event": "crash_rule_ended", "rule": keyName(key)}).
				Info("prompts with parts that were blamed for crashes are accepted again")
		}
	}
}

// keyName returns the text of a key, in logs and in the store.
func keyName(key uint64) string { return strconv.FormatUint(key, 16) }
