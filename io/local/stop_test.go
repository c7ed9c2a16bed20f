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

// stamps returns the stamps of a node's events of a kind.
func eventStamps(node *Node, kind trace.Kind) []stamp.Stamp {
	var out []stamp.Stamp
	for _, ev := range node.Recorder().Events("", 100_000) {
		if ev.Kind == kind {
			out = append(out, ev.Stamp)
		}
	}
	return out
}

// lookups sends lookups until told to stop and returns what failed.
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

// A retired server refuses from the moment that its agent knows, and callers notice nothing.
func TestRetiredServerReceivesNoRequests(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 2, entries: 1})
	stop := make(chan struct{})
	var faults []string
	var wg sync.WaitGroup
	wg.Go(func() { faults = sendLookups(t, cl, stop) })
	retired := cl.serviceAgents[0]
	if err := cl.platform.Retire(t.Context(), retired.Address()); err != nil {
		t.Fatal(err)
	}
	cl.waitFor("the agent's notice", func() bool { return countEvents(retired, trace.LeavingBegan) > 0 })
	before := countEvents(cl.serviceAgents[1], trace.ServerCalled)
	cl.waitFor("work at the other server", func() bool { return countEvents(cl.serviceAgents[1], trace.ServerCalled) > before+50 })
	close(stop)
	wg.Wait()
	if len(faults) > 0 {
		t.Errorf("%d lookups failed, first %s", len(faults), faults[0])
	}
	leaving := eventStamps(retired, trace.LeavingBegan)[0]
	for _, admitted := range eventStamps(retired, trace.RequestAdmitted) {
		if admitted > leaving {
			t.Errorf("work was admitted %v after the notice", admitted.Wall().Sub(leaving.Wall()))
		}
	}
}

// Stops of an agent and of an entry in the middle of streams and orders cut nothing off.
func TestGracefulStopInterruptsNothing(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, plainServices: 2, entries: 2, orderDelay: 200 * time.Millisecond})
	var wg sync.WaitGroup
	started := make(chan struct{}, 16)
	for i := range 8 {
		wg.Go(func() {
			tag := fmt.Sprintf("stop%d", i)
			sr := streamWithHook(t.Context(), t, cl.caller(i%2), tag, 1, func() { started <- struct{}{} })
			checkComplete(t, "planned stop", tag, sr)
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
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// An entry that starts while the table is down, or hangs, gets the configuration from its peers and serves.
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
	began := time.Now()
	cl.addEntry()
	rsp, err := cl.caller(2).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
	if err != nil || rsp.Status != http.StatusOK {
		t.Errorf("status %d %s, %v", rsp.Status, rsp.Body, err)
	}
	complete(t, cl.caller(2), taggedPrompt("down"))
	t.Logf("the first answers came %v after the start", time.Since(began))
}

// A request keeps the preset that it began under, also when its stream goes on elsewhere after a switch.
func TestRequestKeepsPreset(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, entries: 1})
	const tag = "preset"
	sr := streamWithHook(t.Context(), t, cl.caller(0), tag, 2, func() {
		if err := cl.platform.SetPreset(t.Context(), "peak"); err != nil {
			t.Error(err)
		}
		cl.waitFor("the switch", func() bool {
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
			t.Errorf("the request moved to epoch %s", ev.Fields["epoch"])
		}
	}
	if received != 1 || !presets["ordinary"] {
		t.Errorf("%d requests under %v", received, presets)
	}
	if _, _, err := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt("next"), 1); err != nil {
		t.Error(err)
	}
}
