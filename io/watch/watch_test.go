package watch

import (
	"errors"
	"sync"
	"testing"
	"time"
)

// runFleet runs a fleet in virtual time and checks that no process's epoch ever went back.
func runFleet(t *testing.T, entries, agents, loss int, scenario func(t *testing.T, fl *fleet)) {
	t.Helper()
	fl := newFleet(entries, agents, loss)
	if _, err := fl.apply(0, "ordinary"); err != nil {
		t.Fatal(err)
	}
	for _, nd := range fl.nodes {
		nd.start()
	}
	fl.clock.Advance(propagationLimit)
	if lagging := fl.lagging(1); len(lagging) > 0 {
		t.Fatalf("%v have nothing in force", lagging)
	}
	scenario(t, fl)
	if reverted := fl.reverted(); len(reverted) > 0 {
		t.Errorf("%v went back", reverted)
	}
}

func TestChangeReachesAllProcesses(t *testing.T) {
	runFleet(t, 8, 60, 0, func(t *testing.T, fl *fleet) {
		hd, err := fl.apply(1, "peak")
		if err != nil {
			t.Fatal(err)
		}
		fl.clock.Advance(propagationLimit)
		if lagging := fl.lagging(hd.Epoch()); len(lagging) > 0 {
			t.Errorf("%v are behind", lagging)
		}
	})
}

func TestChangeUnderMessageLoss(t *testing.T) {
	runFleet(t, 8, 60, 30, func(t *testing.T, fl *fleet) {
		for number := 1; number <= 20; number++ {
			hd, err := fl.apply(number, "peak")
			if err != nil {
				t.Fatal(err)
			}
			fl.clock.Advance(propagationLimit)
			if lagging := fl.lagging(hd.Epoch()); len(lagging) > 0 {
				t.Errorf("change %d: %v are behind", number, lagging)
			}
		}
	})
}

// A table that goes down right after a change was accepted must not keep the change from those who have not read it:
// one process that read it is enough.
func TestTableOutageAfterCommit(t *testing.T) {
	runFleet(t, 4, 16, 30, func(t *testing.T, fl *fleet) {
		hd, err := fl.apply(1, "peak")
		if err != nil {
			t.Fatal(err)
		}
		for len(fl.lagging(hd.Epoch())) == len(fl.nodes) {
			fl.clock.Advance(100 * time.Millisecond)
		}
		fl.store.setDown(true)
		fl.clock.Advance(propagationLimit)
		if lagging := fl.lagging(hd.Epoch()); len(lagging) > 0 {
			t.Errorf("%v are behind", lagging)
		}
		fl.clock.Advance(10 * time.Minute)
		if lagging := fl.lagging(hd.Epoch()); len(lagging) > 0 {
			t.Errorf("%v are behind after the outage", lagging)
		}
	})
}

func TestRestartDuringTableOutage(t *testing.T) {
	runFleet(t, 8, 60, 0, func(t *testing.T, fl *fleet) {
		fl.store.setDown(true)
		for _, nd := range fl.nodes[:7] {
			nd.stop()
			nd.start()
		}
		fl.clock.Advance(time.Second)
		if lagging := fl.lagging(1); len(lagging) > 0 {
			t.Errorf("%v have nothing in force", lagging)
		}
	})
}

func TestPausedProcessCatchesUp(t *testing.T) {
	runFleet(t, 8, 60, 0, func(t *testing.T, fl *fleet) {
		paused := []*fleetNode{fl.nodes[0], fl.nodes[20]}
		for _, nd := range paused {
			nd.setPaused(true)
		}
		for number := 1; number <= 5; number++ {
			if _, err := fl.apply(number, "peak"); err != nil {
				t.Fatal(err)
			}
			fl.clock.Advance(time.Minute)
		}
		for _, nd := range paused {
			nd.setPaused(false)
		}
		fl.clock.Advance(propagationLimit)
		if lagging := fl.lagging(6); len(lagging) > 0 {
			t.Errorf("%v are behind", lagging)
		}
	})
}

// Operators who race are told who won; an operator whose reply is lost learns the truth.
func TestConcurrentOperators(t *testing.T) {
	runFleet(t, 4, 10, 0, func(t *testing.T, fl *fleet) {
		fl.store.loseReplyEvery = 3
		const rounds, operators = 10, 4
		accepted := uint64(1)
		for round := range rounds {
			var mu sync.Mutex
			var wg sync.WaitGroup
			won, lost := 0, 0
			for operator := range operators {
				wg.Go(func() {
					_, err := fl.apply(1+round*operators+operator, "peak")
					mu.Lock()
					defer mu.Unlock()
					var race *ConflictError
					switch {
					case err == nil:
						won++
					case errors.As(err, &race):
						lost++
					default:
						t.Errorf("operator %d: %v", operator, err)
					}
				})
			}
			wg.Wait()
			if won+lost != operators || won == 0 {
				t.Errorf("%d won and %d lost", won, lost)
			}
			accepted += uint64(won)
		}
		fl.clock.Advance(propagationLimit)
		hd, _, err := ReadHead(t.Context(), fl.store)
		if err != nil || hd.Epoch() != accepted {
			t.Errorf("epoch %d after %d accepted changes: %v", hd.Epoch(), accepted, err)
		}
		if lagging := fl.lagging(accepted); len(lagging) > 0 {
			t.Errorf("%v are behind", lagging)
		}
	})
}

// Two operators who saw the same head cannot both win.
func TestReplaceHeadRejectsStaleVersion(t *testing.T) {
	fl := newFleet(1, 0, 0)
	first, err := fl.apply(0, "ordinary")
	if err != nil {
		t.Fatal(err)
	}
	if err := ReplaceHead(t.Context(), fl.store, 1, first.Next("racer-0").WithPreset("peak")); err != nil {
		t.Errorf("the first racer: %v", err)
	}
	err = ReplaceHead(t.Context(), fl.store, 1, first.Next("racer-1").WithPreset("peak"))
	var race *ConflictError
	if !errors.As(err, &race) || race.Head().Change() != "racer-0" {
		t.Errorf("the second racer: %v", err)
	}
}
