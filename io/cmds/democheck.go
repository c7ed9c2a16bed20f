package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"shallotcleat/io/local"
)

// demoCheck is one step of the demo. run returns a summary of the response, and an error if the check fails.
type demoCheck struct {
	name string
	run  func(ctx context.Context, dm *demo) (string, error)
}

func demoChecks() []demoCheck {
	return []demoCheck{
		{"completion", checkCompletion},
		{"repeated prompt hits the cache", checkCacheHit},
		{"cache is not shared between workspaces", checkCacheIsolation},
		{"streamed completion", checkStream},
		{"chat", checkChat},
		{"short completion", checkShortCompletion},
		{"lookup", checkLookup},
		{"order", checkOrder},
		{"repeated order does not run again", checkRepeatedOrder},
		{"reused key with a different body", checkReusedKey},
		{"order without an idempotency key", checkMissingKey},
		{"order while the table is down", checkOrderInOutage},
		{"same order after the outage", checkOrderAfterOutage},
		{"unknown API key", checkUnknownAPIKey},
		{"invalid body", checkInvalidBody},
		{"timeline of the order", checkTimeline},
	}
}

func (dm *demo) check(ctx context.Context, ck demoCheck) {
	start := time.Now()
	summary, err := ck.run(ctx, dm)
	verdict := "right"
	if err != nil {
		dm.failures++
		verdict = "WRONG: " + err.Error()
	}
	_, _ = fmt.Fprintf(dm.out, "%-40s %-60s %6.1f ms  %s\n", ck.name, summary, float64(time.Since(start).Microseconds())/1000, verdict)
}

// demoPrompt returns a prompt of several pieces. It ends with a tag, which the fake engine repeats in its completion.
func demoPrompt(tag string) string {
	return strings.Repeat("plan the sandpit delivery; ", 40) + "#" + tag + "#"
}

// expectedText returns the completion that the fake engine generates for a prompt with the given tag.
func expectedText(tag string, tokens int) string {
	var out strings.Builder
	for i := range tokens {
		fmt.Fprintf(&out, " %s-%d", tag, i)
	}
	return out.String()
}

func expectEqual[T comparable](what string, got, want T) error {
	if got != want {
		return fmt.Errorf("%s is %v, want %v", what, got, want)
	}
	return nil
}

// checkText requests a completion and returns it with a summary, and an error if its text is wrong.
func checkText(ctx context.Context, cl *local.Caller, tag string, tokens int) (local.Completion, string, error) {
	cp, rp, err := cl.Complete(ctx, "dispatch", demoPrompt(tag), tokens)
	if err != nil {
		return cp, "", err
	}
	summary := fmt.Sprintf("%d, %d of %d prompt tokens cached", rp.Status, cp.Usage.Details.CachedTokens, cp.Usage.PromptTokens)
	return cp, summary, expectEqual("text", cp.Text(), expectedText(tag, tokens))
}

func checkCompletion(ctx context.Context, dm *demo) (string, error) {
	_, summary, err := checkText(ctx, dm.mchanga, "lorry", 12)
	return summary, err
}

func checkCacheHit(ctx context.Context, dm *demo) (string, error) {
	cp, summary, err := checkText(ctx, dm.mchanga, "lorry", 12)
	if err == nil && cp.Usage.Details.CachedTokens == 0 {
		err = fmt.Errorf("no prompt tokens were cached")
	}
	return summary, err
}

func checkCacheIsolation(ctx context.Context, dm *demo) (string, error) {
	cp, summary, err := checkText(ctx, dm.hradek, "lorry", 12)
	if err != nil {
		return summary, err
	}
	return summary, expectEqual("cached tokens", cp.Usage.Details.CachedTokens, 0)
}

func checkStream(ctx context.Context, dm *demo) (string, error) {
	body, err := json.Marshal(map[string]any{"model": "dispatch", "prompt": demoPrompt("pit"), "max_tokens": 20, "stream": true})
	if err != nil {
		return "", err
	}
	var text strings.Builder
	events, done := 0, false
	rp, err := dm.mchanga.Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev local.Event) bool {
		events++
		text.WriteString(ev.Text())
		done = done || ev.Data == "[DONE]"
		return true
	})
	if err == nil && !done {
		err = fmt.Errorf("stream ended without [DONE]")
	}
	if err == nil {
		err = expectEqual("text", text.String(), expectedText("pit", 20))
	}
	return fmt.Sprintf("%d, %d events", rp.Status, events), err
}

