package local

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"shallotcleat/core/usage"
	"shallotcleat/io/bill"
	"shallotcleat/io/object"
)

// charges reads and folds all usage records.
func charges(t *testing.T, st *site) map[string]usage.Charge {
	t.Helper()
	records, err := bill.Read(t.Context(), object.NewHTTP(st.platform.ObjectsURL()))
	if err != nil {
		t.Fatal(err)
	}
	byRequest := make(map[string]usage.Charge)
	for _, ch := range usage.Aggregate(records) {
		if _, ok := byRequest[ch.Request()]; ok {
			t.Errorf("request %s is charged twice", ch.Request())
		}
		byRequest[ch.Request()] = ch
	}
	return byRequest
}

// Each answer is charged to its own request once, although entry and agents write records and the store fails between.
func TestEachAnswerIsChargedOnce(t *testing.T) {
	st := newSite(t, siteOptions{engines: 2, services: 1, entries: 2})
	want := make(map[string]int64)
	for i := range 6 {
		cp, rp, err := st.caller(i%2).Complete(t.Context(), "dispatch", promptOf(fmt.Sprintf("c%d", i)), 3)
		if err != nil || rp.Status != http.StatusOK {
			t.Fatalf("status %d, %v", rp.Status, err)
		}
		want[rp.RequestID] = int64(cp.Usage.OutputTokens)
		rp, err = st.caller(i%2).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
		if err != nil || rp.Status != http.StatusOK {
			t.Fatalf("status %d, %v", rp.Status, err)
		}
		want[rp.RequestID] = 0
		st.platform.ObjectStore().SetDown(i < 3)
	}
	for _, node := range append(append(append([]*Node{}, st.entries...), st.models...), st.services...) {
		node.Stop()
	}
	got := charges(t, st)
	if len(got) != len(want) {
		t.Errorf("%d charges for %d answers", len(got), len(want))
	}
	for request, output := range want {
		ch, ok := got[request]
		if _, _, tokens := ch.Tokens(); !ok || tokens != output {
			t.Errorf("request %s: charged %t, for %d tokens instead of %d", request, ok, tokens, output)
		}
	}
}

// The entry dies before it has written its records: the agent's ones are there.
func TestChargeAfterEntryDeath(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 1})
	_, rp, err := st.caller(0).Complete(t.Context(), "dispatch", promptOf("dead"), 3)
	if err != nil {
		t.Fatal(err)
	}
	st.models[0].Stop()
	got := charges(t, st)
	ch, ok := got[rp.RequestID]
	if _, _, output := ch.Tokens(); !ok || output != 3 {
		t.Errorf("charged %t for %d tokens", ok, output)
	}
	if ok && ch.Records()[0].Source != usage.Agent {
		t.Errorf("the record is of %s", ch.Records()[0].Source)
	}
}

// A stream that its caller resumes at another entry is one charge.
func TestResumedStreamIsOneCharge(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, entries: 2})
	body := streamBody("resumed", streamTokens)
	sm := &streamed{}
	ctx, cancel := context.WithCancel(t.Context())
	first, _ := st.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sm.take(ev)
		return sm.events < 3
	})
	cancel()
	_, err := st.caller(1).Stream(t.Context(), http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sm.take(ev)
		return true
	}, "Last-Event-ID", sm.lastID)
	if err != nil {
		t.Fatal(err)
	}
	checkWhole(t, "resumed", "resumed", sm)
	for _, node := range append(append([]*Node{}, st.entries...), st.models...) {
		node.Stop()
	}
	got := charges(t, st)
	if len(got) != 1 {
		t.Errorf("%d charges", len(got))
	}
	ch := got[first.RequestID]
	if _, _, output := ch.Tokens(); output != streamTokens {
		t.Errorf("charged for %d tokens", output)
	}
}
