package gate

import (
	"context"
	"sync"
	"time"

	"shallotcleat/core/pick"
	"shallotcleat/core/weight"
	"shallotcleat/io/wire"
)

// nodeHandler serves what gates offer to other processes.
type nodeHandler struct{ gate *Gate }

// Pull hands later copies of the tables on.
func (nh *nodeHandler) Pull(ctx context.Context, rq *wire.PullRequest) (*wire.PullReply, error) {
	return nh.gate.shelf.Serve(ctx, rq), nil
}

// Tell takes what a tender knows of its engine, and says whether the engine may load newer weights if that is asked.
func (nh *nodeHandler) Tell(_ context.Context, ns *wire.EngineNews) (*wire.Received, error) {
	gt := nh.gate
	now := time.Now()
	ask := weight.NewLoadRequest(ns.GetServerId(), ns.GetService(), ns.GetZone(), ns.GetVersion(), int(ns.GetRunning()))
	if ns.GetAsk() {
		ask = ask.WithStaleness(gt.picker.Behind(now, ns.GetModel(), ns.GetVersion()))
		grant := gt.desk.grant(now, ask, gt.picker.Serving(now, ns.GetService()))
		return &wire.Received{Grant: int32(grant)}, nil
	}
	if ns.GetDark() {
		gt.picker.Dark(now, ns.GetServerId())
		gt.log.WithField("server", ns.GetServerId()).Info("dependency lost: the engine does not answer its tender")
		return &wire.Received{}, nil
	}
	gt.directory.found(now, ns)
	gt.desk.note(now, ask, ns.GetLoading())
	gt.picker.Weights(now, ns.GetServerId(), ns.GetModel(), ns.GetVersion(), ns.GetLoading())
	gt.picker.ShortOnly(now, ns.GetServerId(), ns.GetShort())
	gt.picker.Reported(ns.GetServerId(), pick.NewWork(int(ns.GetRunning()), int(ns.GetWaiting()), int(ns.GetFree()), int(ns.GetMemory()), now))
	return &wire.Received{}, nil
}

// desk is a weight.Scheduler that may be called from any goroutine.
type desk struct {
	// mu guards desk.
	mu   sync.Mutex
	desk *weight.Scheduler
}

func (dk *desk) grant(now time.Time, ask weight.LoadRequest, engines int) weight.Grant {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	return dk.desk.Grant(now, ask, engines)
}

func (dk *desk) note(now time.Time, ask weight.LoadRequest, loading bool) {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	if loading {
		dk.desk.MarkOutOfService(now, ask)
	} else {
		dk.desk.MarkInService(ask.Engine())
	}
}
