package crash

import (
	"slices"
	"testing"
	"time"
)

// requestCrash is a crash in a test: when it is, and when each request was sent that the server was answering.
type requestCrash struct {
	at     time.Duration
	sentAt map[uint64]time.Duration
}

// Guards against BUDGET: a request must be blamed after the third crash, whatever was in flight beside it.
func TestBlamesRequestAfterThreeCrashes(t *testing.T) {
	const bad, bystander, popular = 1, 2, 3
	const ms = time.Millisecond
	chain := func(requests ...uint64) []requestCrash {
		var crashes []requestCrash
		for i := range 3 {
			at := time.Duration(i+1) * 100 * ms
			sentAt := make(map[uint64]time.Duration)
			for _, request := range requests {
				sentAt[request] = at - 50*ms
			}
			crashes = append(crashes, requestCrash{at, sentAt})
		}
		return crashes
	}
	together := []requestCrash{{100 * ms, nil}, {101 * ms, nil}, {102 * ms, nil}}
	for i := range together {
		together[i].sentAt = map[uint64]time.Duration{bad: 50 * ms, popular: 50 * ms}
	}
	withBystander := chain(bad, popular)
	withBystander[1].sentAt[bystander] = 150 * ms
	for _, tt := range []struct {
		name    string
		crashes []requestCrash
		// served are the requests that were answered before; later are those answered after the last crash.
		served, later []uint64
		want          []uint64
	}{
		{"alone", chain(bad), nil, nil, []uint64{bad}},
		{"two crashes", chain(bad)[:2], nil, nil, nil},
		{"beside one in two crashes", withBystander, []uint64{popular}, []uint64{popular}, []uint64{bad}},
		{"at once, beside one that was answered before", together, []uint64{popular}, nil, []uint64{bad}},
		{"answered before, beside one that was not", chain(bad, bystander), []uint64{bad}, nil, []uint64{bad, bystander}},
		{"answered before, beside one that is answered again", chain(bad, popular), []uint64{bad, popular}, []uint64{popular}, []uint64{bad}},
	} {
		dt := NewDetector()
		start := time.Unix(1000, 0)
		for _, request := range tt.served {
			dt.AddServed(start, []uint64{RequestKey(request)})
		}
		for i, rc := range tt.crashes {
			suspects := make(map[uint64]time.Time)
			for request, sentAt := range rc.sentAt {
				suspects[RequestKey(request)] = start.Add(sentAt)
			}
			dt.AddReport(NewReport(uint64(i), uint64(i), start.Add(rc.at), suspects))
		}
		dt.Refresh(start.Add(time.Second))
		now := start.Add(1100 * ms)
		for _, request := range tt.later {
			dt.AddServed(now, []uint64{RequestKey(request)})
		}
		dt.Refresh(now)
		var got []uint64
		for _, request := range []uint64{bad, bystander, popular} {
			if dt.Decide(now, []uint64{RequestKey(request)}, false).Forbidden {
				got = append(got, request)
			}
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: requests %v are refused, want %v", tt.name, got, tt.want)
		}
	}
}

// A request whose prompt has a part that no other has is blamed alone, until another one with the part crashes a server.
func TestBlamesRequestBeforeItsParts(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	crash := func(after time.Duration, keys ...uint64) {
		suspects := make(map[uint64]time.Time)
		for _, key := range keys {
			suspects[key] = start.Add(after - 50*time.Millisecond)
		}
		dt.AddReport(NewReport(uint64(after), uint64(after), start.Add(after), suspects))
		dt.AddServed(start.Add(after), []uint64{7})
		dt.Refresh(start.Add(after))
	}
	forbidden := func(keys ...uint64) bool { return dt.Decide(start.Add(20*time.Second), keys, false).Forbidden }
	for i := range 3 {
		crash(time.Duration(i+1)*time.Second, RequestKey(1), badPart)
	}
	if !forbidden(RequestKey(1), badPart) || forbidden(RequestKey(2), badPart) {
		t.Error("the request is not refused, or another one with its part is")
	}
	crash(10*time.Second, RequestKey(2), badPart)
	if !forbidden(RequestKey(3), badPart) {
		t.Error("the part is not refused")
	}
}

// Guards against BUDGET: a server that started again under its id and crashed once more counted as crashed once.
func TestCrashesOfOneIDCountEach(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	for i := range 3 {
		at := start.Add(time.Duration(i) * 1500 * time.Millisecond)
		// A second process knows an earlier run of the server.
		for run := range 2 {
			dt.AddReport(NewReport(uint64(i+run), 1, at.Add(time.Duration(run)*100*time.Millisecond), map[uint64]time.Time{RequestKey(1): at.Add(-time.Millisecond)}))
		}
		dt.Refresh(at)
		if got, want := dt.Decide(at, []uint64{RequestKey(1)}, false).Forbidden, i == 2; got != want {
			t.Errorf("after crash %d: refused %t, want %t", i+1, got, want)
		}
	}
}
