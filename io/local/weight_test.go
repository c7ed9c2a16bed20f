package local

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotcleat/io/fake"
)

// During a rollout of new weights with requests in flight, no more engines load at once than the preset allows (two by
// default), no request fails, and no usage reports tokens that were cached under the old weights.
func TestWeightRollout(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 5, entries: 1})
	store := fake.NewWeightStore(2, 100*time.Millisecond)
	for _, engine := range cl.engines {
		engine.SetWeightStore(store)
	}
	// No other prompt of the test shares this prefix, so only the old weights can have cached it.
	prompt := strings.Repeat("clay ", 200) + taggedPrompt("rolled")
	complete(t, cl.caller(0), prompt)
	if err := cl.platform.Apply(t.Context(), declarationText("v2", clusterOptions{}.withDefaults().preset), "ordinary", "second"); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	failures, responses := 0, 0
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			_, rsp, err := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt("other"), 2)
			responses++
			if err != nil || rsp.Status != http.StatusOK {
				failures++
				t.Logf("status %d: %s, %v", rsp.Status, rsp.Body, err)
			}
		}
	})
	cl.waitFor("all engines to serve the new weights", func() bool {
		for _, node := range cl.modelAgents {
			if node.WeightVersion() != "v2" {
				return false
			}
		}
		return true
	})
	close(stop)
	wg.Wait()
	t.Logf("%d requests during the rollout, %d failed; at most %d engines loaded at once",
		responses, failures, store.MaxConcurrentLoads())
	if failures > 0 {
		t.Errorf("%d of %d requests failed", failures, responses)
	}
	if store.MaxConcurrentLoads() > 2 {
		t.Errorf("%d engines loaded at once, want at most 2", store.MaxConcurrentLoads())
	}
	cached, _ := complete(t, cl.caller(0), prompt)
	if cached != 0 {
		t.Errorf("usage reports %d cached tokens, want 0 after the rollout", cached)
	}
}

// An agent that cannot read the state of its engine reports no weight version. Requests run on the version of the other engines.
func TestRequestsAvoidUnknownWeights(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 3})
	node, err := cl.platform.StartAgent(NodeOptions{
		Name:        "agent/unknown",
		Zone:        "ruai",
		Service:     "dispatch",
		Slots:       8,
		Incarnation: 51,
		EngineURL:   unreachableURL,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	cl.addEntry()
	// Requests are spread over the versions by their ids: if no version were one, it would get a quarter of them.
	for range 40 {
		complete(t, cl.caller(0), taggedPrompt("known"))
	}
}

// unreachableURL is the base URL of a server that does not exist: port 1 is reserved and nobody listens there.
const unreachableURL = "http://127.0.0.1:1"
