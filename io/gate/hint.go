package gate

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/pick"
	"shallotcleat/io/wire"
)

// Limits of the exchange of hints. A lost hint costs no more than a prompt that is read again.
const (
	hintInterval = 40 * time.Millisecond
	hintTimeout  = 300 * time.Millisecond
)

// tellHints tells the other gates which prompts this one has sent where.
func (gt *Gate) sendHints(ctx context.Context) {
	hints, paces := gt.picker.TakeHints(), gt.picker.TakePaces()
	if len(hints) == 0 && len(paces) == 0 {
		return
	}
	message := &wire.CacheHints{}
	for _, hn := range hints {
		message.Servers = append(message.Servers, hn.Server())
		message.Keys = append(message.Keys, hn.Key())
		message.Versions = append(message.Versions, hn.Version())
	}
	for _, pc := range paces {
		message.Paced = append(message.Paced, pc.Server())
		message.Ratios = append(message.Ratios, float32(pc.Ratio()))
		message.Calls = append(message.Calls, uint32(pc.Calls()))
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, address := range gt.peers() {
		wg.Go(func() {
			if _, err := gt.opts.Links.Node(address).Hint(ctx, message); err != nil {
				gt.log.WithError(err).WithField("peer", address).Debug("a peer got no hints")
			}
		})
	}
	wg.Wait()
}

// Hint takes what another gate knows of the engines' caches.
func (nh *nodeHandler) Hint(_ context.Context, ch *wire.CacheHints) (*wire.Received, error) {
	count := min(len(ch.GetServers()), len(ch.GetKeys()), len(ch.GetVersions()))
	hints := make([]pick.Hint, 0, count)
	for i := range count {
		hints = append(hints, pick.NewHint(ch.GetServers()[i], ch.GetKeys()[i], ch.GetVersions()[i]))
	}
	nh.gate.picker.Hear(time.Now(), hints)
	count = min(len(ch.GetPaced()), len(ch.GetRatios()), len(ch.GetCalls()))
	paces := make([]pick.Pace, 0, count)
	for i := range count {
		paces = append(paces, pick.NewPace(ch.GetPaced()[i], float64(ch.GetRatios()[i]), int(ch.GetCalls()[i])))
	}
	nh.gate.picker.HearPaces(time.Now(), paces)
	return &wire.Received{}, nil
}
