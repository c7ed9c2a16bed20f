package local

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"shallotcleat/io/trace"
)

// stallPreset sets a timeout that a request exceeds if it waits for a stalled agent; the request then fails with status
// 504.
const stallPreset = "check-tokens: 4, timeout: 10s"

// A stalled agent accepts connections but sends nothing. Lookups are served by the other agent, and the entry soon
// sends them to that agent only.
func TestStalledAgentDoesNotDelayLookups(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 2, entries: 1, preset: stallPreset})
	if _, err := cl.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil); err != nil {
		t.Fatal(err)
	}
	for i, node := range cl.serviceAgents {
		if countEvents(node, trace.ServerCalled) > 0 {
			defer cl.serviceProxies[i].stall()()
		}
	}
	slowest := time.Duration(0)
	for range 20 {
		start := time.Now()
		rsp, err := cl.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
		if err != nil || rsp.Status != http.StatusOK {
			t.Fatalf("status %d %s, %v", rsp.Status, rsp.Body, err)
		}
		slowest = max(slowest, time.Since(start))
	}
	t.Logf("the slowest of 20 lookups took %v", slowest)
}

// Completions and orders succeed while the agents that served the first ones are stalled.
func TestStalledAgentDoesNotDelayRequests(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, plainServices: 2, entries: 1, preset: stallPreset})
	complete(t, cl.caller(0), taggedPrompt("first"))
	if _, err := cl.caller(0).PlaceOrder(t.Context(), "first", "{}"); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		if countEvents(cl.modelAgents[i], trace.ServerCalled) > 0 {
			defer cl.modelProxies[i].stall()()
		}
		if countEvents(cl.serviceAgents[i], trace.TicketGranted) > 0 {
			defer cl.serviceProxies[i].stall()()
		}
	}
	slowest := time.Duration(0)
	for i := range 4 {
		start := time.Now()
		complete(t, cl.caller(0), taggedPrompt(fmt.Sprint("f", i)))
		key := fmt.Sprint("frozen-", i)
		rsp, err := cl.caller(0).PlaceOrder(t.Context(), key, "{}")
		if err != nil || rsp.Status != http.StatusCreated {
			t.Errorf("order %s: status %d %s, %v", key, rsp.Status, rsp.Body, err)
		}
		slowest = max(slowest, time.Since(start))
	}
	t.Logf("the slowest of 4 pairs of a completion and an order took %v", slowest)
}

// A request whose only agent is stalled may still run there, so its error must not state that it did not run.
func TestStalledAgentOutcomeIsUnknown(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, plainServices: 1, entries: 1, preset: stallPreset})
	resumeFuncs := []func(){cl.modelProxies[0].stall(), cl.serviceProxies[0].stall()}
	_, model, _ := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt("silent"), 2)
	lookup, err := cl.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, resume := range resumeFuncs {
		resume()
	}
	for _, rsp := range []Response{model, lookup} {
		if rsp.Status == http.StatusOK || rsp.Outcome != "unknown" {
			t.Errorf("status %d, outcome %q, want an error with outcome unknown: %s", rsp.Status, rsp.Outcome, rsp.Body)
		}
	}
}
