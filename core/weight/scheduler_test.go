package weight

import (
	"fmt"
	"testing"
	"time"
)

// A service of 18 engines is brought to new weights, with three loads at a time and at most six engines out of service.
func TestDeskBoundsLoadsAndFinishes(t *testing.T) {
	const (
		engines  = 18
		drain    = 600 * time.Millisecond
		load     = 1300 * time.Millisecond
		loads    = engines / loadsPart
		outLimit = engines / outPart
	)
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	begin := now
	drainOf := make(map[string]time.Time)
	loadOf := make(map[string]time.Time)
	version := make(map[string]uint64)
	for step := 0; step < 2000 && len(version) < engines; step++ {
		now = now.Add(20 * time.Millisecond)
		out := make(map[string]int)
		for i := range engines {
			id, zone := fmt.Sprint("engine-", i), fmt.Sprint("zone-", i%3)
			if version[id] == 2 {
				continue
			}
			if at, ok := loadOf[id]; ok {
				if now.Sub(at) >= load {
					version[id] = 2
					delete(loadOf, id)
					sc.MarkInService(id)
				} else {
					out[zone]++
				}
				continue
			}
			running := 3
			if at, ok := drainOf[id]; ok && now.Sub(at) >= drain {
				running = 0
			}
			switch sc.Grant(now, NewLoadRequest(id, "chat", zone, 1, running), engines) {
			case Load:
				loadOf[id] = now
				out[zone]++
			case ShortOnly:
				if _, ok := drainOf[id]; !ok {
					drainOf[id] = now
				}
			case Drain:
				sc.MarkOutOfService(now, NewLoadRequest(id, "chat", zone, 1, running))
				if _, ok := drainOf[id]; !ok {
					drainOf[id] = now
				}
				out[zone]++
			case KeepServing:
			}
		}
		if len(loadOf) > loads {
			t.Fatalf("%d engines load at once", len(loadOf))
		}
		if total := out["zone-0"] + out["zone-1"] + out["zone-2"]; total > outLimit {
			t.Fatalf("%d engines are out of service", total)
		}
		for zone, count := range out {
			if count > 2 {
				t.Fatalf("%d engines of %s are out of service at once", count, zone)
			}
		}
	}
	// Six waves of loads, one drain before them, and the time between two asks.
	if limit := 6*load + drain + 10*40*time.Millisecond; now.Sub(begin) > limit {
		t.Errorf("%d of %d engines loaded after %s, the limit is %s", len(version), engines, now.Sub(begin), limit)
	}
}

// Engines with the oldest weights go first.
func TestDeskPrefersTheOldest(t *testing.T) {
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	for i := range 8 {
		sc.waiting[fmt.Sprint("engine-", i)] = place{ask: NewLoadRequest(fmt.Sprint("engine-", i), "chat", "a", uint64(i+1), 0), at: now}
	}
	if got := sc.Grant(now, NewLoadRequest("engine-7", "chat", "a", 8, 0), 10); got != KeepServing {
		t.Errorf("the newest engine was answered %d", got)
	}
	if got := sc.Grant(now, NewLoadRequest("engine-0", "chat", "a", 1, 0), 10); got != Load {
		t.Errorf("the oldest engine was answered %d", got)
	}
}

// An engine whose tender is not heard of any more gives its place up.
func TestDeskForgetsTheSilent(t *testing.T) {
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	for i := range leastLoad {
		sc.Grant(now, NewLoadRequest(fmt.Sprint("engine-", i), "chat", "a", 1, 0), 4)
	}
	ask := NewLoadRequest("late", "chat", "a", 1, 0)
	if got := sc.Grant(now, ask, 4); got == Load {
		t.Fatal("more engines load than allowed")
	}
	if got := sc.Grant(now.Add(loadLife+time.Second), ask, 4); got != Load {
		t.Errorf("after the silence the engine was answered %d", got)
	}
}

// Pattern: new weights were named long ago and many engines are still behind, as after a loss of power within a rollout. Nobody may
// use them until they have loaded, so that they need not wait for each other as those do which still serve.
func TestExpiredEnginesDoNotWait(t *testing.T) {
	const engines = 18
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	loads := 0
	for i := range engines {
		if sc.Grant(now, NewLoadRequest(fmt.Sprint("engine-", i), "chat", "a", 1, 3).WithStaleness(12*time.Second), engines) == Load {
			loads++
		}
	}
	if loads != engines {
		t.Errorf("%d of %d engines that serve nobody load at once", loads, engines)
	}
}
