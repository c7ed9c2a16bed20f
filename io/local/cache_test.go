package local

import (
	"net/http"
	"testing"

	"shallotcleat/io/trace"
)

// complete asks for a short answer and returns the cached tokens that the engine told.
func complete(t *testing.T, caller *Caller, prompt string) (cached int, requestID string) {
	t.Helper()
	cp, rsp, err := caller.Complete(t.Context(), "dispatch", prompt, 2)
	if err != nil || rsp.Status != http.StatusOK {
		t.Fatalf("status %d, %v: %s", rsp.Status, err, rsp.Body)
	}
	return cp.Usage.Details.CachedTokens, rsp.RequestID
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

func TestNoCacheExpectedAfterEngineRestart(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	prompt := taggedPrompt("reborn")
	complete(t, cl.caller(0), prompt)
	cached, id := complete(t, cl.caller(0), prompt)
	if cached == 0 || expectedCached(cl.entries[0], id) == "0" {
		t.Fatalf("cached %d, expected %s: the second call should hit", cached, expectedCached(cl.entries[0], id))
	}
	before := countEvents(cl.modelAgents[0], trace.RequestRefused)
	cl.engines[0].Restart()
	cl.waitFor("the agent's notice of the reborn engine", func() bool { return cl.modelAgents[0].EngineIncarnation() == 2 })
	cached, id = complete(t, cl.caller(0), prompt)
	if cached != 0 || expectedCached(cl.entries[0], id) != "0" {
		t.Errorf("cached %d, expected %s after the engine was reborn", cached, expectedCached(cl.entries[0], id))
	}
	t.Logf("%d refusals told the entry of the reborn engine", countEvents(cl.modelAgents[0], trace.RequestRefused)-before)
}

func TestWorkspacesShareNoCache(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	prompt := taggedPrompt("same")
	complete(t, cl.caller(0), prompt)
	cached, id := complete(t, NewCaller(cl.entries[0].Address(), hradekKey), prompt)
	if cached != 0 || expectedCached(cl.entries[0], id) != "0" {
		t.Errorf("cached %d, expected %s for another workspace's text", cached, expectedCached(cl.entries[0], id))
	}
}

// Lost cache events change nothing: the router counts on what replies tell, and the engine's word is the usage.
func TestLostCacheEvents(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	cl.engines[0].SetDropEvents(true)
	prompt := taggedPrompt("events")
	first, _ := complete(t, cl.caller(0), prompt)
	second, _ := complete(t, cl.caller(0), prompt)
	if first != 0 || second == 0 {
		t.Errorf("cached %d and then %d", first, second)
	}
}
