package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"shallotcleat/io/agent"
	"shallotcleat/io/entry"
	"shallotcleat/io/link"
	"shallotcleat/io/logs"
	"shallotcleat/io/object"
	"shallotcleat/io/server"
	"shallotcleat/io/table"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
)

// Settings of all nodes.
const (
	stopTimeout  = 10 * time.Second
	maxBodyBytes = 4 << 20
)

// Node is an entry or an agent that runs in this process.
type Node struct {
	address  string
	recorder *trace.Recorder
	cancel   context.CancelFunc
	done     <-chan struct{}
	pool     *link.Pool
	agent    *agent.Agent
}

// EngineIncarnation returns the last incarnation of its engine that the agent observed. It must not be called on an
// entry.
func (nd *Node) EngineIncarnation() uint64 { return nd.agent.EngineIncarnation() }

// Address returns the address of an entry for callers, or the advertised address of an agent.
func (nd *Node) Address() string { return nd.address }

// Recorder returns the node's recorder.
func (nd *Node) Recorder() *trace.Recorder { return nd.recorder }

// Stop stops the node gracefully and waits until it has stopped.
func (nd *Node) Stop() {
	nd.cancel()
	<-nd.done
	_ = nd.pool.Close()
}

// WeightVersion returns the version of the weights that the agent last observed in its engine. It must not be called on
// an entry.
func (nd *Node) WeightVersion() string { return nd.agent.WeightVersion() }

// NodeOptions configures a node. Fields that do not apply to an entry or an agent are ignored.
type NodeOptions struct {
	Name        string
	Zone        string
	Service     string
	Slots       int
	Incarnation uint64
	PieceTokens int
	// Fencing is set if the agent's engine refuses outdated fencing numbers.
	Fencing bool
	// EngineURL or PlainServiceURL is the base URL of the agent's backend server; exactly one of them is set.
	EngineURL       string
	PlainServiceURL string
	// AdvertiseAddress maps the listen address of an agent to the address that others use. If it is nil, the listen
	// address is advertised.
	AdvertiseAddress func(address string) (string, error)
	// Log receives the log lines; nil discards them.
	Log io.Writer
}

// advertisedAddress returns the address to advertise for a listen address.
func (no NodeOptions) advertisedAddress(address string) (string, error) {
	if no.AdvertiseAddress == nil {
		return address, nil
	}
	return no.AdvertiseAddress(address)
}

func (pf *Platform) newRecorder(opts NodeOptions) (*trace.Recorder, error) {
	out := opts.Log
	if out == nil {
		out = io.Discard
	}
	lg, err := logs.New(out, "info", opts.Name)
	if err != nil {
		return nil, err
	}
	return trace.New(opts.Name, lg)
}

// StartAgent starts an agent of a backend server and adds its VM to the list.
func (pf *Platform) StartAgent(opts NodeOptions) (*Node, error) {
	rec, err := pf.newRecorder(opts)
	if err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	address, err := opts.advertisedAddress(lis.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("advertise agent address: %w", err)
	}
	pool := link.NewPool()
	agentOpts := agent.Options{
		Address:     address,
		Service:     opts.Service,
		Slots:       opts.Slots,
		Store:       table.NewBreakerStore(table.NewHTTP(pf.TableURL())),
		Objects:     object.NewHTTP(pf.ObjectsURL()),
		VMList:      vmlist.NewHTTP(pf.VMListURL()),
		Recorder:    rec,
		Pool:        pool,
		Incarnation: opts.Incarnation,
		Fencing:     opts.Fencing,
		StopTimeout: stopTimeout,
	}
	if opts.EngineURL != "" {
		agentOpts.Engine = server.NewHTTPEngine(opts.EngineURL)
	} else {
		agentOpts.PlainService = server.NewHTTPPlainService(opts.PlainServiceURL)
	}
	ag := agent.New(agentOpts)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = ag.Serve(ctx, lis) }()
	pf.AddVM(vmlist.VM{Address: address, Zone: opts.Zone, Role: vmlist.RoleAgent, Service: opts.Service})
	return &Node{address: address, recorder: rec, cancel: cancel, done: ag.Done(), pool: pool, agent: ag}, nil
}

// StartEntry starts an entry and adds its VM to the list.
func (pf *Platform) StartEntry(opts NodeOptions) (*Node, error) {
	rec, err := pf.newRecorder(opts)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	pool := link.NewPool()
	en := entry.New(entry.Options{
		PeerAddress:  peers.Addr().String(),
		Zone:         opts.Zone,
		PieceTokens:  opts.PieceTokens,
		MaxBodyBytes: maxBodyBytes,
		Store:        table.NewBreakerStore(table.NewHTTP(pf.TableURL())),
		Objects:      object.NewHTTP(pf.ObjectsURL()),
		VMList:       vmlist.NewHTTP(pf.VMListURL()),
		Recorder:     rec,
		Pool:         pool,
		RandomSeed:   opts.Incarnation,
		StopTimeout:  stopTimeout,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = en.Serve(ctx, callers, peers) }()
	pf.AddVM(vmlist.VM{Address: peers.Addr().String(), Zone: opts.Zone, Role: vmlist.RoleEntry})
	return &Node{address: callers.Addr().String(), recorder: rec, cancel: cancel, done: en.Done(), pool: pool}, nil
}
