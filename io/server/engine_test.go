package server

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A request body that is JSON but no object, such as null, is an error and no panic; no engine is called.
func TestStreamRejectsBodyWithoutObject(t *testing.T) {
	called := false
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	defer srv.Close()
	for _, body := range []string{"null", "[]", "3", ""} {
		_, err := NewHTTPEngine(srv.URL).Stream(context.Background(), CompletionRequest{Body: []byte(body)}, func(Event) {})
		var nse *NotSentError
		if !errors.As(err, &nse) || called {
			t.Errorf("body %q: got error %v, engine called: %v", body, err, called)
		}
	}
}

// The state of an engine that responds with an error status is not that of its error page.
func TestStateChecksStatus(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(http.StatusInternalServerError)
		_, _ = wr.Write([]byte(`{"incarnation":7}`))
	}))
	defer srv.Close()
	if st, err := NewHTTPEngine(srv.URL).State(context.Background()); err == nil {
		t.Errorf("got state %+v of a failing engine", st)
	}
}
