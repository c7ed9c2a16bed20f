package local

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotcleat/io/trace"
)

// Invalid requests are refused with the reason and the outcome not_run, and reach no agent.
func TestInvalidRequestsReachNoServer(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, plainServices: 1, entries: 1})
	caller := cl.caller(0)
	unauthorized := NewCaller(cl.entries[0].Address(), "no such key")
	cases := []struct {
		name, method, path, body string
		caller                   *Caller
		headers                  []string
		status                   int
		code                     string
	}{
		{"no key", "POST", "/v1/completions", `{}`, unauthorized, nil, 401, "unauthorized"},
		{"invalid JSON", "POST", "/v1/completions", `{`, caller, nil, 400, "bad_request"},
		{"no model", "POST", "/v1/completions", `{"prompt":"a"}`, caller, nil, 400, "bad_request"},
		{"unknown model", "POST", "/v1/completions", `{"model":"none","prompt":"a"}`, caller, nil, 404, "not_found"},
		{"plain service as model", "POST", "/v1/completions", `{"model":"stock","prompt":"a"}`, caller, nil, 404, "not_found"},
		{"empty prompt", "POST", "/v1/completions", `{"model":"dispatch","prompt":""}`, caller, nil, 400, "bad_request"},
		{"negative max_tokens", "POST", "/v1/completions", `{"model":"dispatch","prompt":"a","max_tokens":-1}`,
			caller, nil, 400, "bad_request"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"dispatch","messages":[]}`, caller, nil, 400, "bad_request"},
		{"image content", "POST", "/v1/chat/completions",
			`{"model":"dispatch","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, caller, nil, 400, "bad_request"},
		{"too large", "POST", "/v1/completions", strings.Repeat("x", maxBodyBytes+1), caller, nil, 413, "body_too_large"},
		{"unknown service", "GET", "/services/none/x", "", caller, nil, 404, "not_found"},
		{"model as service", "GET", "/services/dispatch/x", "", caller, nil, 404, "not_found"},
		{"order without key", "POST", "/services/stock/orders", `{}`, caller, nil, 400, "idempotency_key_required"},
		{"order with malformed key", "POST", "/services/stock/orders", `{}`,
			caller, []string{"Idempotency-Key", "a/b"}, 400, "bad_request"},
		{"malformed event id", "GET", "/v1/streams", "", caller, []string{"Last-Event-ID", "%%%"}, 400, "bad_request"},
	}
	for _, cs := range cases {
		t.Run(cs.name, func(t *testing.T) {
			rsp, err := cs.caller.Do(t.Context(), cs.method, cs.path, []byte(cs.body), cs.headers...)
			if err != nil {
				t.Fatal(err)
			}
			if rsp.Status != cs.status || rsp.Code() != cs.code || rsp.Outcome != "not_run" || rsp.RequestID == "" {
				t.Errorf("status %d, code %q, outcome %q, request %q: %s", rsp.Status, rsp.Code(), rsp.Outcome, rsp.RequestID, rsp.Body)
			}
		})
	}
	for _, node := range append(append([]*Node{}, cl.modelAgents...), cl.serviceAgents...) {
		if countEvents(node, trace.ServerCalled)+countEvents(node, trace.TicketGranted) > 0 {
			t.Error("an invalid request reached an agent")
		}
	}
}

// A POST that is declared at most once needs an idempotency key however its path is spelled; so does a POST that is not
// declared.
func TestPathVariantsRequireIdempotencyKey(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 1, entries: 1})
	for _, path := range []string{"/orders", "/orders/", "/orders%3Fx", "/orders?x=1", "/x/%2e%2e/orders", "/./orders", "/undeclared"} {
		rsp, err := cl.caller(0).Do(t.Context(), http.MethodPost, "/services/stock"+path, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		if rsp.Status/100 == 2 {
			t.Errorf("%s: status %d", path, rsp.Status)
		}
	}
	if runs := cl.plainServices[0].TotalRuns(); runs > 0 {
		t.Errorf("%d orders ran without an idempotency key", runs)
	}
}

// A request that is refused because no server is available has a Retry-After header.
func TestUnavailableResponseHasRetryAfter(t *testing.T) {
	cl := newCluster(t, clusterOptions{entries: 1})
	rsp, err := cl.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
	if err != nil {
		t.Fatal(err)
	}
	if rsp.Status != http.StatusServiceUnavailable || rsp.RetryAfter == "" || rsp.Outcome != "not_run" {
		t.Errorf("status %d, outcome %q, Retry-After %q", rsp.Status, rsp.Outcome, rsp.RetryAfter)
	}
}

