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
	// tokenTimeout bounds a call for tokens, for which requests may wait, and tokenProbeTimeout one of a gate that did not reply lately.
	tokenTimeout      = 150 * time.Millisecond
	tokenProbeTimeout = 50 * time.Millisecond
	// tokenFailures is the number of calls for tokens in a row that a gate must not reply to until the next gate is asked: that one gives out little.
	tokenFailures = 3
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
	// failures holds how many calls for tokens in a row each gate did not reply to.
	failures map[string]int
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
	dp := quota.NewDispenser()
	dp.SetBounds(time.Now(), gt.opts.Quota)
	return &limitSharing{gate: gt, dispenser: dp, away: make(map[string]awayGate),
		sources: make(map[slotSource]time.Time), failures: make(map[string]int)}
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
		case <-waitUntil(stock.NextTokenAsk()):
		}
		for _, ak := range stock.TakeTokenAsks(time.Now()) {
			calls.Go(func() { ls.askTokens(ctx, ak) })
		}
		for _, ak := range stock.TakeAsks(time.Now()) {
			calls.Go(func() { ls.ask(ctx, ak) })
		}
	}
}

// waitUntil returns a channel that receives a value at a time, or never if it is zero.
func waitUntil(at time.Time) <-chan time.Time {
	if at.IsZero() {
		return nil
	}
	return time.After(max(time.Until(at), time.Millisecond))
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
			if gr.Count() > 0 {
				ls.recordSource(time.Now(), ak.Server(), address)
			}
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
	if ago := ls.elsewhere(now, ak.Server(), address); ago > 0 {
		ak = ak.WithElsewhere(ago)
	}
	return ak
}

// elsewhere returns how long ago slots or tokens last came from another gate than the given one, or zero if they did not.
func (ls *limitSharing) elsewhere(now time.Time, name, address string) time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var least time.Duration
	for src, at := range ls.sources {
		ago := max(now.Sub(at), minElsewhere)
		if src.server == name && src.gate != address && (least == 0 || ago < least) {
			least = ago
		}
	}
	return least
}

// recordSource records that a gate has given out slots or tokens.
func (ls *limitSharing) recordSource(now time.Time, server, address string) {
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

// share returns the part of a server's limit that this gate gives out.
func (ls *limitSharing) share(now time.Time, server string) float64 {
	return quota.Share(ls.rank(now, server))
}

// rank returns how many gates before this one may be giving out slots or tokens, and the number of all. A gate that is not listed is not the first
// one: it may know no other.
func (ls *limitSharing) rank(now time.Time, server string) (rank, gates int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ranked := ls.ranked(server)
	own := slices.Index(ranked, ls.gate.opts.PeerAddress)
	if own < 0 {
		return max(len(ranked), 1), len(ranked)
	}
	for _, address := range ranked[:own] {
		if ag, away := ls.away[address]; !away || !ag.refuses && now.Sub(ag.since) < promotionDelay {
			rank++
		}
	}
	return rank, len(ranked)
}

// askTokens asks the first gate that replies for tokens.
func (ls *limitSharing) askTokens(ctx context.Context, ak quota.TokenAsk) {
	stock, name := ls.gate.picker.Limits(), ak.Limit.Name()
	for _, address := range ls.dispensers(time.Now(), name) {
		askedAt := time.Now()
		ak.Elsewhere = ls.elsewhere(askedAt, name, address)
		gr, err := ls.askGateTokens(ctx, address, ak)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			ls.recordTokenReply(address, nil)
			if gr.Amount > 0 {
				ls.recordSource(time.Now(), name, address)
			}
			stock.ApplyTokens(time.Now(), askedAt, ak, gr)
			return
		}
		if !ls.recordTokenReply(address, err) {
			break
		}
	}
	stock.FailTokens(time.Now(), ak)
}

// recordTokenReply records whether a gate replied to a call for tokens, and reports whether it counts as away.
func (ls *limitSharing) recordTokenReply(address string, err error) (away bool) {
	ls.mu.Lock()
	if err == nil {
		delete(ls.failures, address)
	} else {
		ls.failures[address]++
		if !errors.Is(err, syscall.ECONNREFUSED) && ls.failures[address] < tokenFailures {
			ls.mu.Unlock()
			return false
		}
	}
	ls.mu.Unlock()
	ls.recordReply(address, err)
	return err != nil
}

