package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"shallotcleat/io/table"
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
	// saveRulesInterval is the time between attempts to write rules to the store, and ruleWriters the number of gates that write each.
	saveRulesInterval = time.Second
	ruleWriters       = 2
	// firstReadTimeout bounds the first read of the rules, for which a gate that starts waits.
	firstReadTimeout = 500 * time.Millisecond
	// maxStoredRuleAge is the age above which a rule in the store is ignored.
	maxStoredRuleAge = time.Hour
	// rulesTable is the table of the rules, so that they outlive a loss of all gates.
	rulesTable = "crashrules"
	// trialKey is the key by which the gate that tries refused prompts is chosen.
	trialKey = "crash-trials"
)

// crashWatch finds, together with the other gates, the parts of prompts on which servers crash, and refuses prompts with them.
type crashWatch struct {
	gate *Gate
	// examinations are the examinations of servers in progress.
	examinations conc.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	detector *crash.Detector
	// suspects holds, for each server under examination by id, when the last prompt with a part was sent to it.
	suspects map[string]map[uint64]time.Time
	// news has not been sent to the other gates yet.
	news crashNews
	// logged and saved hold the keys of the rules in force that were logged, and of those that are in the store.
	logged map[uint64]bool
	saved  map[uint64]bool
}

func newCrashWatch(gt *Gate) *crashWatch {
	return &crashWatch{gate: gt, detector: crash.NewDetector(), suspects: make(map[string]map[uint64]time.Time),
		logged: make(map[uint64]bool), saved: make(map[uint64]bool)}
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
func (cw *crashWatch) check(now time.Time, rq *request) *answer.Error {
	if len(rq.partHashes) == 0 {
		return nil
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	verdict := cw.detector.Decide(now, rq.partHashes, cw.triesPrompts)
	if verdict.Trial {
		rq.trial = true
		cw.gate.log.WithFields(logrus.Fields{"event": "crash_trial", "request_id": rq.info.RequestID, "rule": ruleName(verdict.Rule)}).
			Info("trying a prompt with parts on which servers crashed")
	}
	if !verdict.Forbidden {
		return nil
	}
	return answer.NewError(answer.CrashingPrompt, answer.NotRun, verdict.RetryAfter, "servers crash on parts of the prompt (rule %s)",
		ruleName(verdict.Rule))
}

// triesPrompts reports whether this is the gate that tries refused prompts.
func (cw *crashWatch) triesPrompts() bool {
	ranked := cw.gate.gateList.Ranked(trialKey)
	return len(ranked) > 0 && ranked[0] == cw.gate.opts.PeerAddress
}

// recordServed records that a request was answered to its end.
func (cw *crashWatch) recordServed(rq *request) {
	if len(rq.partHashes) == 0 {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.news.sightings = append(cw.news.sightings, cw.detector.AddServed(time.Now(), rq.partHashes)...)
	cw.logChanges()
}

// recordBroken records that a server closed the connection of an attempt, and examines whether the server has crashed.
func (cw *crashWatch) recordBroken(ctx context.Context, at *attempt) {
	if len(at.rq.partHashes) == 0 {
		return
	}
	sv := at.choice.Server()
	cw.mu.Lock()
	defer cw.mu.Unlock()
	suspects, ok := cw.suspects[sv.ID()]
	if !ok {
		suspects = make(map[uint64]time.Time)
		cw.suspects[sv.ID()] = suspects
		brokenAt := time.Now()
		cw.examinations.Go(func() { cw.examine(context.WithoutCancel(ctx), sv, brokenAt) })
	}
	if !at.firstEventAt.IsZero() && time.Since(at.firstEventAt) > beginWindow {
		return
	}
	for _, part := range at.rq.partHashes {
		if len(suspects) < maxReportedParts && suspects[part].Before(at.sentAt) {
			suspects[part] = at.sentAt
		}
	}
}

// examine reports a server as crashed if it refuses connections. One that accepts them broke off single answers; a VM that does not respond
// was cut off or lost power.
func (cw *crashWatch) examine(parent context.Context, sv *fleet.Server, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(parent, examineTimeout)
	defer cancel()
	crashed := client.RefusesConnections(ctx, sv.Address())
	timer.Sleep(ctx, collectDelay)
	cw.mu.Lock()
	defer cw.mu.Unlock()
	suspects := cw.suspects[sv.ID()]
	delete(cw.suspects, sv.ID())
	if !crashed {
		return
	}
	cw.gate.log.WithFields(logrus.Fields{"event": "server_crashed", "server": sv.ID(), "suspects": len(suspects)}).
		Info("server closed its connections and refuses new ones")
	if len(suspects) > 0 {
		rp := crash.NewReport(sv.Hash(), brokenAt, suspects)
		cw.news.reports = append(cw.news.reports, rp)
		cw.addReports([]crash.Report{rp})
	}
}

// addReports adds reports to the detector; the caller holds mu.
func (cw *crashWatch) addReports(reports []crash.Report) {
	for _, rp := range reports {
		cw.news.sightings = append(cw.news.sightings, cw.detector.AddReport(time.Now(), rp)...)
	}
	cw.logChanges()
}

// apply applies the news of another gate.
func (cw *crashWatch) apply(now time.Time, cn crashNews) {
	if cn.size() == 0 {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.detector.AddSightings(now, cn.sightings)
	cw.detector.AddRules(now, cn.rules)
	cw.addReports(cn.reports)
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

// logChanges logs the rules that have come into force and those that have ended; the caller holds mu.
func (cw *crashWatch) logChanges() {
	keys := cw.detector.RuleKeys()
	for _, key := range keys {
		if !cw.logged[key] {
			cw.logged[key] = true
			cw.gate.log.WithFields(logrus.Fields{"event": "crash_rule", "rule": strconv.FormatUint(key, 16)}).
				Warn("prompts with parts on which servers crash are refused")
		}
	}
	for key := range cw.logged {
		if !slices.Contains(keys, key) {
			delete(cw.logged, key)
			delete(cw.saved, key)
			cw.gate.log.WithFields(logrus.Fields{"event": "crash_rule_ended", "rule": strconv.FormatUint(key, 16)}).
				Info("prompts with parts that were blamed for crashes are accepted again")
		}
	}
}

// ruleName returns the key of a rule for logs.
func ruleName(rl crash.Rule) string { return strconv.FormatUint(rl.Key(), 16) }

// storedRule is the row of a rule in the store.
type storedRule struct {
	Parts          []uint64 `json:"parts"`
	SinceUnixMilli int64    `json:"since"`
}

// saveRules writes new rules to the store if this gate is one of those that do that.
func (cw *crashWatch) saveRules(ctx context.Context) {
	for _, rl := range cw.rules(time.Now()) {
		key := rl.Key()
		cw.mu.Lock()
		saved := cw.saved[key]
		cw.mu.Unlock()
		writers := cw.gate.gateList.Ranked(ruleName(rl))
		writers = writers[:min(len(writers), ruleWriters)]
		if saved || !slices.Contains(writers, cw.gate.opts.PeerAddress) {
			continue
		}
		if err := cw.saveRule(ctx, rl); err != nil {
			cw.gate.log.WithError(err).WithField("rule", ruleName(rl)).Info("writing a crash rule to the store failed; retrying")
			continue
		}
		cw.mu.Lock()
		cw.saved[key] = true
		cw.mu.Unlock()
	}
}

func (cw *crashWatch) saveRule(parent context.Context, rl crash.Rule) error {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	value, err := json.Marshal(storedRule{Parts: rl.Parts(), SinceUnixMilli: rl.Since().UnixMilli()})
	if err != nil {
		return fmt.Errorf("encode rule: %w", err)
	}
	_, err = cw.gate.opts.Store.Commit(ctx, []table.Write{{Key: rulesTable + "/" + ruleName(rl), Value: value}})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		// Another gate has written the rule.
		return nil
	}
	if err != nil {
		return fmt.Errorf("write rule: %w", err)
	}
	return nil
}

// followRules reads the rules in the store once; if that fails, it retries in the background.
func (cw *crashWatch) followRules(ctx context.Context, wg *conc.WaitGroup) {
	err := cw.readRules(ctx, firstReadTimeout)
	if err == nil {
		return
	}
	cw.gate.log.WithError(err).Info("reading crash rules failed; retrying")
	wg.Go(func() {
		for err != nil && ctx.Err() == nil {
			timer.Sleep(ctx, saveRulesInterval)
			err = cw.readRules(ctx, storeTimeout)
		}
	})
}

// readRules reads the rules in the store.
func (cw *crashWatch) readRules(parent context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	rows, _, err := cw.gate.opts.Source.Read(ctx, rulesTable)
	if err != nil {
		return fmt.Errorf("read rules: %w", err)
	}
	now := time.Now()
	var rules []crash.Rule
	for _, rw := range rows {
		var sr storedRule
		if err := json.Unmarshal(rw.Value(), &sr); err != nil {
			cw.gate.log.WithError(err).WithField("row", rw.Key()).Warn("cannot decode crash rule; skipping row")
			continue
		}
		if age := now.Sub(time.UnixMilli(sr.SinceUnixMilli)); age < maxStoredRuleAge {
			rules = append(rules, crash.NewRule(sr.Parts, now.Add(-max(age, 0)), now))
		}
	}
	cw.apply(now, crashNews{rules: rules})
	return nil
}

// rewriteRules writes the rules again after a restore of the store.
func (cw *crashWatch) rewriteRules() {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	clear(cw.saved)
}
