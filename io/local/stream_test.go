package local

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"shallotcleat/io/trace"
)

// streamTokens is the length of the streams that are broken at each of their frames.
const streamTokens = 8

// checkWhole checks that a caller has got the whole answer once and in order.
func checkComplete(t *testing.T, what string, tag string, sr *streamResult) {
	t.Helper()
	if want := expectedText(tag, streamTokens); !sr.done || sr.failed || sr.text.String() != want {
		t.Errorf("%s: ended %t, failed %t, text %q", what, sr.done, sr.failed, sr.text.String())
	}
}

// streamWith asks for a stream and calls a function when the caller has got a number of events.
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

func TestConnectionLossAtEachFrame(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	for at := 1; at <= streamTokens; at++ {
		tag := "cut" + string(rune('a'+at))
		sr := streamWithHook(t.Context(), t, cl.caller(0), tag, at, cl.modelProxies[0].disconnect)
		checkComplete(t, "link cut", tag, sr)
	}
	if countEvents(cl.modelAgents[0], trace.StreamResumed) == 0 {
		t.Error("no stream was resumed")
	}
}

// Both engines crash at the same frame, so that the stream can end neither here nor there: the caller gets what there
// was and an explicit error.
func TestAllEnginesCrashAtEachFrame(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	for at := 1; at <= streamTokens/2; at++ {
		tag := "crash" + string(rune('a'+at))
		for _, engine := range cl.engines {
			engine.CrashAfter(at)
		}
		sr := streamWithHook(t.Context(), t, cl.caller(0), tag, 0, func() {})
		if sr.status == http.StatusOK && !sr.failed || sr.done {
			t.Errorf("crash at %d: status %d, ended %t, failed %t", at, sr.status, sr.done, sr.failed)
		}
		if want := expectedText(tag, sr.events); sr.text.String() != want {
			t.Errorf("crash at %d: text %q", at, sr.text.String())
		}
		cl.waitFor("a usable engine", func() bool {
			_, rsp, err := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt("ok"), 1)
			return err == nil && rsp.Status == http.StatusOK
		})
	}
}

// One engine crashes in the middle; the other goes on where it stopped.
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

// running reports whether an agent's engine is at work on more calls than it has ended.
func hasRunningRequest(node *Node) bool {
	return countEvents(node, trace.ServerCalled) > countEvents(node, trace.ServerAnswered)+countEvents(node, trace.ServerFailed)
}

// The agent is gone for good; its place is taken by another.
func TestAgentLossAtEachFrame(t *testing.T) {
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
		checkComplete(t, "agent gone", tag, sr)
	}
}

// The caller's entry is gone; another one goes on from the caller's last event.
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
			checkComplete(t, "entry gone, "+method, tag, sr)
		}
	}
}

// Entry and engine are both gone: the second entry has the body and goes on at another engine.
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
	checkComplete(t, "entry and engine gone", "both", sr)
}

// Callers who leave in the middle of their streams, several at once, are no fault of the agent: it is not ejected.
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
	cl.waitFor("the entry's notice", func() bool { return countEvents(cl.entries[0], trace.RequestAnswered) == callers })
	complete(t, cl.caller(0), taggedPrompt("stays"))
}

// Another workspace that learned an event's id gets nothing of the stream.
func TestResumeFromAnotherWorkspaceIsRefused(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	sr := streamWithHook(t.Context(), t, cl.caller(0), "mine", 0, func() {})
	otherCaller := NewCaller(cl.entries[0].Address(), hradekKey)
	rsp, err := otherCaller.Do(t.Context(), http.MethodGet, "/v1/streams", nil, "Last-Event-ID", sr.lastID)
	if err != nil {
		t.Fatal(err)
	}
	if rsp.Status != http.StatusGone {
		t.Errorf("status %d: %s", rsp.Status, rsp.Body)
	}
}
