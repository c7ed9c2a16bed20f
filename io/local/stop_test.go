package local

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"shallotcleat/core/stamp"
	"shallotcleat/io/trace"
)

// eventStamps returns the stamps of a node's events of a kind, in the order of recording.
func eventStamps(node *Node, kind trace.Kind) []stamp.Stamp {
	var out []stamp.Stamp
	for _, ev := range node.Recorder().Events("", 100_000) {
		if ev.Kind == kind {
			out = append(out, ev.Stamp)
		}
	}
	return out
}

// sendLookups sends lookups until stop is closed and returns a description of each failure.
func sendLookups(t *testing.T, cl *cluster, stop <-chan struct{}) []string {
	var failures []string
	for {
		select {
		case <-stop:
			return failures
		default:
		}
		rsp, err := cl.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
		if err != nil || rsp.Status != http.StatusOK {
			failures = append(failures, fmt.Sprintf("%d %s %v", rsp.Status, rsp.Body, err))
		}
	}
}

// A retired server admits no request once its agent has seen the change, and no lookup fails.
func TestRetiredServerReceivesNoRequests(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 2, entries: 1})
	stop := make(chan struct{})
	var failures []string
	var wg sync.WaitGroup
	wg.Go(func() { failures = sendLookups(t, cl, stop) })
	retired := cl.serviceAgents[0]
	if err := cl.platform.Retire(t.Context(), retired.Address()); err != nil {
		t.Fatal(err)
	}
	cl.waitFor("the agent to start leaving", func() bool { return countEvents(retired, trace.LeavingBegan) > 0 })
	// A recorder keeps its latest events only: their number stays the same once it is full.
	var last stamp.Stamp
	for _, called := range eventStamps(cl.serviceAgents[1], trace.ServerCalled) {
		last = max(last, called)
	}
	cl.waitFor("50 lookups at the other server", func() bool {
		later := 0
		for _, called := range eventStamps(cl.serviceAgents[1], trace.ServerCalled) {
			if called > last {
				later++
			}
		}
		return later > 50
	})
	close(stop)
	wg.Wait()
	if len(failures) > 0 {
		t.Errorf("%d lookups failed; first failure: %s", len(failures), failures[0])
	}
	leaving := eventStamps(retired, trace.LeavingBegan)[0]
	for _, admitted := range eventStamps(retired, trace.RequestAdmitted) {
		if admitted > leaving {
			t.Errorf("request admitted %v after the server started leaving", admitted.Wall().Sub(leaving.Wall()))
		}
	}
}

// Graceful stops of agents and of an entry during streams and orders interrupt none of them.
func TestGracefulStopInterruptsNothing(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, plainServices: 2, entries: 2, orderDelay: 200 * time.Millisecond})
	var wg sync.WaitGroup
	started := make(chan struct{}, 16)
	for i := range 8 {
		wg.Go(func() {
			tag := fmt.Sprintf("stop%d", i)
			sr := streamWithHook(t.Context(), t, cl.caller(i%2), tag, 1, func() { started <- struct{}{} })
			checkComplete(t, "graceful stop", tag, sr)
		})
		wg.Go(func() {
			rsp, err := cl.caller(i%2).PlaceOrder(t.Context(), fmt.Sprintf("stop-%d", i), "{}")
			if err != nil || rsp.Status != http.StatusCreated {
				t.Errorf("order %d: status %d %s, %v", i, rsp.Status, rsp.Body, err)
			}
		})
	}
	for range 8 {
		<-started
	}
	for _, node := range []*Node{cl.modelAgents[0], cl.serviceAgents[0], cl.entries[1]} {
		wg.Go(node.Stop)
	}
	wg.Wait()
	for i := range 8 {
		key := fmt.Sprintf("stop-%d", i)
		if runs := cl.plainServices[0].RunCount(key) + cl.plainServices[1].RunCount(key); runs != 1 {
			t.Errorf("order %s ran %d times, want 1", key, runs)
		}
	}
}

// An entry that starts while the object store is down and the table is down or hangs gets the configuration from its
// peers and serves requests.
func TestEntryStartsWhileTableIsDown(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		testStartWithoutTable(t, func(pf *Platform) { pf.Table().SetDown(true) })
	})
	t.Run("hangs", func(t *testing.T) {
		testStartWithoutTable(t, func(pf *Platform) { pf.Table().SetDelay(3 * time.Second) })
	})
}

func testStartWithoutTable(t *testing.T, breakTable func(*Platform)) {
	cl := newCluster(t, clusterOptions{engines: 1, plainServices: 1, entries: 2})
	breakTable(cl.platform)
	cl.platform.ObjectStore().SetDown(true)
	start := time.Now()
	cl.addEntry()
	rsp, err := cl.caller(2).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
	if err != nil || rsp.Status != http.StatusOK {
		t.Errorf("status %d %s, %v", rsp.Status, rsp.Body, err)
	}
	complete(t, cl.caller(2), taggedPrompt("down"))
	t.Logf("first responses %v after the start", time.Since(start))
}

// A request keeps the preset under which it started, also if its stream continues on another engine after a switch.
func TestRequestKeepsPreset(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	const tag = "preset"
	sr := streamWithHook(t.Context(), t, cl.caller(0), tag, 2, func() {
		if err := cl.platform.SetPreset(t.Context(), "peak"); err != nil {
			t.Error(err)
		}
		cl.waitFor("both agents to adopt the new epoch", func() bool {
			return countEvents(cl.modelAgents[0], trace.EpochAdopted)+countEvents(cl.modelAgents[1], trace.EpochAdopted) == 4
		})
		for i, node := range cl.modelAgents {
			if hasRunningRequest(node) {
				cl.engines[i].Restart()
			}
		}
	})
	checkComplete(t, "preset switch", tag, sr)
	received, presets := 0, make(map[string]bool)
	for _, ev := range cl.entries[0].Recorder().Events("", 100_000) {
		if ev.Kind == trace.RequestReceived {
			received++
			presets[ev.Fields["preset"]] = true
		}
		if ev.Kind == trace.RequestMovedToEpoch {
			t.Errorf("request moved to epoch %s", ev.Fields["epoch"])
		}
	}
	if received != 1 || !presets["ordinary"] {
		t.Errorf("%d requests received under presets %v, want 1 under ordinary", received, presets)
	}
	if _, _, err := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt("next"), 1); err != nil {
		t.Error(err)
	}
}
