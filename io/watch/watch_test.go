package watch

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"shallotcleat/core/config"
	"shallotcleat/io/object"
)

// runFleet starts a fleet in virtual time, runs the scenario, and checks that no process reverted to a lower epoch.
func runFleet(t *testing.T, entries, agents, lossPercent int, scenario func(t *testing.T, fl *fleet)) {
	t.Helper()
	fl := newFleet(entries, agents, lossPercent)
	if _, err := fl.apply(0, "ordinary"); err != nil {
		t.Fatal(err)
	}
	for _, nd := range fl.nodes {
		nd.start()
	}
	fl.clock.Advance(propagationLimit)
	if lagging := fl.lagging(1); len(lagging) > 0 {
		t.Fatalf("processes %v have no configuration in force", lagging)
	}
	scenario(t, fl)
	if reverted := fl.reverted(); len(reverted) > 0 {
		t.Errorf("processes %v reverted to a lower epoch", reverted)
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
			t.Errorf("processes %v lag behind", lagging)
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
				t.Errorf("change %d: processes %v lag behind", number, lagging)
			}
		}
	})
}

// Checks that a change reaches all processes if the table fails after the first process has read it: the others receive it from
// their peers.
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
			t.Errorf("processes %v lag behind", lagging)
		}
		fl.clock.Advance(10 * time.Minute)
		if lagging := fl.lagging(hd.Epoch()); len(lagging) > 0 {
			t.Errorf("processes %v lag behind after 10 minutes of outage", lagging)
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
			t.Errorf("processes %v have no configuration in force", lagging)
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
			t.Errorf("processes %v lag behind", lagging)
		}
	})
}

// Checks that of concurrent changes, each is either committed or fails with a *ConflictError. Every third reply of the table is
// lost, so operators must find out from the epoch row whether their change was committed.
func TestConcurrentOperators(t *testing.T) {
	runFleet(t, 4, 10, 0, func(t *testing.T, fl *fleet) {
		fl.store.loseReplyEvery = 3
		const rounds, operators = 10, 4
		wantEpoch := uint64(1)
		for round := range rounds {
			var mu sync.Mutex
			var wg sync.WaitGroup
			committed, conflicts := 0, 0
			for operator := range operators {
				wg.Go(func() {
					_, err := fl.apply(1+round*operators+operator, "peak")
					mu.Lock()
					defer mu.Unlock()
					var conflict *ConflictError
					switch {
					case err == nil:
						committed++
					case errors.As(err, &conflict):
						conflicts++
					default:
						t.Errorf("operator %d: %v", operator, err)
					}
				})
			}
			wg.Wait()
			if committed+conflicts != operators || committed == 0 {
				t.Errorf("%d operators: %d committed and %d conflicts", operators, committed, conflicts)
			}
			wantEpoch += uint64(committed)
		}
		fl.clock.Advance(propagationLimit)
		hd, _, err := ReadHead(t.Context(), fl.store)
		if err != nil || hd.Epoch() != wantEpoch {
			t.Errorf("got epoch %d, want %d; error %v", hd.Epoch(), wantEpoch, err)
		}
		if lagging := fl.lagging(wantEpoch); len(lagging) > 0 {
			t.Errorf("processes %v lag behind", lagging)
		}
	})
}

// Checks that only one of two changes to the same version of the head is committed.
func TestReplaceHeadRejectsStaleVersion(t *testing.T) {
	fl := newFleet(1, 0, 0)
	first, err := fl.apply(0, "ordinary")
	if err != nil {
		t.Fatal(err)
	}
	if err := ReplaceHead(t.Context(), fl.store, 1, first.Next("racer-0").WithPreset("peak")); err != nil {
		t.Errorf("first change: %v", err)
	}
	err = ReplaceHead(t.Context(), fl.store, 1, first.Next("racer-1").WithPreset("peak"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Head().Change() != "racer-0" {
		t.Errorf("second change: got error %v, want a conflict with the first", err)
	}
}

// A declaration that was cut off at the end of a line, without a length that shows it, is not taken for the whole one.
func TestCutDeclarationIsRejected(t *testing.T) {
	text := declarationOf(1)
	cut := text[:bytes.LastIndexByte(bytes.TrimSpace(text), '\n')+1]
	var sent []byte
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		conn, _, err := wr.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), sent...))
		_ = conn.Close()
	}))
	defer srv.Close()
	for _, sent = range [][]byte{text, cut, nil} {
		got, err := ReadDeclaration(t.Context(), object.NewHTTP(srv.URL), config.Hash(text))
		if whole := len(sent) == len(text); (err == nil) != whole || whole && !bytes.Equal(got, text) {
			t.Errorf("%d of %d bytes: got %d bytes, error %v", len(sent), len(text), len(got), err)
		}
	}
}
