package local

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotcleat/io/trace"
)

// Bad requests get their reason, are said not to have run, and reach no backend server.
func TestBadRequestsReachNoServer(t *testing.T) {
	st := newSite(t, siteOptions{engines: 1, services: 1, entries: 1})
	good := st.caller(0)
	stranger := NewCaller(st.entries[0].Address(), "no such key")
	cases := []struct {
		name, method, path, body string
		caller                   *Caller
		headers                  []string
		status                   int
		code                     string
	}{
		{"no key", "POST", "/v1/completions", `{}`, stranger, nil, 401, "unauthorized"},
		{"no JSON", "POST", "/v1/completions", `{`, good, nil, 400, "bad_request"},
		{"no model", "POST", "/v1/completions", `{"prompt":"a"}`, good, nil, 400, "bad_request"},
		{"unknown model", "POST", "/v1/completions", `{"model":"none","prompt":"a"}`, good, nil, 404, "not_found"},
		{"plain service as model", "POST", "/v1/completions", `{"model":"stock","prompt":"a"}`, good, nil, 404, "not_found"},
		{"empty prompt", "POST", "/v1/completions", `{"model":"dispatch","prompt":""}`, good, nil, 400, "bad_request"},
		{"negative length", "POST", "/v1/completions", `{"model":"dispatch","prompt":"a","max_tokens":-1}`, good, nil, 400, "bad_request"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"dispatch","messages":[]}`, good, nil, 400, "bad_request"},
		{"picture", "POST", "/v1/chat/completions", `{"model":"dispatch","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, good, nil, 400, "bad_request"},
		{"too large", "POST", "/v1/completions", strings.Repeat("x", maxBody+1), good, nil, 413, "body_too_large"},
		{"unknown service", "GET", "/services/none/x", "", good, nil, 404, "not_found"},
		{"model as service", "GET", "/services/dispatch/x", "", good, nil, 404, "not_found"},
		{"order without key", "POST", "/services/stock/orders", `{}`, good, nil, 400, "idempotency_key_required"},
		{"order with odd key", "POST", "/services/stock/orders", `{}`, good, []string{"Idempotency-Key", "a/b"}, 400, "bad_request"},
		{"odd event id", "GET", "/v1/streams", "", good, []string{"Last-Event-ID", "%%%"}, 400, "bad_request"},
	}
	for _, cs := range cases {
		t.Run(cs.name, func(t *testing.T) {
			rp, err := cs.caller.Do(t.Context(), cs.method, cs.path, []byte(cs.body), cs.headers...)
			if err != nil {
				t.Fatal(err)
			}
			if rp.Status != cs.status || rp.Code() != cs.code || rp.Outcome != "not_run" || rp.RequestID == "" {
				t.Errorf("status %d, code %q, outcome %q, request %q: %s", rp.Status, rp.Code(), rp.Outcome, rp.RequestID, rp.Body)
			}
		})
	}
	for _, node := range append(append([]*Node{}, st.models...), st.services...) {
		if count(node, trace.ServerCalled)+count(node, trace.TicketGranted) > 0 {
			t.Error("a bad request reached an agent")
		}
	}
}

// However its path is written, a call that may not be repeated needs a key; so does a POST that nobody has declared.
func TestOrdersInDisguise(t *testing.T) {
	st := newSite(t, siteOptions{services: 1, entries: 1})
	for _, path := range []string{"/orders", "/orders/", "/orders%3Fx", "/orders?x=1", "/x/%2e%2e/orders", "/./orders", "/undeclared"} {
		rp, err := st.caller(0).Do(t.Context(), http.MethodPost, "/services/stock"+path, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		if rp.Status/100 == 2 {
			t.Errorf("%s: status %d", path, rp.Status)
		}
	}
	if total := st.plain[0].TotalRuns(); total > 0 {
		t.Errorf("%d orders ran without a key", total)
	}
}

// Refused work has a time to come back.
func TestOverloadTellsWhenToComeBack(t *testing.T) {
	st := newSite(t, siteOptions{entries: 1})
	rp, err := st.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
	if err != nil {
		t.Fatal(err)
	}
	if rp.Status != http.StatusServiceUnavailable || rp.RetryAfter == "" || rp.Outcome != "not_run" {
		t.Errorf("status %d, outcome %q, Retry-After %q", rp.Status, rp.Outcome, rp.RetryAfter)
	}
}

// The same order at two entries at once runs once, and both callers get its answer.
func TestSameOrderAtTwoEntries(t *testing.T) {
	st := newSite(t, siteOptions{services: 2, entries: 2, orderTime: 100_000_000})
	type told struct {
		rp  Response
		err error
	}
	answers := make(chan told, 2)
	for entry := range 2 {
		go func() {
			rp, err := st.caller(entry).PlaceOrder(t.Context(), "both", "{}")
			answers <- told{rp, err}
		}()
	}
	first, second := <-answers, <-answers
	for _, got := range []told{first, second} {
		if got.err != nil || got.rp.Status != http.StatusCreated {
			t.Errorf("status %d %s, %v", got.rp.Status, got.rp.Body, got.err)
		}
	}
	if string(first.rp.Body) != string(second.rp.Body) {
		t.Errorf("answers %s and %s", first.rp.Body, second.rp.Body)
	}
	if runs := st.plain[0].RunCount("both") + st.plain[1].RunCount("both"); runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}

// An order whose caller leaves at once, at any moment, is either not begun or carried to its end.
func TestOrderGoesOnWithoutItsCaller(t *testing.T) {
	st := newSite(t, siteOptions{services: 1, entries: 1, orderTime: 50_000_000})
	for i := range 10 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i+1)*2*time.Millisecond)
		_, _ = st.caller(0).PlaceOrder(ctx, "left-"+string(rune('a'+i)), "{}")
		cancel()
	}
	st.waitFor("the end of all orders", func() bool {
		return count(st.entries[0], trace.RequestReceived) == count(st.entries[0], trace.RequestAnswered)
	})
	for _, cell := range st.platform.Table().Scan("order/", 100) {
		if !strings.Contains(string(cell.Value), `"state":"done"`) {
			t.Errorf("%s was left as %s", cell.Key, cell.Value)
		}
	}
}

// A service that breaks off in an order leaves it unknown for good; it is never run again.
func TestBrokenOrderStaysUnknown(t *testing.T) {
	st := newSite(t, siteOptions{services: 1, entries: 1})
	st.plain[0].DropResponses(1)
	for range 3 {
		rp, err := st.caller(0).PlaceOrder(t.Context(), "broken", "{}")
		if err != nil {
			t.Fatal(err)
		}
		if rp.Outcome != "unknown" || rp.RetryAfter != "" {
			t.Errorf("outcome %q, Retry-After %q: %s", rp.Outcome, rp.RetryAfter, rp.Body)
		}
	}
	if runs := st.plain[0].RunCount("broken"); runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}

// Replies of the table that get lost after their effect change nothing for the caller.
func TestOrdersWithLostTableReplies(t *testing.T) {
	st := newSite(t, siteOptions{services: 2, entries: 2})
	st.platform.Table().SetDropEvery(3)
	for i := range 12 {
		key := "lost-" + string(rune('a'+i))
		st.waitFor("the answer to "+key, func() bool {
			rp, err := st.caller(i%2).PlaceOrder(t.Context(), key, "{}")
			return err == nil && rp.Status == http.StatusCreated
		})
		if runs := st.plain[0].RunCount(key) + st.plain[1].RunCount(key); runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}
