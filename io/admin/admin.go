package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/julienschmidt/httprouter"

	"shallotcleat/core/board"
	"shallotcleat/io/reply"
	"shallotcleat/io/trace"
)

// Limits of the admin interface.
const (
	readHeaderTimeout = 5 * time.Second
	fetchTimeout      = 3 * time.Second
	// maxReplyBytes bounds a response of another process.
	maxReplyBytes     = 64 << 20
	maxTimelineEvents = 5000
)

// Status is the response of /status.
type Status struct {
	Process string         `json:"process"`
	Epoch   uint64         `json:"epoch"`
	Preset  string         `json:"preset"`
	Change  string         `json:"change"`
	Retired []string       `json:"retired,omitempty"`
	Servers []ServerStatus `json:"servers,omitempty"`
}

// ServerStatus is an entry's view of one backend server.
type ServerStatus struct {
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Service       string `json:"service"`
	WeightVersion string `json:"weights,omitempty"`
	WaitMs        int64  `json:"wait_ms"`
	Usable        bool   `json:"usable"`
	Leaving       bool   `json:"leaving"`
}

// Server serves the admin interface of one process.
type Server struct {
	board *board.Board
	rec   *trace.Recorder
	done  chan struct{}
}

// New returns a server that is started by Serve.
func New(bd *board.Board, rec *trace.Recorder) *Server {
	return &Server{board: bd, rec: rec, done: make(chan struct{})}
}

// Done returns a channel that is closed when Serve returns.
func (sv *Server) Done() <-chan struct{} { return sv.done }

// Serve serves HTTP on lis until ctx is canceled.
func (sv *Server) Serve(ctx context.Context, lis net.Listener) {
	defer close(sv.done)
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", sv.rec.Handler())
	router.GET("/healthz", func(http.ResponseWriter, *http.Request, httprouter.Params) {})
	router.GET("/status", sv.serveStatus)
	router.GET("/timeline", sv.serveTimeline)
	hs := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
	defer stop()
	_ = hs.Serve(lis)
}

func (sv *Server) serveStatus(wr http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	st := Status{Process: sv.rec.Process()}
	if sn := sv.board.Snapshot(); sn != nil {
		hd := sn.Head()
		st.Epoch, st.Preset, st.Change, st.Retired = hd.Epoch(), hd.Preset(), hd.Change(), hd.Retired()
	}
	now := time.Now()
	for _, ms := range sv.board.Members().View().All() {
		st.Servers = append(st.Servers, ServerStatus{
			Address:       ms.Address(),
			Zone:          ms.Zone(),
			Service:       ms.Service(),
			WeightVersion: ms.Status().WeightVersion(),
			WaitMs:        ms.ExpectedWait(now).Milliseconds(),
			Usable:        ms.Usable(now),
			Leaving:       ms.Status().Leaving(),
		})
	}
	writeJSON(wr, st)
}

func (sv *Server) serveTimeline(wr http.ResponseWriter, rq *http.Request, _ httprouter.Params) {
	writeJSON(wr, sv.rec.Events(rq.URL.Query().Get("request"), maxTimelineEvents))
}

func writeJSON(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value)
}

// FetchStatus returns the status of a process; address is the host and port of its admin interface.
func FetchStatus(ctx context.Context, address string) (Status, error) {
	var st Status
	err := fetch(ctx, address, "/status", &st)
	return st, err
}

// FetchEvents returns the timeline events that a process keeps for a request, or all of them if requestID is empty.
func FetchEvents(ctx context.Context, address, requestID string) ([]trace.Event, error) {
	var events []trace.Event
	err := fetch(ctx, address, "/timeline?request="+url.QueryEscape(requestID), &events)
	return events, err
}

func fetch(ctx context.Context, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("query %s: %s", address, rs.Status)
	}
	if _, err := reply.Decode(rs, maxReplyBytes, out); err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	return nil
}
