package local

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"shallotcleat/io/fake"
	"shallotcleat/io/trace"
)

// streamTokens is the length of the test streams in tokens; the tests inject failures after its frames.
const streamTokens = 8

// checkComplete checks that a caller received the complete stream once and in order.
func checkComplete(t *testing.T, what string, tag string, sr *streamResult) {
	t.Helper()
	if want := expectedText(tag, streamTokens); !sr.done || sr.failed || sr.text.String() != want {
		t.Errorf("%s: done %t, failed %t, text %q", what, sr.done, sr.failed, sr.text.String())
	}
}

// streamWithHook requests a stream and calls hook when the caller has received hookAt events with text.
func streamWithHook(ctx context.Context, t *testing.T, caller *Caller, tag string, hookAt int, hook func()) *streamResult {
	t.Helper()
	sr := &streamResult{}
	rsp, err := caller.Stream(ctx, http.MethodPost, "/v1/completions", streamBody(tag, streamTokens), func(ev Event) bool {
		sr.add(ev)
		if sr.events == hookAt && ev.Text() != "" {
			hook()
		}
		return true
	})
	if err != nil {
		t.Errorf("stream %s: %v", tag, err)
	}
	sr.status = rsp.Status
	return sr
}

// A stream is resumed and completes if the connection between entry and agent breaks after any frame.
func TestConnectionLossAtEachFrame(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	for at := 1; at <= streamTokens; at++ {
		tag := "cut" + string(rune('a'+at))
		sr := streamWithHook(t.Context(), t, cl.caller(0), tag, at, cl.modelProxies[0].disconnect)
		checkComplete(t, "connection lost", tag, sr)
	}
	if countEvents(cl.modelAgents[0], trace.StreamResumed) == 0 {
		t.Error("no stream was resumed")
	}
}

// If all engines crash at the same frame, the stream is complete if it needs no third engine. Otherwise the caller gets the tokens
// generated so far and an error event.
func TestAllEnginesCrashAtEachFrame(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	caller := cl.caller(0)
	for at := 1; at <= streamTokens; at++ {
		tag := "crash" + string(rune('a'+at))
		for _, engine := range cl.engines {
			engine.CrashAfter(at)
		}
		retries := countRetries(cl.entries[0])
		sr := streamWithHook(t.Context(), t, caller, tag, 0, func() {})
		// The second engine continues where the first one crashed; a third one would have to generate the tokens after that.
		tokens := min(2*(at-1), streamTokens)
		whole := tokens == streamTokens
		failed := sr.failed || sr.status != http.StatusOK
		if sr.events != tokens || sr.done != whole || failed == whole {
			t.Errorf("crash at %d: status %d, done %t, failed %t, %d tokens, want %d", at, sr.status, sr.done, sr.failed, sr.events, tokens)
		}
		if want := expectedText(tag, sr.events); sr.text.String() != want {
			t.Errorf("crash at %d: text %q is not a prefix of the expected output", at, sr.text.String())
		}
		cl.waitFor("an available engine", func() bool {
			_, rsp, err := caller.Complete(t.Context(), "dispatch", taggedPrompt("ok"), 1)
			return err == nil && rsp.Status == http.StatusOK
		})
		// How many attempts are refused because the engine has restarted depends on when its agent notices. So that this does not decide
		// over the next frame, the budget gets back what this one took.
		for paid := 0; paid < firstsPerRetry*(countRetries(cl.entries[0])-retries); paid++ {
			complete(t, caller, taggedPrompt("ok"))
		}
	}
}

// Parameters of an entry's retry budget.
const (
	// retryBudgetTokens is the number of retries that a full budget allows.
	retryBudgetTokens = 10
	// firstsPerRetry is the number of first attempts that pay for a retry.
	firstsPerRetry = 10
)

// countRetries returns the number of attempts that an entry sent after the first ones of its requests.
func countRetries(node *Node) int {
	return countEvents(node, trace.RequestPlaced) - countEvents(node, trace.RequestReceived)
}

