package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"shallotcleat/core/board"
	"shallotcleat/io/logs"
	"shallotcleat/io/trace"
)

func startServer(t *testing.T) (string, *trace.Recorder) {
	lg, err := logs.New(io.Discard, "debug", "entry")
	if err != nil {
		t.Fatal(err)
	}
	rec, err := trace.New("entry-1", lg)
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sv := New(board.New(), rec)
	go sv.Serve(ctx, lis)
	t.Cleanup(func() { cancel(); <-sv.Done() })
	return lis.Addr().String(), rec
}

// A process without a configuration tells its name and no epoch.
func TestStatus(t *testing.T) {
	address, _ := startServer(t)
	st, err := FetchStatus(context.Background(), address)
	if err != nil || st.Process != "entry-1" || st.Epoch != 0 || len(st.Servers) != 0 {
		t.Errorf("got %+v, %v", st, err)
	}
}

// The timeline of a request has its events only.
func TestTimeline(t *testing.T) {
	address, rec := startServer(t)
	rec.RecordEvent("r1", trace.ProcessStarted, "key", "value")
	rec.RecordEvent("r2 &?", trace.ProcessStarted)
	events, err := FetchEvents(context.Background(), address, "r2 &?")
	if err != nil || len(events) != 1 || events[0].Request != "r2 &?" {
		t.Errorf("got %+v, %v", events, err)
	}
	if all, err := FetchEvents(context.Background(), address, ""); err != nil || len(all) != 2 {
		t.Errorf("got %+v, %v", all, err)
	}
}

// What is no answer of a process is an error that names the address.
func TestFetchStatusInvalidResponse(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(other.URL, "http://")
	if _, err := FetchStatus(context.Background(), address); err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("got %v", err)
	}
	other.Close()
	if _, err := FetchStatus(context.Background(), address); err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("got %v", err)
	}
}
