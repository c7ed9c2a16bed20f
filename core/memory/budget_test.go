package memory

import (
	"errors"
	"testing"
	"time"
)

const megabyte = 1 << 20

var start = time.Unix(1000, 0)

// newTestBudget returns a budget of 32 MB, of which 8 MB are reserved.
func newTestBudget() *Budget { return NewBudget(32 * megabyte * 10 / 3) }

// open returns a claim of an arriving body that holds bytes and lacks one, if there is room.
func open(t *testing.T, bg *Budget, now time.Time, bytes int64) (*Claim, error) {
	t.Helper()
	cl := bg.Open(now, Body, func() {})
	cl.Arrive(now, bytes+1)
	return cl, cl.Grow(now, bytes)
}

// The load is the flood that made a process run out of memory: 80 bodies of 4 MB that stop short of their end. What is held stays
// within the budget, a short request gets in at once, and a long one once the bodies have stalled.
func TestFloodOfStalledBodies(t *testing.T) {
	bg := newTestBudget()
	accepted := 0
	for range 80 {
		if cl, err := open(t, bg, start, 4*megabyte); err == nil {
			accepted++
		} else {
			cl.Close()
		}
	}
	if accepted == 0 || bg.Held(Body) > bg.Total() {
		t.Errorf("%d bodies accepted, %d bytes held of %d", accepted, bg.Held(Body), bg.Total())
	}
	if _, err := open(t, bg, start, 1000); err != nil {
		t.Errorf("short request during the flood: %v", err)
	}
	if cl, err := open(t, bg, start, 4*megabyte); !errors.Is(err, ErrShort) {
		t.Error("a long request got memory from bodies that still arrive")
	} else {
		cl.Close()
	}
	if _, err := open(t, bg, start.Add(slowAfter), 4*megabyte); err != nil {
		t.Errorf("long request when the bodies have stalled: %v", err)
	}
}

// Several bodies of the maximum size at once are accepted in calm on the smallest front VM, of 88 MB.
func TestSeveralBodiesInCalm(t *testing.T) {
	bg := NewBudget(88_000_000)
	for i := range 4 {
		if _, err := open(t, bg, start, 4*megabyte); err != nil {
			t.Errorf("body %d: %v", i, err)
		}
	}
}

// Small requests that fill the whole budget and stall do not keep out others: the largest slow claim is evicted first, and none that
// is in use.
func TestLargestSlowClaimIsEvictedFirst(t *testing.T) {
	bg := NewBudget(10 * smallBytes * 10 / 3)
	var claims []*Claim
	for i := range 10 {
		cl, err := open(t, bg, start, smallBytes-1000-int64(i))
		if err != nil {
			t.Fatal(err)
		}
		claims = append(claims, cl)
	}
	if err := claims[0].Use(); err != nil {
		t.Fatal(err)
	}
	if _, err := open(t, bg, start.Add(slowAfter), smallBytes-1); err != nil {
		t.Errorf("request after all have stalled: %v", err)
	}
	for i, cl := range claims {
		if evicted := cl.Evicted(); evicted != (i == 1) {
			t.Errorf("claim %d: evicted is %v", i, evicted)
		}
	}
	if err := claims[1].Grow(start, 1); !errors.Is(err, ErrShort) {
		t.Errorf("an evicted claim grows: %v", err)
	}
	refused, evicted := bg.TakeCounts()
	if refused[Body] != 0 || evicted[Body] != 1 {
		t.Errorf("counted %v and %v", refused, evicted)
	}
}

// A body that gets some bytes now and then is slow; one that keeps arriving is not.
func TestTricklingBodyIsSlow(t *testing.T) {
	bg := newTestBudget()
	trickling, err := open(t, bg, start, 12*megabyte)
	if err != nil {
		t.Fatal(err)
	}
	steady, err := open(t, bg, start, 12*megabyte)
	if err != nil {
		t.Fatal(err)
	}
	now := start.Add(slowAfter)
	trickling.Progress(now, 100)
	steady.Progress(now, progressBytes)
	if _, err := open(t, bg, now, megabyte); err != nil || !trickling.Evicted() || steady.Evicted() {
		t.Errorf("got %v; evicted: trickling %v, steady %v", err, trickling.Evicted(), steady.Evicted())
	}
}

// A response, whose request has run, gets memory from bodies of requests that have not run, the least complete first.
func TestResponseEvictsArrivingBody(t *testing.T) {
	bg := newTestBudget()
	var claims []*Claim
	for _, expected := range []int64{13 * megabyte, 20 * megabyte} {
		cl := bg.Open(start, Body, func() {})
		cl.Arrive(start, expected)
		if err := cl.Grow(start, 12*megabyte); err != nil {
			t.Fatal(err)
		}
		claims = append(claims, cl)
	}
	response := bg.Open(start, Response, func() {})
	if err := response.Grow(start, megabyte); err != nil || claims[0].Evicted() || !claims[1].Evicted() {
		t.Errorf("got %v; evicted %v and %v", err, claims[0].Evicted(), claims[1].Evicted())
	}
}

// Claims that are evicted but not closed yet do not let the memory grow without bound.
func TestEvictedClaimsAreBounded(t *testing.T) {
	bg := newTestBudget()
	for i := range 200 {
		_, _ = open(t, bg, start.Add(time.Duration(i)*slowAfter), megabyte)
	}
	if held, most := bg.Held(Body), bg.total+bg.reserve; held > most {
		t.Errorf("%d bytes held, at most %d allowed", held, most)
	}
	for cl := range bg.claims {
		cl.Close()
	}
	if bg.held != 0 || bg.freeing != 0 || bg.Held(Body) != 0 {
		t.Errorf("after all claims are closed: held %d, freeing %d", bg.held, bg.freeing)
	}
}
