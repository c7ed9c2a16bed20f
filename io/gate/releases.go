package gate

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/fleet"
	"shallotcleat/core/origin"
	"shallotcleat/core/route"
	"shallotcleat/io/feed"
	"shallotcleat/io/table"
)

// Parameters of the row that states where streams can have begun.
const (
	// releasesRowKey is the key of the row in the nodes table.
	releasesRowKey = "stream-releases"
	// checkReleasesInterval is the time between checks for what the row need no longer hold.
	checkReleasesInterval = 5 * time.Second
	// releasesRankDelay is how much later than the gate ranked before it a gate writes the row, in case that one is gone. firstReleasesDelays are the
	// delays of the first gates.
	releasesRankDelay = time.Second
	// releasesRetryDelay is the time between attempts to write the row.
	releasesRetryDelay = 500 * time.Millisecond
)

var firstReleasesDelays = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}

// releases knows the services and software versions at which streams that may still be resumed can have begun. It keeps them in the store, so that a
// stream can be resumed after a loss of all gates that had its record, if there is only one.
type releases struct {
	gate   *Gate
	opener *releaseOpener
	// changed has an element while the row may have to be written.
	changed chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *origin.Tracker
	// services are those at which resumable streams begin.
	services []string
	// uncertain has the services of which the releases alone do not show where a stream began.
	uncertain map[string]bool
	// suspectUntil has the services of which a server has gone, or has started again, without proof that it was until then the run that it was taken for: a
	// stream may have begun there at a version that no entry stated. It ends once no such stream can be resumed.
	suspectUntil map[string]time.Time
	// unknown has the services with a server in use of which no entry states the version.
	unknown map[string]bool
	// rowVersion is the version of the row in the store, or zero if there is none.
	rowVersion uint64
	// openListedAt is when a server of a release that is open was last listed, by service.
	openListedAt map[string]time.Time
	// restoredAt is when the store was last restored from a backup, or zero.
	restoredAt time.Time
	// askedAt is when another gate last asked whether this one knows new releases.
	askedAt time.Time
}

func newReleases(gt *Gate) *releases {
	return &releases{gate: gt, opener: newReleaseOpener(gt), changed: make(chan struct{}, 1), tracker: origin.NewTracker(),
		suspectUntil: make(map[string]time.Time), openListedAt: make(map[string]time.Time)}
}

// releasesRow is the row in the store.
type releasesRow struct {
	Role     string   `json:"role"`
	Releases []string `json:"releases"`
	// Opened are the releases at which streams may begin; rows of earlier programs lack it.
	Opened        []string `json:"opened"`
	ConfigVersion uint64   `json:"config"`
	Digest        uint64   `json:"digest"`
	ChangedHosts  []uint64 `json:"changed_hosts,omitempty"`
	AllChanged    bool     `json:"all_changed,omitempty"`
}

func newReleasesRow(hs origin.History) releasesRow {
	return releasesRow{Role: roleStreamReleases, Releases: hs.Releases(), Opened: append([]string{}, hs.Opened()...), ConfigVersion: hs.ConfigVersion(), Digest: hs.Digest(), ChangedHosts: hs.ChangedHosts(),
		AllChanged: hs.AllChanged()}
}

// decodeReleasesRow returns the history in a row. One that cannot be read states nothing, so that streams can have begun anywhere.
func decodeReleasesRow(value []byte) origin.History {
	var row releasesRow
	if err := json.Unmarshal(value, &row); err != nil || row.Role != roleStreamReleases {
		return origin.NewHistory(nil, 0, 0, nil, true)
	}
	if row.Opened == nil {
		row.Opened = row.Releases
	}
	return origin.NewHistory(row.Releases, row.ConfigVersion, row.Digest, row.ChangedHosts, row.AllChanged).WithOpened(row.Opened)
}

// notify lets run check whether the row is to be written.
func (rl *releases) notify() {
	select {
	case rl.changed <- struct{}{}:
	default:
	}
}

// applyRows takes the row from all rows of the nodes table, which the store was asked for at a time.
func (rl *releases) applyRows(asOf time.Time, rows []feed.Row) {
	index := slices.IndexFunc(rows, func(rw feed.Row) bool { return rw.Key() == releasesRowKey && !rw.Deleted() })
	if index < 0 {
		rl.applyRow(asOf, nil, 0)
		return
	}
	rl.applyRow(asOf, rows[index].Value(), rows[index].Revision())
}

// applyRow takes a version of the row that the store was asked for at a time; version is zero if there is none.
func (rl *releases) applyRow(asOf time.Time, value []byte, version uint64) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.rowVersion = version
	if version == 0 {
		rl.tracker.ObserveStored(asOf, origin.History{}, false)
	} else {
		rl.tracker.ObserveStored(asOf, decodeReleasesRow(value), true)
	}
	rl.publishOpen()
	rl.notify()
}

// sole returns the only release at which a stream of a host, at one of the given services, can have begun.
func (rl *releases) sole(host uint64, services []string) (release string, ok bool) {
	rl.observe()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.tracker.Sole(time.Now(), host, services)
}

// setRoutes records the routes that are in force from now on. It is called for each configuration, before a stream begins by it.
func (rl *releases) setRoutes(tb *route.Table) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.services = tb.ResumableServices()
	rl.tracker.ObserveRoutes(time.Now(), tb.Version(), tb.StreamRoutes())
	rl.notify()
}