// tokenCallTimeout returns how long a call of a gate for tokens may take.
func (ls *limitSharing) tokenCallTimeout(address string) time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if _, away := ls.away[address]; away {
		return tokenProbeTimeout
	}
	return tokenTimeout
}

func (ls *limitSharing) askGateTokens(parent context.Context, address string, ak quota.TokenAsk) (quota.TokenGrant, error) {
	own := ls.gate.opts.PeerAddress
	if address == own {
		return ls.dispenseTokens(ak, own), nil
	}
	ctx, cancel := context.WithTimeout(parent, ls.tokenCallTimeout(address))
	defer cancel()
	lm := ak.Limit
	reply, err := ls.gate.opts.Links.Node(address).Share(ctx, &wire.LimitAsk{
		ServerId: lm.Name(), Sender: own, ElsewhereMs: ak.Elsewhere.Milliseconds(),
		Tokens: &wire.TokenAsk{Rate: lm.Rate(), Burst: lm.Burst(), CountsRequests: lm.CountsRequests(), ConfigVersion: lm.Version(),
			Need: ak.Need, Ahead: ak.Ahead, Held: ak.Held, Used: ak.Used},
	})
	if err != nil {
		return quota.TokenGrant{}, fmt.Errorf("ask gate %s for tokens: %w", address, err)
	}
	if reply.GetTokens() == nil {
		return quota.TokenGrant{}, fmt.Errorf("ask gate %s for tokens: %w", address, errNoTokens)
	}
	return quota.TokenGrant{Amount: reply.GetTokens().GetAmount(), Retry: time.Duration(reply.GetTokens().GetRetryUs()) * time.Microsecond,
		CallerRetry: time.Duration(reply.GetTokens().GetCallerRetryUs()) * time.Microsecond}, nil
}

// errNoTokens is the reply of a gate whose software knows no limits of workspaces.
var errNoTokens = errors.New("the gate does not know limits of workspaces")

// dispenseTokens replies to an ask of a gate for tokens.
func (ls *limitSharing) dispenseTokens(ak quota.TokenAsk, sender string) quota.TokenGrant {
	now := time.Now()
	rank, gates := ls.rank(now, ak.Limit.Name())
	return ls.dispenser.DispenseTokens(now, ak, sender, quota.Place{Rank: rank, Dispensers: gates})
}

// shareTokens replies to a call of a gate for tokens.
func (nh *nodeHandler) shareTokens(la *wire.LimitAsk) *wire.LimitGrant {
	ta := la.GetTokens()
	gr := nh.gate.limits.dispenseTokens(quota.TokenAsk{
		Limit: quota.NewLimit(la.GetServerId(), ta.GetRate(), ta.GetBurst(), ta.GetCountsRequests(), ta.GetConfigVersion()),
		Need:  ta.GetNeed(), Ahead: ta.GetAhead(), Held: ta.GetHeld(), Used: ta.GetUsed(),
		Elsewhere: time.Duration(la.GetElsewhereMs()) * time.Millisecond,
	}, la.GetSender())
	return &wire.LimitGrant{Tokens: &wire.TokenGrant{Amount: gr.Amount, RetryUs: gr.Retry.Microseconds(), CallerRetryUs: gr.CallerRetry.Microseconds()}}
}

// Share handles the Share RPC of gates.
func (nh *nodeHandler) Share(_ context.Context, la *wire.LimitAsk) (*wire.LimitGrant, error) {
	if la.GetTokens() != nil {
		return nh.shareTokens(la), nil
	}
	ak := quota.NewAsk(la.GetServerId(), la.GetStartUnixMilli(), la.GetPerSecond(), time.Duration(la.GetAgeMs())*time.Millisecond, int(la.GetCount())).
		WithElsewhere(time.Duration(la.GetElsewhereMs()) * time.Millisecond)
	gr := nh.gate.limits.dispense(ak, la.GetSender())
	return &wire.LimitGrant{
		Count: uint32(gr.Count()), DelayUs: gr.Delay().Microseconds(), IntervalUs: gr.Interval().Microseconds(),
		RetryUs: gr.Retry().Microseconds(), Ended: gr.Ended(),
	}, nil
}
