package local

import (
	"net/http"
	"testing"

	"shallotcleat/io/trace"
)

// complete requests a short completion and returns the number of cached tokens in its usage, and the request ID.
func complete(t *testing.T, caller *Caller, prompt string) (cached int, requestID string) {
	t.Helper()
	cp, rsp, err := caller.Complete(t.Context(), "dispatch", prompt, 2)
	if err != nil || rsp.Status != http.StatusOK {
		t.Fatalf("status %d, %v: %s", rsp.Status, err, rsp.Body)
	}
	return cp.Usage.Details.CachedTokens, rsp.RequestID
}

// expectedCached returns the number of cached tokens that the entry expected when it last placed the request.
func expectedCached(node *Node, requestID string) string {
	expected := ""
	for _, ev := range node.Recorder().Events(requestID, 1000) {
		if ev.Kind == trace.RequestPlaced {
			expected = ev.Fields["expected_cached"]
		}
	}
	return expected
}

// After a restart of the engine, the entry expects none of the tokens that the old incarnation had cached.
func TestNoCacheExpectedAfterEngineRestart(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	prompt := taggedPrompt("reborn")
	complete(t, cl.caller(0), prompt)
	cached, id := complete(t, cl.caller(0), prompt)
	if cached == 0 || expectedCached(cl.entries[0], id) == "0" {
		t.Fatalf("cached %d, expected %s: want a cache hit of the second request", cached, expectedCached(cl.entries[0], id))
	}
	before := countEvents(cl.modelAgents[0], trace.RequestRefused)
	cl.engines[0].Restart()
	cl.waitFor("the agent to observe the new incarnation", func() bool { return cl.modelAgents[0].EngineIncarnation() == 2 })
	cached, id = complete(t, cl.caller(0), prompt)
	if cached != 0 || expectedCached(cl.entries[0], id) != "0" {
		t.Errorf("cached %d, expected %s after the engine restarted, want 0 and 0", cached, expectedCached(cl.entries[0], id))
	}
	t.Logf("%d refusals reported the new incarnation to the entry", countEvents(cl.modelAgents[0], trace.RequestRefused)-before)
}

// The same prompt of another workspace hits no cache, and the entry expects no hit.
func TestWorkspacesShareNoCache(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	prompt := taggedPrompt("same")
	complete(t, cl.caller(0), prompt)
	cached, id := complete(t, NewCaller(cl.entries[0].Address(), hradekKey), prompt)
	if cached != 0 || expectedCached(cl.entries[0], id) != "0" {
		t.Errorf("cached %d, expected %s for another workspace's prompt, want 0 and 0", cached, expectedCached(cl.entries[0], id))
	}
}

// Lost cache events change nothing: the entry expects what responses reported, and the usage comes from the engine.
func TestLostCacheEvents(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	cl.engines[0].SetDropEvents(true)
	prompt := taggedPrompt("events")
	first, _ := complete(t, cl.caller(0), prompt)
	second, _ := complete(t, cl.caller(0), prompt)
	if first != 0 || second == 0 {
		t.Errorf("cached %d, then %d; want 0, then more than 0", first, second)
	}
}
