package gate

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/pick"
	"shallotcleat/io/wire"
)

// Parameters of the exchange of hints. A lost hint costs at most another prefill of a prompt prefix.
const (
	hintInterval = 40 * time.Millisecond
	hintTimeout  = 300 * time.Millisecond
)

// sendHints tells the other gates to which servers this gate has sent prompts, and how slow servers are.
func (gt *Gate) sendHints(ctx context.Context) {
	hints, slowdowns := gt.picker.TakeHints(), gt.picker.TakeSlowdowns()
	if len(hints) == 0 && len(slowdowns) == 0 {
		return
	}
	message := &wire.CacheHints{}
	for _, hn := range hints {
		message.Servers = append(message.Servers, hn.Server())
		message.Keys = append(message.Keys, hn.Key())
		message.Versions = append(message.Versions, hn.Version())
	}
	for _, sd := range slowdowns {
		message.Paced = append(message.Paced, sd.Server())
		message.Ratios = append(message.Ratios, float32(sd.Ratio()))
		message.Calls = append(message.Calls, uint32(sd.Calls()))
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, address := range gt.peers() {
		wg.Go(func() {
			if _, err := gt.opts.Links.Node(address).Hint(ctx, message); err != nil {
				gt.log.WithError(err).WithField("peer", address).Debug("sending hints to peer failed")
			}
		})
	}
	wg.Wait()
}

// Hint handles the Hint RPC: it applies what another gate knows about engines' caches and speed.
func (nh *nodeHandler) Hint(_ context.Context, ch *wire.CacheHints) (*wire.Received, error) {
	count := min(len(ch.GetServers()), len(ch.GetKeys()), len(ch.GetVersions()))
	hints := make([]pick.Hint, 0, count)
	for i := range count {
		hints = append(hints, pick.NewHint(ch.GetServers()[i], ch.GetKeys()[i], ch.GetVersions()[i]))
	}
	nh.gate.picker.ApplyHints(time.Now(), hints)
	count = min(len(ch.GetPaced()), len(ch.GetRatios()), len(ch.GetCalls()))
	slowdowns := make([]pick.Slowdown, 0, count)
	for i := range count {
		slowdowns = append(slowdowns, pick.NewSlowdown(ch.GetPaced()[i], float64(ch.GetRatios()[i]), int(ch.GetCalls()[i])))
	}
	nh.gate.picker.ApplySlowdowns(time.Now(), slowdowns)
	return &wire.Received{}, nil
}
