package local

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotcleat/io/fake"
)

// New weights are rolled out while requests go on: never more engines load at once than the preset allows, no request
// fails, and none is credited with cache of the old weights.
func TestWeightsAreRolledOut(t *testing.T) {
	st := newSite(t, siteOptions{engines: 5, entries: 1})
	store := fake.NewWeightStore(2, 100*time.Millisecond)
	for _, engine := range st.engines {
		engine.SetWeightStore(store)
	}
	// No other prompt of the test begins like this one.
	prompt := strings.Repeat("clay ", 200) + promptOf("rolled")
	complete(t, st.caller(0), prompt)
	if err := st.platform.Apply(t.Context(), declarationWith("v2", siteOptions{}.withDefaults().preset), "ordinary", "second"); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	faults, answers := 0, 0
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			_, rp, err := st.caller(0).Complete(t.Context(), "dispatch", promptOf("other"), 2)
			answers++
			if err != nil || rp.Status != http.StatusOK {
				faults++
				t.Logf("status %d: %s, %v", rp.Status, rp.Body, err)
			}
		}
	})
	st.waitFor("the new weights on all engines", func() bool {
		for _, node := range st.models {
			if node.WeightVersion() != "v2" {
				return false
			}
		}
		return true
	})
	close(stop)
	wg.Wait()
	t.Logf("%d answers during the roll-out, %d failed; at most %d engines loaded at once", answers, faults, store.MaxConcurrentLoads())
	if faults > 0 {
		t.Errorf("%d of %d requests failed", faults, answers)
	}
	if store.MaxConcurrentLoads() > 2 {
		t.Errorf("%d engines loaded at once", store.MaxConcurrentLoads())
	}
	cached, _ := complete(t, st.caller(0), prompt)
	if cached != 0 {
		t.Errorf("%d tokens are credited that the old weights computed", cached)
	}
}