// Streams that fail at both engines take a token from the retry budget for the one retry that was sent, and none for the third
// engine that is missing: a full budget lets each of them be retried.
func TestStreamsPayOnlyForSentRetries(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	for i := range retryBudgetTokens {
		for _, engine := range cl.engines {
			engine.CrashAfter(1)
		}
		sr := streamWithHook(t.Context(), t, cl.caller(0), "paid", 0, func() {})
		if sr.status == http.StatusOK {
			t.Errorf("stream %d: status 200, want a failure at both engines", i)
		}
		if retries := countRetries(cl.entries[0]); retries != i+1 {
			t.Fatalf("%d retries of %d streams, want one of each", retries, i+1)
		}
	}
}

// If one engine crashes during a stream, the other continues at the same token.
func TestStreamContinuesOnAnotherEngine(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	for at := 1; at <= streamTokens; at++ {
		tag := "other" + string(rune('a'+at))
		sr := streamWithHook(t.Context(), t, cl.caller(0), tag, at, func() {
			for i, node := range cl.modelAgents {
				if hasRunningRequest(node) {
					cl.engines[i].Restart()
				}
			}
		})
		checkComplete(t, "engine crash", tag, sr)
	}
	if countEvents(cl.entries[0], trace.StreamContinued) == 0 {
		t.Error("no stream was continued")
	}
}

// If an engine crashes after the last token that the caller asked for, the response is complete: it ends as done, with the token counts
// that are known, and no other engine is asked for more.
func TestEngineCrashAfterLastToken(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	for _, tt := range []struct {
		at    fake.EndCrash
		usage string
	}{
		{fake.BeforeUsage, `{"completion_tokens":8}`},
		{fake.BeforeDoneMarker, `{"prompt_tokens":251,"completion_tokens":8,"total_tokens":259,"prompt_tokens_details":{"cached_tokens":0}}`},
	} {
		tag := fmt.Sprintf("last%d", tt.at)
		crashAtEnd := func() {
			for _, engine := range cl.engines {
				engine.CrashAtEnd(tt.at)
			}
		}
		crashAtEnd()
		sr, events, retries := &streamResult{}, "", countRetries(cl.entries[0])
		rsp, err := cl.caller(0).Stream(t.Context(), http.MethodPost, "/v1/completions", streamBody(tag, streamTokens), func(ev Event) bool {
			sr.add(ev)
			events += ev.Data
			return true
		})
		sr.status = rsp.Status
		if checkComplete(t, tag, tag, sr); err != nil || !strings.Contains(events, `"usage":`+tt.usage) {
			t.Errorf("%s: %v, no usage %s in %s", tag, err, tt.usage, events)
		}
		if sent := countRetries(cl.entries[0]) - retries; sent != 0 {
			t.Errorf("%s: %d retries of a complete response", tag, sent)
		}
		resumed := &streamResult{}
		if _, err := cl.caller(0).Stream(t.Context(), http.MethodPost, "/v1/completions", streamBody(tag, streamTokens), func(ev Event) bool {
			resumed.add(ev)
			return true
		}, "Last-Event-ID", sr.lastID); err != nil || resumed.events != 0 || !resumed.done || resumed.failed {
			t.Errorf("%s, resumed after the last event: %v, %+v", tag, err, resumed)
		}
		crashAtEnd()
		cp, rsp, err := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt(tag+"whole"), streamTokens)
		if err != nil || rsp.Status != http.StatusOK || len(cp.Choices) != 1 || cp.Choices[0].Text != expectedText(tag+"whole", streamTokens) {
			t.Errorf("%s, not streamed: %v, status %d: %s", tag, err, rsp.Status, rsp.Body)
		}
		for _, engine := range cl.engines {
			engine.CrashAtEnd(fake.NoEndCrash)
		}
	}
}

