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
func stamps(node *Node, kind trace.Kind) []stamp.Stamp {
	var out []stamp.Stamp
	for _, ev := range node.Recorder().Events("", 100_000) {
		if ev.Kind == kind {
			out = append(out, ev.Stamp)
		}
	}
	return out
}

// lookups sends lookups until told to stop and returns what failed.
func lookups(t *testing.T, st *site, stop <-chan struct{}) []string {
	var faults []string
	for {
		select {
		case <-stop:
			return faults
		default:
		}
		rp, err := st.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
		if err != nil || rp.Status != http.StatusOK {
			faults = append(faults, fmt.Sprintf("%d %s %v", rp.Status, rp.Body, err))
		}
	}
}

// A retired server refuses from the moment that its agent knows, and callers notice nothing.
func TestRetiredServerGetsNoNewWork(t *testing.T) {
	st := newSite(t, siteOptions{services: 2, entries: 1})
	stop := make(chan struct{})
	var faults []string
	var wg sync.WaitGroup
	wg.Go(func() { faults = lookups(t, st, stop) })
	retired := st.services[0]
	if err := st.platform.Retire(t.Context(), retired.Address()); err != nil {
		t.Fatal(err)
	}
	st.waitFor("the agent's notice", func() bool { return count(retired, trace.LeavingBegan) > 0 })
	before := count(st.services[1], trace.ServerCalled)
	st.waitFor("work at the other server", func() bool { return count(st.services[1], trace.ServerCalled) > before+50 })
	close(stop)
	wg.Wait()
	if len(faults) > 0 {
		t.Errorf("%d lookups failed, first %s", len(faults), faults[0])
	}
	leaving := stamps(retired, trace.LeavingBegan)[0]
	for _, began := range stamps(retired, trace.RequestAdmitted) {
		if began > leaving {
			t.Errorf("work was admitted %v after the notice", began.Wall().Sub(leaving.Wall()))
		}
	}
}

// Stops of an agent and of an entry in the middle of streams and orders cut nothing off.
func TestPlannedStopsCutOffNothing(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, services: 2, entries: 2, orderTime: 200 * time.Millisecond})
	var wg sync.WaitGroup
	begun := make(chan struct{}, 16)
	for i := range 8 {
		wg.Go(func() {
			tag := fmt.Sprintf("stop%d", i)
			sm := streamWith(t.Context(), t, st.caller(i%2), tag, 1, func() { begun <- struct{}{} })
			checkWhole(t, "planned stop", tag, sm)
		})
		wg.Go(func() {
			rp, err := st.caller(i%2).PlaceOrder(t.Context(), fmt.Sprintf("stop-%d", i), "{}")
			if err != nil || rp.Status != http.StatusCreated {
				t.Errorf("order %d: status %d %s, %v", i, rp.Status, rp.Body, err)
			}
		})
	}
	for range 8 {
		<-begun
	}
	for _, node := range []*Node{st.models[0], st.services[0], st.entries[1]} {
		wg.Go(node.Stop)
	}
	wg.Wait()
	for i := range 8 {
		key := fmt.Sprintf("stop-%d", i)
		if runs := st.plain[0].RunCount(key) + st.plain[1].RunCount(key); runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// An entry that starts while the table is down, or hangs, gets the configuration from its peers and serves.
func TestEntryStartsWhileTableIsDown(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		startWithout(t, func(pf *Platform) { pf.Table().SetDown(true) })
	})
	t.Run("hangs", func(t *testing.T) {
		startWithout(t, func(pf *Platform) { pf.Table().SetDelay(3 * time.Second) })
	})
}

func startWithout(t *testing.T, breakTable func(*Platform)) {
	st := newSite(t, siteOptions{engines: 1, services: 1, entries: 2})
	breakTable(st.platform)
	st.platform.ObjectStore().SetDown(true)
	began := time.Now()
	st.addEntry()
	rp, err := st.caller(2).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
	if err != nil || rp.Status != http.StatusOK {
		t.Errorf("status %d %s, %v", rp.Status, rp.Body, err)
	}
	complete(t, st.caller(2), promptOf("down"))
	t.Logf("the first answers came %v after the start", time.Since(began))
}

// A request keeps the preset that it began under, also when its stream goes on elsewhere after a switch.
func TestOnePresetForOneRequest(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, entries: 1})
	const tag = "preset"
	sm := streamWith(t.Context(), t, st.caller(0), tag, 2, func() {
		if err := st.platform.SetPreset(t.Context(), "peak"); err != nil {
			t.Error(err)
		}
		st.waitFor("the switch", func() bool {
			return count(st.models[0], trace.EpochAdopted)+count(st.models[1], trace.EpochAdopted) == 4
		})
		for i, node := range st.models {
			if running(node) {
				st.engines[i].Restart()
			}
		}
	})
	checkWhole(t, "preset switch", tag, sm)
	received, presets := 0, make(map[string]bool)
	for _, ev := range st.entries[0].Recorder().Events("", 100_000) {
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
	if _, _, err := st.caller(0).Complete(t.Context(), "dispatch", promptOf("next"), 1); err != nil {
		t.Error(err)
	}
}