func checkChat(ctx context.Context, dm *demo) (string, error) {
	body, err := json.Marshal(map[string]any{
		"model":      "dispatch",
		"messages":   []map[string]string{{"role": "user", "content": demoPrompt("turret")}},
		"max_tokens": 8,
	})
	if err != nil {
		return "", err
	}
	rp, err := dm.hradek.Do(ctx, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return "", err
	}
	var cp local.Completion
	if err := json.Unmarshal(rp.Body, &cp); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d", rp.Status), expectEqual("text", cp.Text(), expectedText("turret", 8))
}

func checkShortCompletion(ctx context.Context, dm *demo) (string, error) {
	_, summary, err := checkText(ctx, dm.mchanga, "yes", 1)
	return summary, err
}

func checkLookup(ctx context.Context, dm *demo) (string, error) {
	rp, err := dm.mchanga.Do(ctx, http.MethodGet, "/services/stock/items/river-sand", nil)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", rp.Status, strings.TrimSpace(string(rp.Body))), expectEqual("status", rp.Status, http.StatusOK)
}

// checkOrderResponse places an order and checks the status and outcome of the response, and how often the services ran the
// order.
func checkOrderResponse(
	ctx context.Context, dm *demo, key, body string, wantStatus int, wantOutcome string, wantRuns int,
) (string, error) {
	rp, err := dm.mchanga.PlaceOrder(ctx, key, body)
	if err != nil {
		return "", err
	}
	runs := dm.runCount(key)
	summary := fmt.Sprintf("%d %s %s, service runs: %d", rp.Status, rp.Outcome, rp.Code(), runs)
	if err := expectEqual("status", rp.Status, wantStatus); err != nil {
		return summary, err
	}
	if err := expectEqual("outcome", rp.Outcome, wantOutcome); err != nil {
		return summary, err
	}
	return summary, expectEqual("count", runs, wantRuns)
}

func checkOrder(ctx context.Context, dm *demo) (string, error) {
	return checkOrderResponse(ctx, dm, "sandpit-1", `{"tonnes":7}`, http.StatusCreated, "done", 1)
}

func checkRepeatedOrder(ctx context.Context, dm *demo) (string, error) {
	return checkOrderResponse(ctx, dm, "sandpit-1", `{"tonnes":7}`, http.StatusCreated, "done", 1)
}

func checkReusedKey(ctx context.Context, dm *demo) (string, error) {
	return checkOrderResponse(ctx, dm, "sandpit-1", `{"tonnes":8}`, http.StatusUnprocessableEntity, "not_run", 1)
}

func checkMissingKey(ctx context.Context, dm *demo) (string, error) {
	return checkOrderResponse(ctx, dm, "", `{"tonnes":7}`, http.StatusBadRequest, "not_run", 0)
}

func checkOrderInOutage(ctx context.Context, dm *demo) (string, error) {
	dm.platform.Table().SetDown(true)
	defer dm.platform.Table().SetDown(false)
	return checkOrderResponse(ctx, dm, "sandpit-2", `{"tonnes":3}`, http.StatusServiceUnavailable, "unknown", 0)
}

func checkOrderAfterOutage(ctx context.Context, dm *demo) (string, error) {
	return checkOrderResponse(ctx, dm, "sandpit-2", `{"tonnes":3}`, http.StatusCreated, "done", 1)
}

func checkUnknownAPIKey(ctx context.Context, dm *demo) (string, error) {
	caller := local.NewCaller(dm.nodes[len(dm.nodes)-1].Address(), "no-such-key")
	rp, err := caller.Do(ctx, http.MethodGet, "/services/stock/items/river-sand", nil)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", rp.Status, rp.Code()), expectEqual("status", rp.Status, http.StatusUnauthorized)
}

func checkInvalidBody(ctx context.Context, dm *demo) (string, error) {
	rp, err := dm.mchanga.Do(ctx, http.MethodPost, "/v1/completions", []byte(`{"model":"dispatch","prompt":7}`))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", rp.Status, rp.Code()), expectEqual("status", rp.Status, http.StatusBadRequest)
}

func checkTimeline(ctx context.Context, dm *demo) (string, error) {
	rp, err := dm.mchanga.PlaceOrder(ctx, "sandpit-3", `{"tonnes":1}`)
	if err != nil {
		return "", err
	}
	events, processes := 0, 0
	for _, nd := range dm.nodes {
		count := len(nd.Recorder().Events(rp.RequestID, 100))
		events += count
		if count > 0 {
			processes++
		}
	}
	return fmt.Sprintf("%d events in %d processes", events, processes), expectEqual("processes", processes, 2)
}
