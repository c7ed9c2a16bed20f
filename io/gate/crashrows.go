package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"shallotcleat/core/crash"
	"shallotcleat/io/feed"
	"shallotcleat/io/table"
)

// Parameters of the rows about crashes in the nodes table: rules outlive a loss of all gates there.
const (
	// saveRulesInterval is the time between attempts to write rules, and ruleWriters the number of gates that write each.
	saveRulesInterval = time.Second
	ruleWriters       = 2
)

// ruleRow is the row of a rule. A rule that has ended has no parts.
type ruleRow struct {
	Role           string   `json:"role"`
	Parts          []uint64 `json:"parts"`
	SinceUnixMilli int64    `json:"since"`
	Early          bool     `json:"early,omitempty"`
	// Trials is the number of the last trial period in which a gate has tried a prompt.
	Trials int `json:"trials"`
}

func newRuleRow(rl crash.Rule, trials int) ruleRow {
	return ruleRow{Role: roleCrashRule, Parts: rl.Parts(), SinceUnixMilli: rl.Since().UnixMilli(), Early: rl.EarlyTrial(), Trials: trials}
}

// ruleRowKey returns the key of a rule's row in the nodes table.
func ruleRowKey(key uint64) string { return "rule-" + keyName(key) }

// applyRows applies the rules in rows of the nodes table.
func (cw *crashWatch) applyRows(rows []feed.Row) {
	now := time.Now()
	var cn crashNews
	for _, rw := range rows {
		var rr ruleRow
		if err := json.Unmarshal(rw.Value(), &rr); err != nil || rr.Role != roleCrashRule || len(rr.Parts) == 0 {
			// Rows of other roles, and rules that have ended.
			continue
		}
		since := now.Add(-max(now.Sub(time.UnixMilli(rr.SinceUnixMilli)), 0))
		cn.rules = append(cn.rules, crash.NewRule(rr.Parts, since, since).WithEarlyTrial(rr.Early))
	}
	cw.apply(now, cn)
}

// saveRules writes new rules to the store, and marks those that have ended, if this gate is one of those that do that.
func (cw *crashWatch) saveRules(ctx context.Context) {
	unsaved, ended := cw.unsavedRules()
	for _, rl := range unsaved {
		if cw.writesRule(rl.Key()) {
			cw.writeRow(ctx, rl.Key(), newRuleRow(rl, 0))
		}
	}
	for _, key := range ended {
		if cw.writesRule(key) {
			cw.writeRow(ctx, key, ruleRow{Role: roleCrashRule})
		} else {
			cw.recordSaved(key)
		}
	}
}

// unsavedRules returns the rules that this gate has not written yet, and the keys of those that have ended.
func (cw *crashWatch) unsavedRules() (rules []crash.Rule, ended []uint64) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	for _, rl := range cw.detector.Rules(time.Now()) {
		if !cw.saved[rl.Key()] {
			rules = append(rules, rl)
		}
	}
	for key := range cw.ended {
		ended = append(ended, key)
	}
	return rules, ended
}

// writesRule reports whether this gate is one of those that write a rule's row.
func (cw *crashWatch) writesRule(key uint64) bool {
	writers := cw.gate.gateList.Ranked(keyName(key))
	return slices.Contains(writers[:min(len(writers), ruleWriters)], cw.gate.opts.PeerAddress)
}

// writeRow writes a rule's row over what the store has, unless another gate has written the same state.
func (cw *crashWatch) writeRow(ctx context.Context, key uint64, rr ruleRow) {
	err := cw.commitRow(ctx, key, rr, 0)
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		var stored ruleRow
		cell := ce.Cell(cw.rowPath(key))
		if json.Unmarshal(cell.Value, &stored) == nil && (len(stored.Parts) > 0) == (len(rr.Parts) > 0) {
			err = nil
		} else {
			err = cw.commitRow(ctx, key, rr, cell.Version)
		}
	}
	if err != nil {
		cw.gate.log.WithError(err).WithField("rule", keyName(key)).Info("writing a rule about crashes failed; retrying")
		return
	}
	cw.recordSaved(key)
}

// recordSaved records that the store has the present state of a rule.
func (cw *crashWatch) recordSaved(key uint64) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.saved[key] = cw.logged[key]
	delete(cw.ended, key)
}

func (cw *crashWatch) rowPath(key uint64) string { return cw.gate.nodeRowPath(ruleRowKey(key)) }

// commitRow writes a rule's row if it has the expected version.
func (cw *crashWatch) commitRow(ctx context.Context, key uint64, rr ruleRow, expectedVersion uint64) error {
	if _, _, err := cw.gate.commitNodeRow(ctx, ruleRowKey(key), rr, expectedVersion); err != nil {
		return fmt.Errorf("write rule: %w", err)
	}
	return nil
}

// claimTrial lets one request that a rule forbids pass at this gate, if no other gate has claimed the trial of the period.
func (cw *crashWatch) claimTrial(ctx context.Context, rl crash.Rule, period int) {
	err := cw.commitRow(ctx, rl.Key(), newRuleRow(rl, period), 0)
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		var stored ruleRow
		cell := ce.Cell(cw.rowPath(rl.Key()))
		if json.Unmarshal(cell.Value, &stored) == nil && stored.Trials >= period {
			cw.settleTrial(rl.Key(), period, false)
			return
		}
		err = cw.commitRow(ctx, rl.Key(), newRuleRow(rl, period), cell.Version)
	}
	if err != nil {
		cw.gate.log.WithError(err).WithField("rule", keyName(rl.Key())).Debug("another gate tries a request, or the store does not answer")
		return
	}
	cw.settleTrial(rl.Key(), period, true)
}

func (cw *crashWatch) settleTrial(key uint64, period int, granted bool) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.detector.SettleTrial(time.Now(), key, period, granted)
}

// rewriteRules writes the rules again after a restore of the store.
func (cw *crashWatch) rewriteRules() {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	clear(cw.saved)
}
