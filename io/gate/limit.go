package gate

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/quota"
	"shallotcleat/io/wire"
)

const (
	// shareTimeout bounds a call for slots.
	shareTimeout = 300 * time.Millisecond
	// dispenserBackoff is how long a gate that did not reply to a call for slots is not asked again.
	dispenserBackoff = 5 * time.Second
	// promotionDelay is how long a gate that gives out slots must have been silent before the next one takes its place: it may just be cut off,
	// and still give out slots to others. A gate whose VM refuses connections does not.
	promotionDelay = 30 * time.Second
	// minElsewhere is the least time since slots came from another gate that is reported, since zero means never.
	minElsewhere = time.Millisecond
	// sourceTTL is how long it is known which gates slots came from.
	sourceTTL = time.Minute
)

// limitSharing divides the limits of servers among the gates. The first gate by rendezvous hashing gives out the slots of a server; if it does
// not reply, the next one does.
type limitSharing struct {
	gate      *Gate
	dispenser *quota.Dispenser

	// mu guards the fields below.
	mu   sync.Mutex
	away map[string]awayGate
	// sources holds when slots of a server last came from a gate.
	sources map[slotSource]time.Time
}

// awayGate is a gate that does not reply to calls for slots.
type awayGate struct {
	since, retryAt time.Time
	// refuses is set if its VM refuses connections.
	refuses bool
}

// slotSource is a gate that has given out slots of a server.
type slotSource struct{ server, gate string }

func newLimitSharing(gt *Gate) *limitSharing {
	return &limitSharing{gate: gt, dispenser: quota.NewDispenser(), away: make(map[string]awayGate),
		sources: make(map[slotSource]time.Time)}
}

// run asks for the slots that the gate wants until ctx is done.
func (ls *limitSharing) run(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	stock := ls.gate.picker.Limits()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stock.Wanted():
		}
		for _, ak := range stock.TakeAsks(time.Now()) {
			calls.Go(func() { ls.ask(ctx, ak) })
		}
	}
}

// ask asks the first gate that replies for slots.
func (ls *limitSharing) ask(ctx context.Context, ak quota.Ask) {
	stock := ls.gate.picker.Limits()
	for _, address := range ls.dispensers(time.Now(), ak.Server()) {
		ak := ls.withElsewhere(time.Now(), ak, address)
		gr, err := ls.askGate(ctx, address, ak)
		if ctx.Err() != nil {
			return
		}
		ls.recordReply(address, err)
		if err == nil {
			ls.recordSource(time.Now(), ak.Server(), address, gr)
			stock.Apply(time.Now(), ak, gr)
			return
		}
	}
	stock.Fail(time.Now(), ak)
}

// recordReply records whether a gate replied to a call for slots.
func (ls *limitSharing) recordReply(address string, err error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if err == nil {
		delete(ls.away, address)
		return
	}
	now := time.Now()
	ag, known := ls.away[address]
	if !known {
		ag.since = now
		ls.gate.log.WithError(err).WithField("peer", address).Info("dependency lost: a gate does not give out slots; asking the next gate")
	}
	ag.retryAt, ag.refuses = now.Add(dispenserBackoff), errors.Is(err, syscall.ECONNREFUSED)
	ls.away[address] = ag
}

// withElsewhere adds to an ask when slots last came from another gate than the given one.
func (ls *limitSharing) withElsewhere(now time.Time, ak quota.Ask, address string) quota.Ask {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for src, at := range ls.sources {
		ago := max(now.Sub(at), minElsewhere)
		if src.server == ak.Server() && src.gate != address && (ak.Elsewhere() == 0 || ago < ak.Elsewhere()) {
			ak = ak.WithElsewhere(ago)
		}
	}
	return ak
}

// recordSource records that a gate has given out slots.
func (ls *limitSharing) recordSource(now time.Time, server, address string, gr quota.Grant) {
	if gr.Count() == 0 {
		return
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	maps.DeleteFunc(ls.sources, func(_ slotSource, at time.Time) bool { return now.Sub(at) > sourceTTL })
	ls.sources[slotSource{server: server, gate: address}] = now
}

// dispensers returns the gates to ask for a server's slots, in order, up to this gate itself.
func (ls *limitSharing) dispensers(now time.Time, server string) []string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	own := ls.gate.opts.PeerAddress
	var addresses []string
	for _, address := range ls.ranked(server) {
		if address == own {
			break
		}
		if !now.Before(ls.away[address].retryAt) {
			addresses = append(addresses, address)
		}
	}
	return append(addresses, own)
}

// ranked returns the gates in the order in which they give out a server's slots.
func (ls *limitSharing) ranked(server string) []string {
	return ls.gate.gateList.Ranked("limit/" + server)
}

func (ls *limitSharing) askGate(parent context.Context, address string, ak quota.Ask) (quota.Grant, error) {
	own := ls.gate.opts.PeerAddress
	if address == own {
		return ls.dispense(ak, own), nil
	}
	ctx, cancel := context.WithTimeout(parent, shareTimeout)
	defer cancel()
	reply, err := ls.gate.opts.Links.Node(address).Share(ctx, &wire.LimitAsk{
		ServerId: ak.Server(), StartUnixMilli: ak.StartUnixMilli(), PerSecond: ak.PerSecond(),
		AgeMs: ak.Age().Milliseconds(), Count: uint32(ak.Count()), Sender: own, ElsewhereMs: ak.Elsewhere().Milliseconds(),
	})
	if err != nil {
		return quota.Grant{}, fmt.Errorf("ask gate %s for slots: %w", address, err)
	}
	return quota.NewGrant(int(reply.GetCount()), time.Duration(reply.GetDelayUs())*time.Microsecond,
		time.Duration(reply.GetIntervalUs())*time.Microsecond, time.Duration(reply.GetRetryUs())*time.Microsecond, reply.GetEnded()), nil
}

// dispense replies to an ask of a gate.
func (ls *limitSharing) dispense(ak quota.Ask, sender string) quota.Grant {
	now := time.Now()
	return ls.dispenser.Dispense(now, ak, sender, ls.share(now, ak.Server()))
}

// share returns the part of a server's limit that this gate gives out. A gate that is not listed is not the first one: it may know no other.
func (ls *limitSharing) share(now time.Time, server string) float64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ranked := ls.ranked(server)
	own := slices.Index(ranked, ls.gate.opts.PeerAddress)
	if own < 0 {
		return quota.Share(max(len(ranked), 1), len(ranked))
	}
	rank := 0
	for _, address := range ranked[:own] {
		if ag, away := ls.away[address]; !away || !ag.refuses && now.Sub(ag.since) < promotionDelay {
			rank++
		}
	}
	return quota.Share(rank, len(ranked))
}

// Share handles the Share RPC of gates.
func (nh *nodeHandler) Share(_ context.Context, la *wire.LimitAsk) (*wire.LimitGrant, error) {
	ak := quota.NewAsk(la.GetServerId(), la.GetStartUnixMilli(), la.GetPerSecond(), time.Duration(la.GetAgeMs())*time.Millisecond, int(la.GetCount())).
		WithElsewhere(time.Duration(la.GetElsewhereMs()) * time.Millisecond)
	gr := nh.gate.limits.dispense(ak, la.GetSender())
	return &wire.LimitGrant{
		Count: uint32(gr.Count()), DelayUs: gr.Delay().Microseconds(), IntervalUs: gr.Interval().Microseconds(),
		RetryUs: gr.Retry().Microseconds(), Ended: gr.Ended(),
	}, nil
}
