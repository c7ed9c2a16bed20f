package gate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"shallotcleat/core/fleet"
	"shallotcleat/core/route"
	"shallotcleat/core/runs"
	"shallotcleat/io/wire"
)

const (
	// maxUnproven is the time before its end for which nothing may have proved a run, if no stream can have begun there at another version: a tender reports a
	// busy engine twice a second.
	maxUnproven = 2 * time.Second
	// maxProved bounds the servers of a service that are asked because a stream may have begun at any of them, and maxProofQuestions those that are asked at once.
	maxProved         = 512
	maxProofQuestions = 64
	// maxConfirming bounds the gates that are asked for the only release if this gate may lack one, and confirmSoleTimeout such a question, for which the other gate
	// may ask servers.
	maxConfirming      = 2
	confirmSoleTimeout = proveTimeout + 200*time.Millisecond
)

// soleRelease returns the only release at which the stream of a request can have begun. If this gate may lack one, another gate has to say the same: a view
// that lacks a release differs in nothing from one that is complete.
func (gt *Gate) soleRelease(ctx context.Context, rq *request, services []string) (string, soleVerdict) {
	host := route.HostKey(hostName(rq.host))
	isCovered := gt.releases.isCovered()
	release, verdict := gt.examineSole(ctx, host, services)
	switch {
	case verdict != isSole || isCovered:
		return release, verdict
	case gt.confirmSole(ctx, host, services) == release:
		return release, confirmedSole
	}
	return "", staleView
}

// confirmSole asks other gates for the only release at which a stream of a host can have begun, and returns it, or "" if none of them can tell.
func (gt *Gate) confirmSole(parent context.Context, host uint64, services []string) string {
	asked := 0
	for _, address := range gt.gateList.Ranked(releasesRowKey) {
		if address == gt.opts.PeerAddress || gt.originLookup.isSilent(time.Now(), address) {
			continue
		}
		if asked++; asked > maxConfirming {
			return ""
		}
		ctx, cancel := context.WithTimeout(parent, confirmSoleTimeout)
		reply, err := gt.opts.Links.Node(address).FindSoleRelease(ctx, &wire.SoleQuery{Host: host, Services: services})
		cancel()
		if err != nil {
			gt.log.WithError(err).WithField("peer", address).Debug("asking a peer for the only release failed")
		} else if reply.GetRelease() != "" {
			return reply.GetRelease()
		}
	}
	return ""
}

// FindSoleRelease handles the FindSoleRelease RPC.
func (nh *nodeHandler) FindSoleRelease(ctx context.Context, sq *wire.SoleQuery) (*wire.SoleRelease, error) {
	if !nh.gate.releases.isCovered() {
		return &wire.SoleRelease{}, nil
	}
	release, _ := nh.gate.examineSole(ctx, sq.GetHost(), sq.GetServices())
	return &wire.SoleRelease{Release: release}, nil
}

// examineSole returns the only release, by what this gate knows, at which a stream of a host can have begun. That is so only if all servers of the services are certain to be the
// runs that this gate takes them for, and none that has gone may have been another one.
func (gt *Gate) examineSole(ctx context.Context, host uint64, services []string) (release string, verdict soleVerdict) {
	release, ok := gt.releases.sole(host, services)
	switch {
	case !ok:
		return "", severalReleases
	case slices.ContainsFunc(services, gt.releases.isSuspect):
		return "", suspectServer
	}
	for _, service := range services {
		if !gt.serviceProofs.prove(ctx, service) {
			return "", unprovedServer
		}
	}
	return release, isSole
}

// suspectEnded records the services of which a server has gone, or has started again, between two views, if it may have been another run before that.
func (gt *Gate) suspectEnded(old, view *fleet.View) {
	for _, service := range gt.releases.resumableServices() {
		for _, sv := range old.Servers(service) {
			if now := view.Server(sv.ID()); now != nil && now.StartUnixMilli() == sv.StartUnixMilli() || sv.Draining() {
				continue
			}
			if sv.SoftwareVersion() == "" || gt.ledger.UnprovenFor(time.Now(), runOf(sv)) > maxUnproven {
				gt.releases.suspect(service)
				gt.log.WithFields(logrus.Fields{"event": "release_suspect", "server": sv.ID(), "server_start_ms": sv.StartUnixMilli(), "service": service}).
					Info("a server ended that may have been another run; the only known release does not decide where streams began")
				break
			}
		}
	}
}

// serviceProofs proves the runs of all servers of a service, once for all resumed streams that wait.
type serviceProofs struct {
	gate *Gate

	// mu guards rounds, which holds the round in progress or about to begin for each service.
	mu     sync.Mutex
	rounds map[string]*proofRound
}

// proofRound is one proof of all servers of a service. The other fields are valid once done is closed.
type proofRound struct {
	done    chan struct{}
	beganAt time.Time
	proved  bool
}

func newServiceProofs(gt *Gate) *serviceProofs {
	return &serviceProofs{gate: gt, rounds: make(map[string]*proofRound)}
}

// prove reports whether all servers of a service were, at a time after the call, the runs that this gate takes them for.
func (sp *serviceProofs) prove(ctx context.Context, service string) bool {
	asked := time.Now()
	for {
		rd := sp.join(service)
		select {
		case <-rd.done:
			if !rd.beganAt.Before(asked) {
				return rd.proved
			}
		case <-ctx.Done():
			return false
		}
	}
}

// join returns the round of a service that is in progress, or begins one.
func (sp *serviceProofs) join(service string) *proofRound {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if rd := sp.rounds[service]; rd != nil {
		return rd
	}
	rd := &proofRound{done: make(chan struct{}), beganAt: time.Now()}
	sp.rounds[service] = rd
	isStarted := sp.gate.questions.start(func() {
		rd.proved = sp.gate.proveServers(sp.gate.cut, service, rd.beganAt)
		sp.end(service, rd)
	})
	if !isStarted {
		delete(sp.rounds, service)
		close(rd.done)
	}
	return rd
}

func (sp *serviceProofs) end(service string, rd *proofRound) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	delete(sp.rounds, service)
	close(rd.done)
}

// proveServers reports whether all servers of a service were, at a time, the runs that this gate takes them for.
func (gt *Gate) proveServers(ctx context.Context, service string, at time.Time) bool {
	servers := gt.picker.View().Servers(service)
	if len(servers) == 0 || len(servers) > maxProved {
		return false
	}
	if slices.ContainsFunc(servers, func(sv *fleet.Server) bool { return sv.SoftwareVersion() == "" }) {
		return false
	}
	var failed atomic.Bool
	workers := pool.New().WithMaxGoroutines(maxProofQuestions)
	for _, sv := range servers {
		workers.Go(func() {
			if !failed.Load() && !gt.isBelieved(ctx, runs.NewMoment(runOf(sv), at)) {
				failed.Store(true)
			}
		})
	}
	workers.Wait()
	return !failed.Load()
}