// hasRunningRequest reports whether an agent has requests at its backend server that have not ended.
func hasRunningRequest(node *Node) bool {
	return countEvents(node, trace.ServerCalled) > countEvents(node, trace.ServerAnswered)+countEvents(node, trace.ServerFailed)
}

// If an agent becomes unreachable for good, the stream continues at another one.
func TestAgentLossAtSeveralFrames(t *testing.T) {
	for at := 1; at <= streamTokens; at += 3 {
		cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
		tag := "gone" + string(rune('a'+at))
		sr := streamWithHook(t.Context(), t, cl.caller(0), tag, at, func() {
			for i, node := range cl.modelAgents {
				if hasRunningRequest(node) {
					cl.modelProxies[i].shutDown()
				}
			}
		})
		checkComplete(t, "agent lost", tag, sr)
	}
}

// A caller that lost its entry resumes at another entry after its last event, with a POST or with a GET.
func TestEntryLossAtEachFrame(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 2})
	for at := 1; at < streamTokens; at++ {
		tag := "entry" + string(rune('a'+at))
		body := streamBody(tag, streamTokens)
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			sr := &streamResult{}
			ctx, cancel := context.WithCancel(t.Context())
			_, _ = cl.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev Event) bool {
				sr.add(ev)
				return sr.events < at
			})
			cancel()
			path := "/v1/completions"
			if method == http.MethodGet {
				path = "/v1/streams"
			}
			_, err := cl.caller(1).Stream(t.Context(), method, path, body, func(ev Event) bool {
				sr.add(ev)
				return true
			}, "Last-Event-ID", sr.lastID)
			if err != nil {
				t.Error(err)
			}
			checkComplete(t, "entry lost, "+method, tag, sr)
		}
	}
}

// If entry and engine are both lost, the caller's POST gives the second entry the body, from which another engine
// continues.
func TestEntryAndEngineLoss(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 2})
	body := streamBody("both", streamTokens)
	sr := &streamResult{}
	ctx, cancel := context.WithCancel(t.Context())
	_, _ = cl.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sr.add(ev)
		return sr.events < 3
	})
	cancel()
	for i, node := range cl.modelAgents {
		if hasRunningRequest(node) {
			cl.engines[i].Restart()
		}
	}
	_, err := cl.caller(1).Stream(t.Context(), http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sr.add(ev)
		return true
	}, "Last-Event-ID", sr.lastID)
	if err != nil {
		t.Error(err)
	}
	checkComplete(t, "entry and engine lost", "both", sr)
}

// Several callers that disconnect during their streams do not count as failures of the agent, which is not ejected.
func TestCallerDisconnectsDoNotEjectAgent(t *testing.T) {
	const callers = 4
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	started := make(chan struct{}, callers)
	for range callers {
		wg.Go(func() {
			first := true
			_, _ = cl.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", streamBody("left", 1000), func(Event) bool {
				if first {
					started <- struct{}{}
				}
				first = false
				return true
			})
		})
	}
	for range callers {
		<-started
	}
	cancel()
	wg.Wait()
	cl.waitFor("the entry to record the end of all requests", func() bool {
		return countEvents(cl.entries[0], trace.RequestAnswered) == callers
	})
	complete(t, cl.caller(0), taggedPrompt("stays"))
}

// A workspace cannot resume a stream of another one, even with a valid event id.
func TestResumeFromAnotherWorkspaceIsRefused(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	sr := streamWithHook(t.Context(), t, cl.caller(0), "mine", 0, func() {})
	otherCaller := NewCaller(cl.entries[0].Address(), hradekKey)
	rsp, err := otherCaller.Do(t.Context(), http.MethodGet, "/v1/streams", nil, "Last-Event-ID", sr.lastID)
	if err != nil {
		t.Fatal(err)
	}
	if rsp.Status != http.StatusGone {
		t.Errorf("status %d, want 410: %s", rsp.Status, rsp.Body)
	}
}