// Lookups that fail at both services take a token from the retry budget for the one retry that was sent, and none for the third
// service that is missing: a full budget lets each of them be retried.
func TestLookupsPayOnlyForSentRetries(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 2, entries: 1})
	for _, service := range cl.plainServices {
		service.SetDropLookups(true)
	}
	for i := range retryBudgetTokens {
		rsp, err := cl.caller(0).Do(t.Context(), http.MethodGet, "/services/stock/items/sand", nil)
		if err != nil || rsp.Status == http.StatusOK {
			t.Errorf("lookup %d: status %d, %v, want a failure at both services", i, rsp.Status, err)
		}
		if retries := countRetries(cl.entries[0]); retries != i+1 {
			t.Fatalf("%d retries of %d lookups, want one of each", retries, i+1)
		}
	}
}

// An order that is sent to two entries at the same time runs once, and both callers get its response.
func TestConcurrentDuplicateOrderRunsOnce(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 2, entries: 2, orderDelay: 100_000_000})
	type orderResult struct {
		rsp Response
		err error
	}
	results := make(chan orderResult, 2)
	for entry := range 2 {
		go func() {
			rsp, err := cl.caller(entry).PlaceOrder(t.Context(), "both", "{}")
			results <- orderResult{rsp, err}
		}()
	}
	first, second := <-results, <-results
	for _, got := range []orderResult{first, second} {
		if got.err != nil || got.rsp.Status != http.StatusCreated {
			t.Errorf("status %d %s, %v", got.rsp.Status, got.rsp.Body, got.err)
		}
	}
	if string(first.rsp.Body) != string(second.rsp.Body) {
		t.Errorf("different responses %s and %s", first.rsp.Body, second.rsp.Body)
	}
	if runs := cl.plainServices[0].RunCount("both") + cl.plainServices[1].RunCount("both"); runs != 1 {
		t.Errorf("order ran %d times, want 1", runs)
	}
}

// An order whose caller disconnects after 2 to 20 milliseconds either never starts or runs to completion.
func TestOrderCompletesAfterCallerDisconnects(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 1, entries: 1, orderDelay: 50_000_000})
	for i := range 10 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i+1)*2*time.Millisecond)
		_, _ = cl.caller(0).PlaceOrder(ctx, "left-"+string(rune('a'+i)), "{}")
		cancel()
	}
	cl.waitFor("all requests to be answered", func() bool {
		return countEvents(cl.entries[0], trace.RequestReceived) == countEvents(cl.entries[0], trace.RequestAnswered)
	})
	for _, cell := range cl.platform.Table().Scan("order/", 100) {
		if !strings.Contains(string(cell.Value), `"state":"done"`) {
			t.Errorf("row %s: got %s, want state done", cell.Key, cell.Value)
		}
	}
}

// If the service closes the connection during an order, the outcome stays unknown and the order is not run again.
func TestInterruptedOrderStaysUnknown(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 1, entries: 1})
	cl.plainServices[0].DropResponses(1)
	for range 3 {
		rsp, err := cl.caller(0).PlaceOrder(t.Context(), "broken", "{}")
		if err != nil {
			t.Fatal(err)
		}
		if rsp.Outcome != "unknown" || rsp.RetryAfter != "" {
			t.Errorf("outcome %q, Retry-After %q: %s", rsp.Outcome, rsp.RetryAfter, rsp.Body)
		}
	}
	if runs := cl.plainServices[0].RunCount("broken"); runs != 1 {
		t.Errorf("order ran %d times, want 1", runs)
	}
}

// Orders run once and are answered although the table service drops the responses of commits that took effect.
func TestOrdersWithLostTableResponses(t *testing.T) {
	cl := newCluster(t, clusterOptions{plainServices: 2, entries: 2})
	cl.platform.Table().SetDropEvery(3)
	for i := range 12 {
		key := "lost-" + string(rune('a'+i))
		cl.waitFor("the response to order "+key, func() bool {
			rsp, err := cl.caller(i%2).PlaceOrder(t.Context(), key, "{}")
			return err == nil && rsp.Status == http.StatusCreated
		})
		if runs := cl.plainServices[0].RunCount(key) + cl.plainServices[1].RunCount(key); runs != 1 {
			t.Errorf("order %s ran %d times, want 1", key, runs)
		}
	}
}
