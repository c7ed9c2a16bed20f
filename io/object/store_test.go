package object

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// An object longer than the limit is an error, not a shorter object.
func TestGetRejectsTooLongObject(t *testing.T) {
	const limit = 100_000
	size := limit
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write(bytes.Repeat([]byte("x"), size))
	}))
	defer srv.Close()
	store := NewHTTP(srv.URL)
	if store.maxBytes != maxObjectBytes {
		t.Errorf("the limit is %d bytes, want %d", store.maxBytes, maxObjectBytes)
	}
	store.maxBytes = limit
	if value, err := store.Get(t.Context(), "a"); err != nil || len(value) != size {
		t.Errorf("object of the maximum size: got %d bytes, error %v", len(value), err)
	}
	size++
	if value, err := store.Get(t.Context(), "a"); err == nil {
		t.Errorf("object beyond the limit: got %d bytes", len(value))
	}
}

// An object without a length whose store ends, as a killed process does, is an error; that of a store that goes on is an object.
func TestGetRejectsObjectOfEndedStore(t *testing.T) {
	for _, ends := range []bool{false, true} {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
			if hr.URL.Query().Has("prefix") {
				_, _ = io.WriteString(wr, "[]")
				return
			}
			conn, _, err := wr.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nvalue")
			if ends {
				_ = srv.Listener.Close()
			}
			_ = conn.Close()
		}))
		value, err := NewHTTP(srv.URL).Get(t.Context(), "a")
		if (err != nil) != ends || err == nil && string(value) != "value" {
			t.Errorf("store ends: %v: got %q, %v", ends, value, err)
		}
		srv.Close()
	}
}
