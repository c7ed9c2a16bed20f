package object

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
)

// An object longer than the limit is an error, not a shorter object.
func TestGetRejectsTooLongObject(t *testing.T) {
	size := maxObjectBytes
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write(bytes.Repeat([]byte("x"), size))
	}))
	defer srv.Close()
	if value, err := NewHTTP(srv.URL).Get(t.Context(), "a"); err != nil || len(value) != size {
		t.Errorf("object of the maximum size: got %d bytes, error %v", len(value), err)
	}
	size++
	if value, err := NewHTTP(srv.URL).Get(t.Context(), "a"); err == nil {
		t.Errorf("object beyond the limit: got %d bytes", len(value))
	}
}
