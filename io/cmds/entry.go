package cmds

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"shallotcleat/io/entry"
	"shallotcleat/io/link"
)

const entryHelp = `Terminates callers' HTTP, authenticates the workspace and places each request. SIGTERM stops it gracefully.

Example:
  shallotcleat entry --zone ruai --listen 10.0.0.7:8080 --peer 10.0.0.7:7801 --table http://10.0.0.5:9001`

// entryCommand holds the settings of an entry.
type entryCommand struct {
	entryAgentFlags
	Listen      string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP and port for callers" default:"127.0.0.1:8080"`
	Peer        string `long:"peer" env:"SHALLOTCLEAT_PEER" description:"IP and port for agents and other entries, as they reach it" default:"127.0.0.1:7801"`
	PieceTokens string `long:"piece-tokens" env:"SHALLOTCLEAT_PIECE_TOKENS" description:"tokens in a piece of cached prompt" default:"2000"`
	MaxBody     string `long:"max-body" env:"SHALLOTCLEAT_MAX_BODY" description:"greatest body of a request in bytes" default:"4194304"`
	BalancerLag string `long:"balancer-lag" env:"SHALLOTCLEAT_BALANCER_LAG" description:"how long callers may still arrive after readiness has failed" default:"3s"`
}

func (cm *entryCommand) run(ctx context.Context, _ io.Writer) error {
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
	return serveWithAdmin(ctx, cm.Admin, en.Board(), deps.recorder, func(ctx context.Context) error {
		return en.Serve(ctx, callers, peers)
	})
}

// randomNumber returns a number that no other start of a process has.
func randomNonZero() uint64 {
	var buf [8]byte
	_, _ = rand.Read(buf[:]) // crypto/rand never fails; it ends the process instead.
	return binary.LittleEndian.Uint64(buf[:]) | 1
}
