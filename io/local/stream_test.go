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
func checkWhole(t *testing.T, what string, tag string, sm *streamed) {
	t.Helper()
	if want := textFor(tag, streamTokens); !sm.ended || sm.failed || sm.text.String() != want {
		t.Errorf("%s: ended %t, failed %t, text %q", what, sm.ended, sm.failed, sm.text.String())
	}
}

// streamWith asks for a stream and calls a function when the caller has got a number of events.
func streamWith(ctx context.Context, t *testing.T, cl *Caller, tag string, at int, then func()) *streamed {
	t.Helper()
	sm := &streamed{}
	rp, err := cl.Stream(ctx, http.MethodPost, "/v1/completions", streamBody(tag, streamTokens), func(ev Event) bool {
		sm.take(ev)
		if sm.events == at && ev.Text() != "" {
			then()
		}
		return true
	})
	if err != nil {
		t.Errorf("stream %s: %v", tag, err)
	}
	sm.status = rp.Status
	return sm
}

func TestLinkCutAtEachFrame(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	for at := 1; at <= streamTokens; at++ {
		tag := "cut" + string(rune('a'+at))
		sm := streamWith(t.Context(), t, st.caller(0), tag, at, st.cutters[0].cut)
		checkWhole(t, "link cut", tag, sm)
	}
	if count(st.models[0], trace.StreamResumed) == 0 {
		t.Error("no stream was resumed")
	}
}

// Both engines crash at the same frame, so that the stream can end neither here nor there: the caller gets what there
// was and an explicit error.
func TestAllEnginesCrashAtEachFrame(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, entries: 1})
	for at := 1; at <= streamTokens/2; at++ {
		tag := "crash" + string(rune('a'+at))
		for _, engine := range st.engines {
			engine.CrashAfter(at)
		}
		sm := streamWith(t.Context(), t, st.caller(0), tag, 0, func() {})
		if sm.status == http.StatusOK && !sm.failed || sm.ended {
			t.Errorf("crash at %d: status %d, ended %t, failed %t", at, sm.status, sm.ended, sm.failed)
		}
		if want := textFor(tag, sm.events); sm.text.String() != want {
			t.Errorf("crash at %d: text %q", at, sm.text.String())
		}
		st.waitFor("a usable engine", func() bool {
			_, rp, err := st.caller(0).Complete(t.Context(), "dispatch", promptOf("ok"), 1)
			return err == nil && rp.Status == http.StatusOK
		})
	}
}

// One engine crashes in the middle; the other goes on where it stopped.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, entries: 1})
	for at := 1; at <= streamTokens; at++ {
		tag := "other" + string(rune('a'+at))
		sm := streamWith(t.Context(), t, st.caller(0), tag, at, func() {
			for i, node := range st.models {
				if running(node) {
					st.engines[i].Restart()
				}
			}
		})
		checkWhole(t, "engine crash", tag, sm)
	}
	if count(st.entries[0], trace.StreamContinued) == 0 {
		t.Error("no stream was continued")
	}
}

// running reports whether an agent's engine is at work on more calls than it has ended.
func running(node *Node) bool {
	return count(node, trace.ServerCalled) > count(node, trace.ServerAnswered)+count(node, trace.ServerFailed)
}

// The agent is gone for good; its place is taken by another.
func TestAgentGoneAtEachFrame(t *testing.T) {
	for at := 1; at <= streamTokens; at += 3 {
		st := newSite(t, siteOptions{engines: 2, entries: 1})
		tag := "gone" + string(rune('a'+at))
		sm := streamWith(t.Context(), t, st.caller(0), tag, at, func() {
			for i, node := range st.models {
				if running(node) {
					st.cutters[i].cutForGood()
				}
			}
		})
		checkWhole(t, "agent gone", tag, sm)
	}
}

// The caller's entry is gone; another one goes on from the caller's last event.
func TestEntryGoneAtEachFrame(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, entries: 2})
	for at := 1; at < streamTokens; at++ {
		tag := "entry" + string(rune('a'+at))
		body := streamBody(tag, streamTokens)
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			sm := &streamed{}
			ctx, cancel := context.WithCancel(t.Context())
			_, _ = st.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev Event) bool {
				sm.take(ev)
				return sm.events < at
			})
			cancel()
			path := "/v1/completions"
			if method == http.MethodGet {
				path = "/v1/streams"
			}
			_, err := st.caller(1).Stream(t.Context(), method, path, body, func(ev Event) bool {
				sm.take(ev)
				return true
			}, "Last-Event-ID", sm.lastID)
			if err != nil {
				t.Error(err)
			}
			checkWhole(t, "entry gone, "+method, tag, sm)
		}
	}
}

// Entry and engine are both gone: the second entry has the body and goes on at another engine.
func TestEntryAndEngineGone(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, entries: 2})
	body := streamBody("both", streamTokens)
	sm := &streamed{}
	ctx, cancel := context.WithCancel(t.Context())
	_, _ = st.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sm.take(ev)
		return sm.events < 3
	})
	cancel()
	for i, node := range st.models {
		if running(node) {
			st.engines[i].Restart()
		}
	}
	_, err := st.caller(1).Stream(t.Context(), http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sm.take(ev)
		return true
	}, "Last-Event-ID", sm.lastID)
	if err != nil {
		t.Error(err)
	}
	checkWhole(t, "entry and engine gone", "both", sm)
}

// Callers who leave in the middle of their streams, several at once, are no fault of the agent: it is not ejected.
func TestLeavingCallersEjectNobody(t *testing.T) {
	const callers = 4
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	begun := make(chan struct{}, callers)
	for range callers {
		wg.Go(func() {
			first := true
			_, _ = st.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", streamBody("left", 1000), func(Event) bool {
				if first {
					begun <- struct{}{}
				}
				first = false
				return true
			})
		})
	}
	for range callers {
		<-begun
	}
	cancel()
	wg.Wait()
	st.waitFor("the entry's notice", func() bool { return count(st.entries[0], trace.RequestAnswered) == callers })
	complete(t, st.caller(0), promptOf("stays"))
}

// Another workspace that learned an event's id gets nothing of the stream.
func TestResumeOfAnotherWorkspace(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	sm := streamWith(t.Context(), t, st.caller(0), "mine", 0, func() {})
	stranger := NewCaller(st.entries[0].Address(), hradekKey)
	rp, err := stranger.Do(t.Context(), http.MethodGet, "/v1/streams", nil, "Last-Event-ID", sm.lastID)
	if err != nil {
		t.Fatal(err)
	}
	if rp.Status != http.StatusGone {
		t.Errorf("status %d: %s", rp.Status, rp.Body)
	}
}
