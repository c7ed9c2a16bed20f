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

// chargesByRequest reads all usage records, aggregates them and checks that each request has one charge.
func chargesByRequest(t *testing.T, cl *cluster) map[string]usage.Charge {
	t.Helper()
	records, err := bill.Read(t.Context(), object.NewHTTP(cl.platform.ObjectsURL()))
	if err != nil {
		t.Fatal(err)
	}
	charges := make(map[string]usage.Charge)
	for _, ch := range usage.Aggregate(records) {
		if _, ok := charges[ch.Request()]; ok {
			t.Errorf("request %s is charged twice", ch.Request())
		}
		charges[ch.Request()] = ch
	}
	return charges
}

// Each response is charged once, to its own request, although both entry and agents write usage records and the object
// store is down during some of the requests.
func TestEachResponseIsChargedOnce(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 2, plainServices: 1, entries: 2})
	want := make(map[string]int64)
	for i := range 6 {
		cp, rsp, err := cl.caller(i%2).Complete(t.Context(), "dispatch", taggedPrompt(fmt.Sprintf("c%d", i)), 3)
		if err != nil || rsp.Status != http.StatusOK {
			t.Fatalf("status %d, %v", rsp.Status, err)
		}
		want[rsp.RequestID] = int64(cp.Usage.OutputTokens)
		rsp, err = cl.caller(i%2).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
		if err != nil || rsp.Status != http.StatusOK {
			t.Fatalf("status %d, %v", rsp.Status, err)
		}
		want[rsp.RequestID] = 0
		cl.platform.ObjectStore().SetDown(i < 3)
	}
	for _, node := range append(append(append([]*Node{}, cl.entries...), cl.modelAgents...), cl.serviceAgents...) {
		node.Stop()
	}
	got := chargesByRequest(t, cl)
	if len(got) != len(want) {
		t.Errorf("%d charges for %d responses", len(got), len(want))
	}
	for request, output := range want {
		ch, ok := got[request]
		if _, _, tokens := ch.Tokens(); !ok || tokens != output {
			t.Errorf("request %s: charged %t for %d output tokens, want %d", request, ok, tokens, output)
		}
	}
}

// The agent's record alone yields the charge while the entry has not written its own, as when the entry crashes.
func TestChargeFromAgentRecordsOnly(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 1})
	_, rsp, err := cl.caller(0).Complete(t.Context(), "dispatch", taggedPrompt("dead"), 3)
	if err != nil {
		t.Fatal(err)
	}
	cl.modelAgents[0].Stop()
	got := chargesByRequest(t, cl)
	ch, ok := got[rsp.RequestID]
	if _, _, output := ch.Tokens(); !ok || output != 3 {
		t.Errorf("charged %t for %d output tokens, want 3", ok, output)
	}
	if ok && ch.Records()[0].Source != usage.Agent {
		t.Errorf("record from %s, want agent", ch.Records()[0].Source)
	}
}

// A stream that the caller resumes at another entry yields one charge.
func TestResumedStreamIsOneCharge(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, entries: 2})
	body := streamBody("resumed", streamTokens)
	sr := &streamResult{}
	ctx, cancel := context.WithCancel(t.Context())
	first, _ := cl.caller(0).Stream(ctx, http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sr.add(ev)
		return sr.events < 3
	})
	cancel()
	_, err := cl.caller(1).Stream(t.Context(), http.MethodPost, "/v1/completions", body, func(ev Event) bool {
		sr.add(ev)
		return true
	}, "Last-Event-ID", sr.lastID)
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, "resumed", "resumed", sr)
	for _, node := range append(append([]*Node{}, cl.entries...), cl.modelAgents...) {
		node.Stop()
	}
	got := chargesByRequest(t, cl)
	if len(got) != 1 {
		t.Errorf("%d charges, want 1", len(got))
	}
	ch := got[first.RequestID]
	if _, _, output := ch.Tokens(); output != streamTokens {
		t.Errorf("charged for %d output tokens, want those of the whole stream", output)
	}
}
