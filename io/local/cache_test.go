package local

import (
	"net/http"
	"testing"

	"shallotcleat/io/trace"
)

// complete asks for a short answer and returns the cached tokens that the engine told.
func complete(t *testing.T, cl *Caller, prompt string) (cached int, requestID string) {
	t.Helper()
	cp, rp, err := cl.Complete(t.Context(), "dispatch", prompt, 2)
	if err != nil || rp.Status != http.StatusOK {
		t.Fatalf("status %d, %v: %s", rp.Status, err, rp.Body)
	}
	return cp.Usage.Details.CachedTokens, rp.RequestID
}

// expectedCached returns what the entry counted on when it last placed a request.
func expectedCached(node *Node, requestID string) string {
	expected := ""
	for _, ev := range node.Recorder().Events(requestID, 1000) {
		if ev.Kind == trace.RequestPlaced {
			expected = ev.Fields["expected_cached"]
		}
	}
	return expected
}

func TestRebornEngineIsNotCountedOn(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	prompt := promptOf("reborn")
	complete(t, st.caller(0), prompt)
	cached, id := complete(t, st.caller(0), prompt)
	if cached == 0 || expectedCached(st.entries[0], id) == "0" {
		t.Fatalf("cached %d, expected %s: the second call should hit", cached, expectedCached(st.entries[0], id))
	}
	before := count(st.models[0], trace.RequestRefused)
	st.engines[0].Restart()
	st.waitFor("the agent's notice of the reborn engine", func() bool { return st.models[0].EngineIncarnation() == 2 })
	cached, id = complete(t, st.caller(0), prompt)
	if cached != 0 || expectedCached(st.entries[0], id) != "0" {
		t.Errorf("cached %d, expected %s after the engine was reborn", cached, expectedCached(st.entries[0], id))
	}
	t.Logf("%d refusals told the entry of the reborn engine", count(st.models[0], trace.RequestRefused)-before)
}

func TestWorkspacesShareNothing(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	prompt := promptOf("same")
	complete(t, st.caller(0), prompt)
	cached, id := complete(t, NewCaller(st.entries[0].Address(), hradekKey), prompt)
	if cached != 0 || expectedCached(st.entries[0], id) != "0" {
		t.Errorf("cached %d, expected %s for another workspace's text", cached, expectedCached(st.entries[0], id))
	}
}

// Lost cache events change nothing: the router counts on what replies tell, and the engine's word is the usage.
func TestLostCacheEvents(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	st.engines[0].SetDropEvents(true)
	prompt := promptOf("events")
	first, _ := complete(t, st.caller(0), prompt)
	second, _ := complete(t, st.caller(0), prompt)
	if first != 0 || second == 0 {
		t.Errorf("cached %d and then %d", first, second)
	}
}
