package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
)

// A request body that is JSON but no object, such as null, is an error and no panic; no engine is called.
func TestStreamRejectsBodyWithoutObject(t *testing.T) {
	called := false
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	defer srv.Close()
	for _, body := range []string{"null", "[]", "3", ""} {
		_, err := NewHTTPEngine(srv.URL).Stream(context.Background(), CompletionRequest{Body: []byte(body)}, func(Event) error { return nil })
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

// A stream that ends before its end marker's event is whole is incomplete, however it ends, and only whole events of it are relayed.
func TestStreamEndsAtEachByte(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		text := strings.ReplaceAll("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n"+
			"data: {\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n", "\n", lineEnd)
		for end := range len(text) + 1 {
			for _, cause := range []error{io.EOF, syscall.ECONNRESET} {
				relayed := 0
				us, err := readEvents(io.MultiReader(strings.NewReader(text[:end]), iotest.ErrReader(cause)), func(Event) error { relayed++; return nil })
				whole := min(strings.Count(text[:end], lineEnd+lineEnd), 3)
				if relayed != whole || (err == nil) != (end == len(text)) || err == nil && us.OutputTokens != 2 {
					t.Errorf("%q, then %v: got %d events, %+v, error %v", text[:end], cause, relayed, us, err)
				}
			}
		}
	}
}
