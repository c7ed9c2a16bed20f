package tend

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/weight"
	"shallotcleat/io/feed"
	"shallotcleat/io/gate"
	"shallotcleat/io/link"
	"shallotcleat/io/timer"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// stillEngine is an engine in whose state nothing changes, unless a test changes it.
type stillEngine struct {
	version uint64
	busy    bool
}

func (se *stillEngine) State(context.Context) (EngineState, error) {
	return EngineState{ServerID: "e1", StartUnixMilli: 1, Model: "m1", Version: se.version, LoadState: weight.NewLoadState(se.version, se.busy, 0)}, nil
}

func (*stillEngine) Identify(context.Context) (string, error) { return "e1", nil }

func (*stillEngine) Load(context.Context, LoadOrder) (Verdict, error) { return Refused, nil }

// namedTables is a dialect of which only the tables' names are used.
type namedTables struct{ gate.Dialect }

func (namedTables) Tables() gate.Tables { return gate.Tables{Config: "op", Nodes: "nodes"} }

// hearingGate keeps the words and pulls of tenders.
type hearingGate struct {
	wire.DRPCNodeUnimplementedServer
	words chan *wire.EngineNews
	pulls chan *wire.PullRequest
}

func newHearingGate() *hearingGate {
	return &hearingGate{words: make(chan *wire.EngineNews, 100), pulls: make(chan *wire.PullRequest)}
}

func (hg *hearingGate) Tell(_ context.Context, ns *wire.EngineNews) (*wire.Received, error) {
	hg.words <- ns
	return &wire.Received{}, nil
}

func (hg *hearingGate) Pull(_ context.Context, rq *wire.PullRequest) (*wire.PullReply, error) {
	hg.pulls <- rq
	return &wire.PullReply{}, nil
}

func (hg *hearingGate) serve(ctx context.Context, t *testing.T, lis net.Listener) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNode(mux, hg); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()}).Serve(ctx, lis)
	}()
}

func newTestTender(t *testing.T, seeds ...string) *Tender {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	rec, err := trace.New("tender", logrus.NewEntry(lg))
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{Name: "tender", Zone: "a", Service: "chat", Address: "10.0.0.1:80", SeedPeers: seeds, Dialect: namedTables{},
		Source: feed.Source(nil), Links: link.NewPool(), Engine: &stillEngine{version: 1}, Recorder: rec})
}

// A gate that could not be reached is told soon after it has come up, though nothing has changed at the engine.
func TestUnreachedGateIsToldAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	eye := newWatcher(newTestTender(t, address))
	eye.step(ctx)
	hg := newHearingGate()
	if lis, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	hg.serve(ctx, t, lis)
	// The steps take less time than that after which all gates are told again.
	for range 10 {
		timer.Pause(ctx, idlePeriod)
		eye.step(ctx)
		if len(hg.words) > 0 {
			return
		}
	}
	t.Error("the gate was not told of the engine")
}

// A load of weights is counted with the time for which the engine took no calls.
func TestLoadsAreCounted(t *testing.T) {
	ctx := context.Background()
	td := newTestTender(t)
	engine := &stillEngine{version: 1, busy: true}
	td.opts.Engine = engine
	eye := newWatcher(td)
	eye.step(ctx)
	engine.version, engine.busy = 2, false
	eye.step(ctx)
	eye.step(ctx)
	wr := httptest.NewRecorder()
	td.opts.Recorder.Handler().ServeHTTP(wr, httptest.NewRequest("GET", "/metrics", nil))
	if text := wr.Body.String(); !strings.Contains(text, "weight_load_seconds_count") || !strings.Contains(text, "} 1\n") {
		t.Errorf("no load is counted:\n%s", text)
	}
}

// A tender whose first gate is gone stays with the next one and waits there for changes.
func TestTenderStaysWithAGateThatAnswers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := gone.Close(); err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hg := newHearingGate()
	hg.serve(ctx, t, lis)
	td := newTestTender(t, gone.Addr().String(), lis.Addr().String())
	done := make(chan struct{})
	go func() { defer close(done); td.pull(ctx) }()
	defer func() { cancel(); <-done }()
	if rq := <-hg.pulls; rq.GetWaitMs() != 0 {
		t.Errorf("the first pull from a gate waits for %d ms", rq.GetWaitMs())
	}
	for range 3 {
		if rq := <-hg.pulls; rq.GetWaitMs() == 0 {
			t.Fatal("a later pull from the same gate does not wait for changes")
		}
	}
}

// The time without calls begins when the engine's tender tells the gates, before the load.
func TestDrainCountsAsTimeWithoutCalls(t *testing.T) {
	ctx := context.Background()
	td := newTestTender(t)
	engine := &stillEngine{version: 1}
	td.opts.Engine = engine
	td.keeper.SetTarget(2)
	eye := newWatcher(td)
	eye.step(ctx)
	eye.leave(ctx, weight.Drain)
	eye.step(ctx)
	engine.version = 2
	eye.step(ctx)
	wr := httptest.NewRecorder()
	td.opts.Recorder.Handler().ServeHTTP(wr, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range strings.Split(wr.Body.String(), "\n") {
		if strings.HasPrefix(line, "weight_load_seconds_sum") {
			if sum, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64); err != nil || sum > time.Hour.Seconds() {
				t.Errorf("%s: %v", line, err)
			}
			return
		}
	}
	t.Errorf("no load is counted:\n%s", wr.Body)
}
