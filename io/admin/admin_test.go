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

// Checks that a process without a configuration reports its name and epoch 0.
func TestStatus(t *testing.T) {
	address, _ := startServer(t)
	st, err := FetchStatus(context.Background(), address)
	if err != nil || st.Process != "entry-1" || st.Epoch != 0 || len(st.Servers) != 0 {
		t.Errorf("FetchStatus returned %+v, %v; want process entry-1, epoch 0 and no servers", st, err)
	}
}

// Checks that the timeline of a request has only its own events, and that an empty request selects all.
func TestTimeline(t *testing.T) {
	address, rec := startServer(t)
	rec.RecordEvent("r1", trace.ProcessStarted, "key", "value")
	rec.RecordEvent("r2 &?", trace.ProcessStarted)
	events, err := FetchEvents(context.Background(), address, "r2 &?")
	if err != nil || len(events) != 1 || events[0].Request != "r2 &?" {
		t.Errorf("FetchEvents of one request returned %+v, %v; want its one event", events, err)
	}
	if all, err := FetchEvents(context.Background(), address, ""); err != nil || len(all) != 2 {
		t.Errorf("FetchEvents of all requests returned %+v, %v; want 2 events", all, err)
	}
}

// Checks that a failed connection and a response that is not JSON give an error that names the address.
func TestFetchStatusInvalidResponse(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(other.URL, "http://")
	if _, err := FetchStatus(context.Background(), address); err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("response that is not JSON: got error %v, want one with address %s", err, address)
	}
	other.Close()
	if _, err := FetchStatus(context.Background(), address); err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("closed server: got error %v, want one with address %s", err, address)
	}
}

// An error status is an error, not an empty status or timeline.
func TestFetchChecksStatus(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(http.StatusInternalServerError)
		_, _ = wr.Write([]byte("null"))
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	if st, err := FetchStatus(t.Context(), address); err == nil {
		t.Errorf("got status %+v", st)
	}
	if events, err := FetchEvents(t.Context(), address, ""); err == nil {
		t.Errorf("got %d events", len(events))
	}
}
