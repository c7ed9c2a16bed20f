package local

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"shallotcleat/io/admin"
	"shallotcleat/io/object"
	"shallotcleat/io/server"
	"shallotcleat/io/table"
	"shallotcleat/io/vmlist"
)

// JSON without a length is a failure for each client that reads it, wherever it was cut off.
func TestClientsRejectCutAnswers(t *testing.T) {
	var text string
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		conn, _, err := wr.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}))
	defer srv.Close()
	for _, tt := range []struct {
		name, body string
		call       func(ctx context.Context) error
	}{
		{"status", `{"process":"entry","epoch":3,"servers":[{"address":"a"}]}`, func(ctx context.Context) error {
			_, err := admin.FetchStatus(ctx, srv.Listener.Addr().String())
			return err
		}},
		{"events", `[{"name":"a"}]`, func(ctx context.Context) error {
			_, err := admin.FetchEvents(ctx, srv.Listener.Addr().String(), "r")
			return err
		}},
		{"VMs", `[{"address":"a","zone":"z"}]`, func(ctx context.Context) error {
			_, err := vmlist.NewHTTP(srv.URL).List(ctx)
			return err
		}},
		{"objects", `["a","b"]`, func(ctx context.Context) error {
			_, err := object.NewHTTP(srv.URL).List(ctx, "")
			return err
		}},
		{"cells", `{"cells":[{"key":"a","version":1}]}`, func(ctx context.Context) error {
			_, err := table.NewHTTP(srv.URL).Read(ctx, []string{"a"})
			return err
		}},
		{"versions", `{"versions":[1]}`, func(ctx context.Context) error {
			_, err := table.NewHTTP(srv.URL).Commit(ctx, []table.Write{{Key: "a"}})
			return err
		}},
		{"engine", `{"incarnation":7,"weights":"w1"}`, func(ctx context.Context) error {
			_, err := server.NewHTTPEngine(srv.URL).State(ctx)
			return err
		}},
	} {
		for end := range len(tt.body) + 1 {
			text = "HTTP/1.1 200 OK\r\n\r\n" + tt.body[:end]
			if err := tt.call(t.Context()); (err == nil) != (end == len(tt.body)) {
				t.Errorf("%s: cut to %q: got error %v", tt.name, tt.body[:end], err)
			}
		}
	}
}
