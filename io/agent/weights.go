package agent

import (
	"context"
	"errors"
	"strconv"
	"time"

	"shallotcleat/core/config"
	"shallotcleat/core/weight"
	"shallotcleat/io/rows"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// askSlotTimeout is the timeout of a request to the holder of a load slot.
const askSlotTimeout = time.Second

// updateLoader passes the engine's state and the declared target version to the loader. There is no target version while
// the agent leaves.
func (ag *Agent) updateLoader(ctx context.Context, st server.State) {
	target, maxLoads := "", 0
	if sn := ag.board.Snapshot(); sn != nil && !ag.isLeaving() {
		sv, ok := sn.Service(ag.service)
		if ok && sv.Kind() == config.KindModel {
			target, maxLoads = sv.WeightVersion(), sn.Preset().LoadsAtOnce()
		}
	}
	ag.stepLoader(ctx, weight.NewEngineObserved(st.Incarnation, st.WeightVersion, st.Loading, target), maxLoads)
}

// stepLoader passes an event to the loader and performs its effects, until no effect returns another event.
func (ag *Agent) stepLoader(ctx context.Context, ev weight.Event, maxLoads int) {
	for ev != nil {
		ag.loaderMu.Lock()
		effects := ag.loader.Step(ev)
		ag.loaderMu.Unlock()
		ev = nil
		for _, ef := range effects {
			ev = ag.performEffect(ctx, ef, maxLoads)
		}
	}
}

// performEffect performs an effect and returns the event that immediately results from it, or nil.
func (ag *Agent) performEffect(ctx context.Context, ef weight.Effect, maxLoads int) weight.Event {
	switch ef := ef.(type) {
	case weight.ReadSlots:
		return rows.ReadSlots(ctx, ag.store, maxLoads)
	case weight.TakeSlot:
		return rows.TakeSlot(ctx, ag.store, ef)
	case weight.FreeSlot:
		if err := rows.FreeSlot(ctx, ag.store, ef.Slot()); err != nil {
			ag.rec.Log().WithError(err).Warn("cannot free load slot; it stays taken until another agent checks its holder")
		}
	case weight.AskHolder:
		return ag.askHolder(ctx, ef.Holder())
	case weight.SendOrder:
		ag.rec.RecordEvent("", trace.WeightsLoadOrdered, "weights", ef.Weights(), "fence", strconv.FormatUint(ef.Fence(), 10))
		go func() { ag.stepLoader(ctx, ag.sendLoadOrder(ctx, ef), maxLoads) }()
	}
	return nil
}

// sendLoadOrder sends a load order without a timeout, since an abandoned order could still take effect. It returns
// OrderRefused only if the engine responded with an error status.
func (ag *Agent) sendLoadOrder(ctx context.Context, ef weight.SendOrder) weight.Event {
	err := ag.engine.Load(ctx, ef.Weights(), ef.Fence())
	var refused *server.StatusError
	if errors.As(err, &refused) {
		return weight.OrderRefused{}
	}
	return weight.OrderSent{}
}

// askHolder asks the holder of a load slot whether it uses the slot. A holder that does not reply keeps the slot unless
// its VM no longer exists.
func (ag *Agent) askHolder(ctx context.Context, holder weight.Holder) weight.Event {
	if holder.Agent() == ag.address {
		return ag.usesSlot(holder)
	}
	ctx, cancel := context.WithTimeout(ctx, askSlotTimeout)
	defer cancel()
	reply, err := ag.pool.Agent(holder.Agent()).AskSlot(ctx, &wire.SlotRequest{
		Context:     &wire.Context{Stamp: uint64(ag.rec.Stamp())},
		Incarnation: holder.Incarnation(),
		Fence:       holder.Fence(),
	})
	if err != nil && !ag.vms.IsGone(time.Now(), holder.Agent(), ag.board.Snapshot()) || err == nil && reply.GetInUse() {
		return weight.SlotInUse{}
	}
	return weight.SlotUnused{}
}

// usesSlot returns SlotInUse if this agent's loader uses the load slot of a holder, else SlotUnused.
func (ag *Agent) usesSlot(holder weight.Holder) weight.Event {
	ag.loaderMu.Lock()
	defer ag.loaderMu.Unlock()
	if ag.loader.UsesSlot(holder) {
		return weight.SlotInUse{}
	}
	return weight.SlotUnused{}
}

// AskSlot reports whether the agent's engine may load weights under a load slot.
func (hd *handler) AskSlot(_ context.Context, rq *wire.SlotRequest) (*wire.SlotReply, error) {
	holder := weight.NewHolder(hd.agent.address, rq.GetIncarnation(), rq.GetFence())
	_, inUse := hd.agent.usesSlot(holder).(weight.SlotInUse)
	return &wire.SlotReply{InUse: inUse}, nil
}
