package gate

import (
	"context"
	"time"

	"shallotcleat/core/pick"
	"shallotcleat/io/wire"
)

// nodeHandler serves what gates offer to other processes.
type nodeHandler struct{ gate *Gate }

// Pull hands later copies of the tables on.
func (nh *nodeHandler) Pull(ctx context.Context, rq *wire.PullRequest) (*wire.PullReply, error) {
	return nh.gate.shelf.Serve(ctx, rq), nil
}

// Tell takes what a tender knows of its engine.
func (nh *nodeHandler) Tell(_ context.Context, ns *wire.EngineNews) (*wire.Received, error) {
	now := time.Now()
	nh.gate.picker.Weights(now, ns.GetServerId(), ns.GetModel(), ns.GetVersion(), ns.GetLoading())
	nh.gate.picker.Reported(ns.GetServerId(), pick.Work{Running: int(ns.GetRunning()), Queued: int(ns.GetQueued()), At: now})
	return &wire.Received{}, nil
}
