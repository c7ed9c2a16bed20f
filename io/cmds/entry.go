package cmds

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"shallotcleat/io/entry"
	"shallotcleat/io/link"
	"shallotcleat/io/signal"
)

const entryHelp = `Serves callers over HTTP, authenticates their workspaces and selects a backend
server for each request. SIGTERM starts a graceful stop.

Example:
  shallotcleat entry --zone ruai --listen 10.0.0.7:8080 --peer 10.0.0.7:7801 --table http://10.0.0.5:9001`

// entryCommand serves callers as an entry.
type entryCommand struct {
	entryAgentFlags
	Listen      string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP address and port for callers" default:"127.0.0.1:8080"`
	Peer        string `long:"peer" env:"SHALLOTCLEAT_PEER" description:"IP address and port at which agents and other entries reach this entry" default:"127.0.0.1:7801"`
	PieceTokens string `long:"piece-tokens" env:"SHALLOTCLEAT_PIECE_TOKENS" description:"number of tokens in a piece, the unit of prompt caching" default:"2000"`
	MaxBody     string `long:"max-body" env:"SHALLOTCLEAT_MAX_BODY" description:"maximum size of a request body in bytes" default:"4194304"`
	BalancerLag string `long:"balancer-lag" env:"SHALLOTCLEAT_BALANCER_LAG" description:"how long the load balancer may still send requests after the readiness check fails" default:"3s"`
}

func (cm *entryCommand) serve(ctx context.Context, ct *signal.Control) error {
	var vd validator
	opts := entry.Options{
		PeerAddress:  vd.address("peer", cm.Peer),
		Zone:         cm.Zone,
		PieceTokens:  vd.integer("piece-tokens", cm.PieceTokens, 1, 1_000_000),
		MaxBodyBytes: int64(vd.integer("max-body", cm.MaxBody, 1, 64<<20)),
		BalancerLag:  vd.duration("balancer-lag", cm.BalancerLag, 0, time.Minute),
		StopTimeout:  vd.duration("stop-timeout", cm.StopTimeout, 0, time.Hour),
		Pool:         link.NewPool(),
		RandomSeed:   randomNonZero(),
	}
	vd.address("listen", cm.Listen)
	deps, err := cm.dependencies(&vd, "entry/"+cm.Peer)
	if err != nil {
		return err
	}
	opts.MemoryBytes = deps.memoryBytes
	opts.Store, opts.Objects, opts.VMList, opts.SeedVMs, opts.Recorder = deps.store, deps.objects, deps.vmList, deps.seedVMs, deps.recorder
	callers, err := net.Listen("tcp", cm.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", cm.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	en := entry.New(opts)
	return deps.serve(ctx, ct, cm.Admin, en.Board(), func(ctx context.Context) error {
		return en.Serve(ctx, callers, peers)
	})
}

// randomNonZero returns a random number other than zero, which identifies a process start or seeds its random numbers.
func randomNonZero() uint64 {
	var buf [8]byte
	_, _ = rand.Read(buf[:]) // crypto/rand never returns an error; it crashes the process instead.
	return binary.LittleEndian.Uint64(buf[:]) | 1
}
