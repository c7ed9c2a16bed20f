package vmlist

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A list longer than the limit is reported as such: a list whose end is missing could be valid JSON by chance of its padding.
func TestListRejectsTooLongList(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write([]byte("[]"))
		_, _ = wr.Write(bytes.Repeat([]byte(" "), maxListBytes))
	}))
	defer srv.Close()
	if resp, err := NewHTTP(srv.URL).List(t.Context()); err == nil || !strings.Contains(err.Error(), "limit") {
		t.Errorf("got %d VMs of %d bytes, error %v", len(resp.VMs), resp.Size, err)
	}
}
