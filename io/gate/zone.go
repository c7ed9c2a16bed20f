package gate

import (
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/pick"
	"shallotcleat/core/route"
	"shallotcleat/core/zone"
)

// logSharesInterval is the time between checks whether the share of a service's requests that leaves the zone has changed notably.
const logSharesInterval = 500 * time.Millisecond

// zoneLog logs notable changes of the shares of requests that leave the zone. Its timer alone calls it.
type zoneLog struct {
	gate    *Gate
	changes *zone.Changes
}

func newZoneLog(gt *Gate) *zoneLog { return &zoneLog{gate: gt, changes: zone.NewChanges()} }

func (zl *zoneLog) check() {
	now, listed := time.Now(), make(map[string]bool)
	for _, ss := range zl.gate.picker.ZoneShares(now) {
		share := ss.Share()
		listed[ss.Service()] = true
		zl.gate.opts.Recorder.RecordZoneShare(ss.Service(), share.Fraction())
		if !zl.changes.Notable(now, ss.Service(), share) {
			continue
		}
		zl.gate.log.WithFields(logrus.Fields{"event": "zone_share", "service": ss.Service(), "share": share.Fraction(),
			"reason": string(share.Reason()), "zones": share.Zones()}).Info("share of requests that leaves the zone changed")
	}
	zl.changes.Retain(listed)
}

// countZoneExit counts an attempt that goes to a server of another zone.
func (gt *Gate) countZoneExit(rq *request, ch pick.Choice) {
	reason := ch.ExitReason()
	rq.log.zoneExit = string(reason)
	if reason != "" {
		gt.opts.Recorder.CountZoneExit(rq.service.Name(), string(reason), len(rq.body))
	}
}

// tokenBytes returns the size of the cached prefix of one token, by service.
func tokenBytes(sp route.Spec) map[string]int {
	sizes := make(map[string]int, len(sp.Services))
	for _, sv := range sp.Services {
		sizes[sv.Name] = sv.CacheTokenBytes
	}
	return sizes
}
