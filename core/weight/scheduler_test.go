package weight

import (
	"fmt"
	"testing"
	"time"
)

// A service of 18 engines reaches new weights, with at most three loads at a time and at most six engines out of service, at most
// two of them in one zone.
func TestSchedulerBoundsLoadsAndFinishes(t *testing.T) {
	const (
		engines         = 18
		drainTime       = 600 * time.Millisecond
		loadTime        = 1300 * time.Millisecond
		maxLoading      = engines / loadingDivisor
		maxOutOfService = engines / outOfServiceDivisor
	)
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	start := now
	restrictStart := make(map[string]time.Time)
	loadStart := make(map[string]time.Time)
	version := make(map[string]uint64)
	for step := 0; step < 2000 && len(version) < engines; step++ {
		now = now.Add(20 * time.Millisecond)
		outOfService := make(map[string]int)
		for i := range engines {
			id, zone := fmt.Sprint("engine-", i), fmt.Sprint("zone-", i%3)
			if version[id] == 2 {
				continue
			}
			if at, ok := loadStart[id]; ok {
				if now.Sub(at) >= loadTime {
					version[id] = 2
					delete(loadStart, id)
					sc.MarkInService(id)
				} else {
					outOfService[zone]++
				}
				continue
			}
			running := 3
			if at, ok := restrictStart[id]; ok && now.Sub(at) >= drainTime {
				running = 0
			}
			switch sc.Grant(now, NewLoadRequest(id, "chat", zone, 1, running), engines) {
			case Load:
				loadStart[id] = now
				outOfService[zone]++
			case ShortOnly:
				if _, ok := restrictStart[id]; !ok {
					restrictStart[id] = now
				}
			case Drain:
				sc.MarkOutOfService(now, NewLoadRequest(id, "chat", zone, 1, running))
				if _, ok := restrictStart[id]; !ok {
					restrictStart[id] = now
				}
				outOfService[zone]++
			case KeepServing:
			}
		}
		if len(loadStart) > maxLoading {
			t.Fatalf("%d engines load at the same time, more than allowed", len(loadStart))
		}
		if total := outOfService["zone-0"] + outOfService["zone-1"] + outOfService["zone-2"]; total > maxOutOfService {
			t.Fatalf("%d engines are out of service, more than allowed", total)
		}
		for zone, count := range outOfService {
			if count > 2 {
				t.Fatalf("%d engines of %s are out of service, more than the two allowed", count, zone)
			}
		}
	}
	// Six waves of loads, one drain before them, and the delays between repeated requests.
	if limit := 6*loadTime + drainTime + 10*40*time.Millisecond; now.Sub(start) > limit {
		t.Errorf("%d of %d engines loaded after %s, want all within %s", len(version), engines, now.Sub(start), limit)
	}
}

// Engines with the oldest weights load first.
func TestSchedulerPrefersOldestWeights(t *testing.T) {
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	for i := range 8 {
		sc.waiting[fmt.Sprint("engine-", i)] = engineRecord{request: NewLoadRequest(fmt.Sprint("engine-", i), "chat", "a",
			uint64(i+1), 0), lastSeen: now}
	}
	if got := sc.Grant(now, NewLoadRequest("engine-7", "chat", "a", 8, 0), 10); got != KeepServing {
		t.Errorf("grant for the engine with the newest weights = %d, want KeepServing", got)
	}
	if got := sc.Grant(now, NewLoadRequest("engine-0", "chat", "a", 1, 0), 10); got != Load {
		t.Errorf("grant for the engine with the oldest weights = %d, want Load", got)
	}
}

// A load stops counting when the engine's tender sends no more messages, so that other engines may load.
func TestSchedulerExpiresLoads(t *testing.T) {
	sc := NewScheduler(12 * time.Second)
	now := time.Unix(1000, 0)
	for i := range minLoading {
		sc.Grant(now, NewLoadRequest(fmt.Sprint("engine-", i), "chat", "a", 1, 0), 4)
	}
	request := NewLoadRequest("late", "chat", "a", 1, 0)
	if got := sc.Grant(now, request, 4); got == Load {
		t.Fatal("grant beyond the limit of loads is Load")
	}
	if got := sc.Grant(now.Add(loadTTL+time.Second), request, 4); got != Load {
		t.Errorf("grant after the other loads expired = %d, want Load", got)
	}
}

// Engines whose grace period of old weights has ended take no calls, so each may load at once, without waiting for the others. Many
// engines are in this state after a power loss during a rollout.
func TestSchedulerGrantsLoadAfterGracePeriod(t *testing.T) {
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
		t.Errorf("%d of %d engines were granted a load after the grace period, want all", loads, engines)
	}
}

// Hundreds of engines that all lack the newest weights ask one scheduler, which may be a VM with a tenth of a core: its requests per
// second stay bounded, and all engines load within the grace period.
func TestHundredsOfEnginesAskOneScheduler(t *testing.T) {
	const (
		loadTime     = 270 * time.Millisecond
		callTime     = 400 * time.Millisecond
		grace        = 8 * time.Second
		step         = 10 * time.Millisecond
		maxPerSecond = 1500
	)
	for _, engines := range []int{9, 40, 144, 400} {
		sc := NewScheduler(grace)
		start := time.Unix(1000, 0)
		nextAsk, loaded := make([]time.Time, engines), make([]time.Time, engines)
		requests, remaining, busiest := 0, engines, 0
		now := start
		for ; remaining > 0 && now.Sub(start) < 2*grace; now = now.Add(step) {
			if now.Sub(start)%time.Second == 0 {
				busiest, requests = max(busiest, requests), 0
			}
			for i := range engines {
				id := fmt.Sprint("engine-", i)
				if !loaded[i].IsZero() {
					if now.Sub(loaded[i]) == loadTime {
						sc.MarkInService(id)
						remaining--
					}
					continue
				}
				if now.Before(nextAsk[i]) {
					continue
				}
				requests++
				// The calls of a drained engine end soon.
				running := 3
				if rec, ok := sc.draining[id]; ok && now.Sub(rec.since) > callTime {
					running = 0
				}
				request := NewLoadRequest(id, "chat", fmt.Sprint("zone-", i%5), 1, running).WithStaleness(now.Sub(start))
				if sc.Grant(now, request, engines) == Load {
					loaded[i] = now
				}
				nextAsk[i] = now.Add(sc.RepeatDelay(request))
			}
		}
		if remaining > 0 || now.Sub(start) > grace {
			t.Errorf("%d engines: %d are behind after %s", engines, remaining, now.Sub(start))
		}
		if busiest > maxPerSecond {
			t.Errorf("%d engines: %d requests within a second, want at most %d", engines, busiest, maxPerSecond)
		}
	}
}
