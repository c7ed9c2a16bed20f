package share

import (
	"slices"
	"testing"
	"time"
)

// Two hundred and fifty callers are refused within 100 ms by a gate whose service serves 100 requests of it per second. They must return one after
// another at that rate, not all at the same time, and within the time for which callers wait.
func TestRefusedCallersReturnAtTheRateOfTheService(t *testing.T) {
	const earliest, latest = 300 * time.Millisecond, 5 * time.Second
	start := time.Unix(1000, 0)
	fl := NewFlow(1)
	now := start
	for now.Before(start.Add(10 * time.Second)) {
		now = now.Add(10 * time.Millisecond)
		fl.Served(now, "orders", 60*time.Millisecond)
	}
	refusedAt := now
	var returns []time.Duration
	for i := range 250 {
		now = refusedAt.Add(time.Duration(i) * 400 * time.Microsecond)
		delay := fl.Next(now, "orders", earliest, latest)
		if delay < earliest || delay > maxReturnDelay {
			t.Fatalf("caller %d is to return after %s", i, delay)
		}
		returns = append(returns, now.Add(delay).Sub(refusedAt))
	}
	slices.Sort(returns)
	most := 0
	for i := range returns {
		last := i
		for last < len(returns) && returns[last] < returns[i]+200*time.Millisecond {
			last++
		}
		most = max(most, last-i)
	}
	t.Logf("250 callers return from %s to %s, at most %d within 200 ms", returns[0], returns[len(returns)-1], most)
	// The service serves 20 in 200 ms.
	if most > 30 {
		t.Errorf("%d callers return within 200 ms, in which the service serves 20", most)
	}
}

// A single refused caller is told about the same time as before: the shortest one and up to half of it more.
func TestSingleRefusedCallerReturnsSoon(t *testing.T) {
	fl := NewFlow(1)
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(time.Minute)
		if delay := fl.Next(now, "orders", 300*time.Millisecond, time.Minute); delay < 300*time.Millisecond || delay > 450*time.Millisecond {
			t.Errorf("the caller is to return after %s", delay)
		}
	}
}

// Callers honour a third of their remaining time. More of them than can return within that must be spread over it, and none may be told a
// shorter time than a server needs.
func TestReturnsFitCallersTime(t *testing.T) {
	const earliest, latest = 300 * time.Millisecond, 500 * time.Millisecond
	fl := NewFlow(1)
	now := time.Unix(1000, 0)
	early := 0
	for i := range 400 {
		delay := fl.Next(now, "orders", earliest, latest)
		if delay < earliest || delay > latest {
			t.Fatalf("caller %d is to return after %s", i, delay)
		}
		if delay < (earliest+latest)/2 {
			early++
		}
	}
	if early < 100 || early > 300 {
		t.Errorf("%d of 400 callers return in the first half of the time", early)
	}
	told := make(map[time.Duration]bool)
	for range 20 {
		delay := fl.Next(now, "orders", earliest, 100*time.Millisecond)
		if delay < earliest || delay > earliest*3/2 {
			t.Errorf("a caller with little time is to return after %s, want %s and up to half of it more", delay, earliest)
		}
		told[delay] = true
	}
	if len(told) < 15 {
		t.Errorf("20 callers with little time are told %d times to return", len(told))
	}
}

// The capacity is known only where servers have been full lately: otherwise nothing is refused.
func TestCapacityIsUsedOnlyWhereServersAreFull(t *testing.T) {
	fl := NewFlow(1)
	now := time.Unix(1000, 0)
	fl.Served(now, "orders", 50*time.Millisecond)
	if _, full := fl.Capacity(now, "orders", 18); full {
		t.Error("a service without rejections counts as full")
	}
	fl.Full(now, "orders")
	if capacity, full := fl.Capacity(now, "orders", 18); !full || capacity != 360 {
		t.Errorf("18 slots at 50 ms have a capacity of %.0f, full %t; want 360", capacity, full)
	}
	if _, full := fl.Capacity(now.Add(fullTTL+time.Millisecond), "orders", 18); full {
		t.Error("a service counts as full long after the last rejection")
	}
}