// resumableServices returns the services at which resumable streams begin.
func (rl *releases) resumableServices() []string {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.services
}

// suspect records that a server of a service may have been another run than it was taken for.
func (rl *releases) suspect(service string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.suspectUntil[service] = time.Now().Add(origin.RecordTTL)
	rl.notify()
}

// isSuspect reports whether a stream at a service may have begun at a version that no entry stated.
func (rl *releases) isSuspect(service string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return time.Now().Before(rl.suspectUntil[service])
}

// isUncertain reports whether the releases alone do not show where a stream at a service began.
func (rl *releases) isUncertain(service string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.uncertain[service]
}

// uncertainServices returns the services of which the releases alone do not show where a stream began.
func (rl *releases) uncertainServices() []string {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return slices.Collect(maps.Keys(rl.uncertain))
}

// updateUncertain returns the services of which the releases alone no longer show where a stream began.
func (rl *releases) updateUncertain() (added []string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	old := rl.uncertain
	now := time.Now()
	rl.uncertain = rl.tracker.Uncertain(now, rl.services)
	for _, service := range rl.services {
		if rl.unknown[service] || now.Before(rl.suspectUntil[service]) {
			rl.uncertain[service] = true
		}
	}
	for service := range rl.uncertain {
		if !old[service] {
			added = append(added, service)
		}
	}
	return added
}

// observe records the servers that are in use.
func (rl *releases) observe() { rl.observeView(rl.gate.picker.View()) }

// observeView records the servers of a view. It is called before the view is used, so that no stream begins at a release that is not open.
func (rl *releases) observeView(view *fleet.View) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	var inUse []string
	rl.unknown = make(map[string]bool)
	for _, service := range rl.services {
		// Servers of a service are many, their versions are few.
		seen := map[string]bool{"": true}
		for _, sv := range view.Servers(service) {
			version := sv.SoftwareVersion()
			rl.unknown[service] = rl.unknown[service] || version == ""
			if !seen[version] {
				seen[version] = true
				inUse = append(inUse, origin.Release(service, version))
			}
		}
	}
	now := time.Now()
	rl.tracker.ObserveReleases(now, inUse)
	for _, release := range inUse {
		if service, _ := origin.SplitRelease(release); rl.tracker.IsOpen(release) {
			rl.openListedAt[service] = now
		}
	}
	rl.publishOpen()
}

// run writes the row when it has to change, until ctx is done. Gates write one after the other, so that most find it written.
func (rl *releases) run(ctx context.Context) {
	// due is when this gate writes the row, or nil, and openDue when it lets waiting releases be opened.
	var due, openDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-rl.changed:
			rl.observe()
			for _, service := range rl.updateUncertain() {
				rl.gate.origins.saveRecent(ctx, service)
			}
			if _, differs := rl.wanted(); differs && due == nil {
				due = time.After(rl.delay())
			}
			if openDue == nil && len(rl.waiting()) > 0 {
				openDue = time.After(rl.delay())
			}
		case <-openDue:
			openDue = nil
			rl.opener.start(ctx)
		case <-due:
			due = nil
			rl.observe()
			if wanted, differs := rl.wanted(); differs && !rl.write(ctx, wanted) {
				due = time.After(releasesRetryDelay)
			}
		}
	}
}

// delay returns how long this gate waits for others to write the row.
func (rl *releases) delay() time.Duration {
	return releasesDelay(slices.Index(rl.gate.gateList.Ranked(releasesRowKey), rl.gate.opts.PeerAddress))
}

// releasesDelay returns the delay of the gate with a rank, which is negative if it is not listed yet.
func releasesDelay(rank int) time.Duration {
	switch {
	case rank < 0:
		return firstReleasesDelays[len(firstReleasesDelays)-1]
	case rank < len(firstReleasesDelays):
		return firstReleasesDelays[rank]
	}
	return time.Duration(rank-len(firstReleasesDelays)+1) * releasesRankDelay
}

// wanted returns what the row should hold, and whether it holds something else.
func (rl *releases) wanted() (wanted origin.History, differs bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.tracker.Wanted(time.Now())
}

// write writes the row and reports whether the store's state is known after that, which lets run check it again.
func (rl *releases) write(ctx context.Context, hs origin.History) bool {
	rl.mu.Lock()
	expected := rl.rowVersion
	rl.mu.Unlock()
	asOf := time.Now()
	value, version, err := rl.gate.commitNodeRow(ctx, releasesRowKey, newReleasesRow(hs), expected)
	var ce *table.ConflictError
	switch {
	case errors.As(err, &ce):
		cell := ce.Cell(rl.gate.nodeRowPath(releasesRowKey))
		rl.applyRow(asOf, cell.Value, cell.Version)
		return true
	case err != nil:
		rl.gate.log.WithError(err).Info("writing where streams can have begun failed; retrying")
		return false
	}
	rl.applyRow(asOf, value, version)
	rl.gate.log.WithFields(logrus.Fields{"event": "stream_releases_written", "releases": hs.Releases(), "changed_hosts": len(hs.ChangedHosts()),
		"all_changed": hs.AllChanged()}).Info("the store knows where streams can have begun")
	return true
}
