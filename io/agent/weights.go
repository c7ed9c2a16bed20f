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

// slotTimeout bounds a question to the holder of a slot.
const slotTimeout = time.Second

// steerWeights compares what the engine serves with what is declared and drives the loader.
func (ag *Agent) steerWeights(ctx context.Context, st server.State) {
	wanted, limit := "", 0
	if sn := ag.board.Snapshot(); sn != nil && !ag.isLeaving() {
		sv, ok := sn.Service(ag.service)
		if ok && sv.Kind() == config.KindModel {
			wanted, limit = sv.Weights(), sn.Preset().LoadsAtOnce()
		}
	}
	ag.feedLoader(ctx, weight.NewEngineObserved(st.Incarnation, st.Weights, st.Loading, wanted), limit)
}

// feedLoader gives the loader an event and carries its effects out until none asks for another event at once.
func (ag *Agent) feedLoader(ctx context.Context, ev weight.Event, limit int) {
	for ev != nil {
		ag.loaderMu.Lock()
		effects := ag.loader.Step(ev)
		ag.loaderMu.Unlock()
		ev = nil
		for _, ef := range effects {
			ev = ag.performLoad(ctx, ef, limit)
		}
	}
}

func (ag *Agent) performLoad(ctx context.Context, ef weight.Effect, limit int) weight.Event {
	switch ef := ef.(type) {
	case weight.ReadSlots:
		return rows.ReadSlots(ctx, ag.store, limit)
	case weight.TakeSlot:
		return rows.TakeSlot(ctx, ag.store, ef)
	case weight.FreeSlot:
		if err := rows.FreeSlot(ctx, ag.store, ef.Slot()); err != nil {
			ag.rec.Log().WithError(err).Warn("the slot stays taken until somebody asks for it")
		}
	case weight.AskHolder:
		return ag.askHolder(ctx, ef.Holder())
	case weight.SendOrder:
		ag.rec.Note("", trace.LoadOrdered, "weights", ef.Weights(), "fence", strconv.FormatUint(ef.Fence(), 10))
		go func() { ag.feedLoader(ctx, ag.sendLoad(ctx, ef), limit) }()
	}
	return nil
}

// sendLoad has no time limit: an order that was given up could still arrive.
func (ag *Agent) sendLoad(ctx context.Context, ef weight.SendOrder) weight.Event {
	err := ag.model.Load(ctx, ef.Weights(), ef.Fence())
	var refused *server.StatusError
	if errors.As(err, &refused) {
		return weight.OrderRefused{}
	}
	return weight.OrderSent{}
}

// askHolder asks the holder of a slot. One that does not answer keeps it, unless its VM is gone.
func (ag *Agent) askHolder(ctx context.Context, holder weight.Holder) weight.Event {
	if holder.Agent() == ag.address {
		return ag.usesSlot(holder)
	}
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	reply, err := ag.pool.Agent(holder.Agent()).AskSlot(ctx, &wire.SlotRequest{
		Context:     &wire.Context{Stamp: uint64(ag.rec.Stamp())},
		Incarnation: holder.Incarnation(),
		Fence:       holder.Fence(),
	})
	if err != nil && ag.vms.Shows(holder.Agent(), ag.board.Snapshot()) || err == nil && reply.GetInUse() {
		return weight.SlotInUse{}
	}
	return weight.SlotUnused{}
}

func (ag *Agent) usesSlot(holder weight.Holder) weight.Event {
	ag.loaderMu.Lock()
	defer ag.loaderMu.Unlock()
	if ag.loader.UsesSlot(holder) {
		return weight.SlotInUse{}
	}
	return weight.SlotUnused{}
}

// AskSlot tells whether the agent's engine may load weights under a slot.
func (hd *handler) AskSlot(_ context.Context, rq *wire.SlotRequest) (*wire.SlotReply, error) {
	holder := weight.NewHolder(hd.agent.address, rq.GetIncarnation(), rq.GetFence())
	_, inUse := hd.agent.usesSlot(holder).(weight.SlotInUse)
	return &wire.SlotReply{InUse: inUse}, nil
}
