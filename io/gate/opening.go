package gate

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"shallotcleat/core/origin"
	"shallotcleat/core/pick"
	"shallotcleat/io/timer"
	"shallotcleat/io/wire"
)

// Parameters of the opening of releases that are new to their services.
const (
	// noticeTimeout bounds a message about releases, and noticeInterval is the time between those to a gate that does not reply.
	noticeTimeout  = 300 * time.Millisecond
	noticeInterval = 500 * time.Millisecond
	// maxNotices bounds the messages about releases that are on their way at once.
	maxNotices = 64
	// openerSilence is how long after a question of another gate this one asks nobody itself.
	openerSilence = 2 * time.Second
	// maxLoggedGates bounds the addresses in a log entry.
	maxLoggedGates = 8
)

// unlistedGrace is for how long servers that have left the directory may serve on, so that a gate that does not know it takes streams to them.
const unlistedGrace = 5 * time.Second

// publishOpen tells the picker where streams may begin. The caller holds mu.
func (rl *releases) publishOpen() {
	if !rl.tracker.IsLoaded() {
		rl.gate.picker.SetOpenings(pick.Openings{})
		return
	}
	open, closedUntil := make(map[string][]string), make(map[string]time.Time)
	for _, release := range rl.tracker.OpenReleases() {
		service, version := origin.SplitRelease(release)
		open[service] = append(open[service], version)
	}
	for service, at := range rl.openListedAt {
		closedUntil[service] = at.Add(unlistedGrace)
	}
	rl.gate.picker.SetOpenings(pick.NewOpenings(open, closedUntil))
}

// waiting returns the releases in use at which streams may not begin yet.
func (rl *releases) waiting() []string {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.tracker.WaitingReleases()
}

// learn records releases that another gate has in use, and whether they are open.
func (rl *releases) learn(releases []string, open bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	rl.askedAt = now
	rl.tracker.Learn(now, releases)
	if open && rl.tracker.Open(now, releases) {
		rl.logOpened(releases, "peer")
		rl.publishOpen()
	}
	rl.notify()
}

// list records that this gate is in the nodes table from a time on; it then is asked before a release opens.
func (rl *releases) list(at time.Time) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.tracker.Coverage().List(at)
}

// recordRestore records that the store was restored from a backup, which may lack the rows of gates.
func (rl *releases) recordRestore(now time.Time) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.restoredAt = now
	rl.tracker.Coverage().Unlist()
}

// mayOpen reports whether the nodes table has all gates that may conclude something.
func (rl *releases) mayOpen() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.restoredAt.IsZero() || time.Since(rl.restoredAt) > origin.OpenDelay
}

// observeComplete records that the servers known are complete as of a time. It reports whether the row has to be read again before the only known release can
// decide where a stream began.
func (rl *releases) observeComplete(asOf time.Time) (lacksHistory bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if opened := rl.tracker.ObserveServers(asOf); len(opened) > 0 {
		rl.logOpened(opened, "delay")
		rl.publishOpen()
		rl.notify()
	}
	return rl.tracker.Coverage().LacksHistory()
}

// observeHistory records that the row known is that of a time.
func (rl *releases) observeHistory(asOf time.Time) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.tracker.ObserveHistory(asOf)
}

// isCovered reports whether the releases known are all at which a stream can have begun.
func (rl *releases) isCovered() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.tracker.Coverage().Holds(time.Now())
}

// logOpened logs and counts that streams may begin at releases, and why.
func (rl *releases) logOpened(releases []string, by string) {
	rl.gate.opts.Recorder.CountReleasesOpened(by, len(releases))
	rl.gate.log.WithFields(logrus.Fields{"event": "releases_opened", "releases": releases, "by": by}).
		Info("streams may begin at releases that are new to their services")
}

// releaseOpener asks all gates whether they know the releases that are new to their services, so that streams may begin there. A gate that does not know a
// release and is cut off would otherwise take its streams for those of another one. One gate asks for all; if it is gone, or a gate does not reply, the releases open
// after origin.OpenDelay.
type releaseOpener struct {
	gate *Gate
	// calls is the goroutine that asks.
	calls tasks

	// silent are the gates that were last logged as silent; run owns it.
	silent []string

	// mu guards isRunning.
	mu        sync.Mutex
	isRunning bool
}

func newReleaseOpener(gt *Gate) *releaseOpener { return &releaseOpener{gate: gt} }

// start begins to ask, unless that is in progress, or another gate does so.
func (ro *releaseOpener) start(ctx context.Context) {
	rl := ro.gate.releases
	rl.mu.Lock()
	isAsked := time.Since(rl.askedAt) < openerSilence
	rl.mu.Unlock()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if !isAsked && !ro.isRunning {
		ro.isRunning = ro.calls.start(func() { ro.run(ctx) })
	}
}

