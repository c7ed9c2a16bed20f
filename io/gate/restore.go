package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"shallotcleat/io/feed"
	"shallotcleat/io/timer"
)

// Parameters of the repair after the store was restored from a backup.
const (
	// keptExchanges is how many peers are asked for rows that the restore lost, and keptExchangePeriod the time between them.
	keptExchanges      = 4
	keptExchangePeriod = time.Second
	// maxRepairDelay spreads the writes of many processes over time.
	maxRepairDelay = time.Second
)

// ContentVersion returns a function that decodes the versions that operators give configurations and weights, for copies of the config
// table. Operators never lower them, also if the store was restored from a backup.
func ContentVersion(dl Dialect) feed.ContentVersion {
	return func(rw feed.Row) (uint64, bool) {
		if _, version, ok, err := dl.DecodeWeights(rw); ok && err == nil {
			return version, true
		}
		sp, ok, err := dl.DecodeConfig(rw)
		return sp.Version, ok && err == nil
	}
}

// exchangeKept asks some peers for configurations and weight versions that they have kept from before a restore. A gate that has
// just started can't know whether the store was restored lately.
func (gt *Gate) exchangeKept(ctx context.Context) {
	for range keptExchanges {
		gt.pullFromPeer(ctx)
		timer.Sleep(ctx, keptExchangePeriod)
	}
}

// repairRestored writes this gate's row again after each restore of the store, and gets from peers what the restore lost.
func (gt *Gate) repairRestored(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gt.restored.C():
		}
		gt.log.WithField("event", "store_restored").WithField("revision", gt.configTable.Revision()).
			Warn("the store was restored from a backup; writing the row of this gate again")
		timer.Sleep(ctx, rand.N(maxRepairDelay))
		gt.crashes.rewriteRules()
		for _, service := range gt.releases.uncertainServices() {
			gt.origins.saveRecent(ctx, service)
		}
		gt.register(ctx)
		gt.exchangeKept(ctx)
	}
}
