package tend

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/weight"
	"shallotcleat/io/feed"
	"shallotcleat/io/gate"
	"shallotcleat/io/link"
	"shallotcleat/io/timer"
	"shallotcleat/io/wire"
)

// stillEngine is an engine in whose state nothing changes.
type stillEngine struct{}

func (stillEngine) See(context.Context) (Seen, error) {
	return Seen{ServerID: "e1", Born: 1, Model: "m1", Version: 1, Look: weight.NewLook(1, false, 0)}, nil
}

func (stillEngine) Identify(context.Context) (string, error) { return "e1", nil }

func (stillEngine) Load(context.Context, Order) (Verdict, error) { return Refused, nil }

// namedTables is a dialect of which only the tables' names are used.
type namedTables struct{ gate.Dialect }

func (namedTables) Tables() gate.Tables { return gate.Tables{Operators: "op", Nodes: "nodes"} }

// hearingGate counts the words of tenders.
type hearingGate struct {
	wire.DRPCNodeUnimplementedServer
	words chan *wire.EngineNews
}

func (hg *hearingGate) Tell(_ context.Context, ns *wire.EngineNews) (*wire.Received, error) {
	hg.words <- ns
	return &wire.Received{}, nil
}

func (hg *hearingGate) Pull(context.Context, *wire.PullRequest) (*wire.PullReply, error) {
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

func newTestTender(seeds ...string) *Tender {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	return New(Options{Name: "tender", Zone: "a", Service: "chat", Address: "10.0.0.1:80", Seeds: seeds, Dialect: namedTables{},
		Source: feed.Source(nil), Links: link.NewPool(), Engine: stillEngine{}, Log: logrus.NewEntry(lg)})
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
	eye := newWatcher(newTestTender(address))
	eye.step(ctx)
	hg := &hearingGate{words: make(chan *wire.EngineNews, 100)}
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