// knownReleases has, for each release, the gates that know it, with the time at which they were asked.
type knownReleases map[string]map[string]time.Time

// has reports whether a gate knows a release. It may have started again since it was asked long ago.
func (kr knownReleases) has(now time.Time, release, address string) bool {
	at, ok := kr[release][address]
	return ok && now.Sub(at) <= origin.CoverageSpan
}

// run asks until no release waits any more.
func (ro *releaseOpener) run(ctx context.Context) {
	known := make(knownReleases)
	for ctx.Err() == nil {
		releases := ro.gate.releases.waiting()
		if len(releases) == 0 {
			break
		}
		if ro.prepare(ctx, releases, known) {
			ro.ask(ctx, releases, known)
		}
		timer.Sleep(ctx, noticeInterval)
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.isRunning = false
}

// prepare makes the store know releases, and then reads the gates: one that comes later reads the releases in the store as it starts. It reports whether both is
// done.
func (ro *releaseOpener) prepare(ctx context.Context, releases []string, known knownReleases) bool {
	rl := ro.gate.releases
	isPrepared := func(release string) bool { return known[release] != nil }
	if !slices.ContainsFunc(releases, func(release string) bool { return !isPrepared(release) }) {
		return true
	}
	if wanted, differs := rl.wanted(); differs && !rl.write(ctx, wanted) {
		return false
	}
	if !ro.gate.readNodesOnce(ctx, storeTimeout) {
		return false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, release := range releases {
		if !isPrepared(release) && rl.tracker.IsStored(release) {
			known[release] = make(map[string]time.Time)
		}
	}
	return true
}

// ask asks the gates that may not know releases, and opens those that all gates know.
func (ro *releaseOpener) ask(ctx context.Context, releases []string, known knownReleases) {
	now := time.Now()
	releases = slices.DeleteFunc(releases, func(release string) bool { return known[release] == nil })
	if len(releases) == 0 {
		return
	}
	// A seed that is not listed has not registered, and concludes nothing.
	var addresses []string
	for _, nd := range ro.gate.gateList.Gates() {
		if nd.Address != ro.gate.opts.PeerAddress {
			addresses = append(addresses, nd.Address)
		}
	}
	replied := ro.tell(ctx, slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		return !slices.ContainsFunc(releases, func(release string) bool { return !known.has(now, release, address) })
	}), releases, false)
	var opened []string
	for _, release := range releases {
		for _, address := range replied {
			known[release][address] = now
		}
		if ro.gate.releases.mayOpen() && !slices.ContainsFunc(addresses, func(address string) bool { return !known.has(now, release, address) }) {
			opened = append(opened, release)
		}
	}
	if len(opened) == 0 {
		silent := slices.DeleteFunc(addresses, func(address string) bool { return known.has(now, releases[0], address) })
		if !slices.Equal(silent, ro.silent) {
			ro.gate.log.WithFields(logrus.Fields{"event": "releases_wait", "releases": releases, "gates_silent": len(silent),
				"silent": silent[:min(len(silent), maxLoggedGates)]}).Info("streams begin at new releases later, since some gates do not say that they know them")
		}
		ro.silent = silent
		return
	}
	rl := ro.gate.releases
	rl.mu.Lock()
	rl.tracker.Open(time.Now(), opened)
	rl.logOpened(opened, "all_gates")
	rl.publishOpen()
	rl.notify()
	rl.mu.Unlock()
	ro.tell(ctx, addresses, opened, true)
}

// tell sends gates a message about releases, and returns those that replied.
func (ro *releaseOpener) tell(parent context.Context, addresses, releases []string, open bool) []string {
	notice := &wire.ReleaseNotice{Releases: releases, Open: open}
	var mu sync.Mutex
	var replied []string
	workers := pool.New().WithMaxGoroutines(maxNotices)
	for _, address := range addresses {
		workers.Go(func() {
			ctx, cancel := context.WithTimeout(parent, noticeTimeout)
			defer cancel()
			if _, err := ro.gate.opts.Links.Node(address).LearnReleases(ctx, notice); err != nil {
				ro.gate.log.WithError(err).WithFields(logrus.Fields{"peer": address, "releases": strings.Join(releases, ",")}).
					Debug("telling a peer of new releases failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replied = append(replied, address)
		})
	}
	workers.Wait()
	return replied
}

// LearnReleases handles the LearnReleases RPC.
func (nh *nodeHandler) LearnReleases(_ context.Context, rn *wire.ReleaseNotice) (*wire.Received, error) {
	nh.gate.releases.learn(rn.GetReleases(), rn.GetOpen())
	return &wire.Received{}, nil
}
