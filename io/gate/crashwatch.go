package gate

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/crash"
	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/io/client"
	"shallotcleat/io/timer"
)

// Parameters of the watch for requests, and parts of prompts, on which servers crash.
const (
	// beginWindow is how long after its first event an answer counts as having just begun.
	beginWindow = 500 * time.Millisecond
	// collectDelay is how long the gate waits for other calls that broke off with the same server.
	collectDelay   = 30 * time.Millisecond
	examineTimeout = 400 * time.Millisecond
	// confirmTimeout is how long after a server closed connections, but took new ones, its entry may show that it has ended.
	confirmTimeout = 8 * time.Second
	// maxReportedKeys bounds the keys in a report.
	maxReportedKeys = 512
	// refreshRulesInterval is the time between derivations of rules.
	refreshRulesInterval = 100 * time.Millisecond
	// soundPeriod is how long after the last crash that this gate saw a service counts as sound, even if it has answered nothing since.
	soundPeriod = 10 * time.Second
)

// crashWatch finds, together with the other gates, the requests and parts of prompts on which servers crash, and refuses requests with them.
type crashWatch struct {
	gate *Gate
	// calls are the examinations of servers and the claims of trials in progress.
	calls tasks

	// mu guards the fields below. It is not held during calls of the nodes table's copy, whose lock is taken first.
	mu       sync.Mutex
	detector *crash.Detector
	// examined holds the examinations in progress by the hash of the server's run, and unconfirmed those of servers that took new connections.
	examined    map[uint64]*examination
	unconfirmed []*examination
	// services holds what this gate has seen of each service.
	services map[string]serviceHealth
	// news has not been sent to the other gates yet.
	news crashNews
	// logged holds the keys of the rules in force, saved those of rules that this gate has written to the store, and ended those of rules
	// that have ended since and may be there.
	logged map[uint64]bool
	saved  map[uint64]bool
	ended  map[uint64]bool
}

// serviceHealth is when servers of a service last answered and last crashed.
type serviceHealth struct {
	answeredAt time.Time
	crashedAt  time.Time
}

// examination is what is known about a server that has closed connections.
type examination struct {
	server   *fleet.Server
	closedAt time.Time
	// responded is set if the server has responded since closedAt.
	responded bool
	// suspects holds when the last request with a key was sent, for the calls that the server had not answered to their end, and of their prompts'
	// parts those that it had just read or was about to.
	suspects map[uint64]time.Time
	// answered holds the keys of requests whose answers ended with their connections.
	answered [][]uint64
}

func newCrashWatch(gt *Gate) *crashWatch {
	return &crashWatch{gate: gt, detector: crash.NewDetector(), examined: make(map[uint64]*examination), services: make(map[string]serviceHealth),
		logged: make(map[uint64]bool), saved: make(map[uint64]bool), ended: make(map[uint64]bool)}
}

// suspectKeys returns the keys under which a request may be blamed: that of the request first, and those of its prompt's shared parts. The last part
// belongs to the call or its conversation alone.
func suspectKeys(requestKey uint64, model string, parts []pick.Part) []uint64 {
	keys := []uint64{crash.RequestKey(requestKey)}
	if model == "" || len(parts) < 2 {
		return keys
	}
	for _, pt := range parts[:len(parts)-1] {
		keys = append(keys, crash.PartKey(xxhash.Sum64String(model+"/"+pt.ID())))
	}
	return keys
}

// check returns the reason why a request must not be sent to a server, or nil.
func (cw *crashWatch) check(ctx context.Context, now time.Time, rq *request) *answer.Error {
	if rq.trial {
		return nil
	}
	verdict := cw.decide(now, rq)
	switch {
	case verdict.Trial:
		rq.trial = true
		cw.gate.log.WithFields(logrus.Fields{"event": "crash_trial", "request_id": rq.info.RequestID, "rule": keyName(verdict.Rule.Key())}).
			Info("trying a request on which servers crashed")
		return nil
	case !verdict.Forbidden:
		return nil
	case verdict.Offer > 0:
		cw.calls.start(func() { cw.claimTrial(context.WithoutCancel(ctx), verdict.Rule, verdict.Offer) })
	}
	return answer.NewError(answer.CrashingRequest, answer.NotRun, verdict.RetryAfter, "servers crash on the request or parts of its prompt (rule %s)",
		keyName(verdict.Rule.Key()))
}

// decide decides about a request. While the servers of a service crash whatever they run, a trial would show nothing.
func (cw *crashWatch) decide(now time.Time, rq *request) crash.Verdict {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	health := cw.services[rq.service.Name()]
	sound := health.answeredAt.After(health.crashedAt) || now.Sub(health.crashedAt) > soundPeriod
	return cw.detector.Decide(now, rq.suspectKeys, sound && cw.gate.picker.CountAvailable(now, rq.service.Name()) > 0)
}

// recordServed records that a server of a service has survived what has the given keys.
func (cw *crashWatch) recordServed(service string, keys []uint64) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	now := time.Now()
	cw.addServed(now, keys)
	health := cw.services[service]
	health.answeredAt = now
	cw.services[service] = health
}

// addServed records that a request with the given keys was answered; the caller holds mu.
func (cw *crashWatch) addServed(at time.Time, keys []uint64) {
	cw.news.sightings = append(cw.news.sightings, cw.detector.AddServed(at, keys)...)
}

// recordClosed records that a server closed the connection of an attempt, and examines whether the server has crashed. answered is set if that
// was the end of the answer, and the server has responded since. A server that has announced its stop closes connections when it stops.
func (cw *crashWatch) recordClosed(ctx context.Context, at *attempt, answered bool) {
	keys, sv := at.rq.suspectKeys, at.choice.Server()
	if cw.gate.picker.Leaving(sv) {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	ex, ok := cw.examined[runHash(sv)]
	if !ok || ex.responded && !answered {
		ex = &examination{server: sv, closedAt: time.Now(), responded: answered, suspects: make(map[uint64]time.Time)}
		cw.examined[runHash(sv)] = ex
		cw.calls.start(func() { cw.examine(context.WithoutCancel(ctx), ex) })
	}
	if answered {
		ex.answered = append(ex.answered, keys)
	}
	if at.sentAt.After(ex.closedAt) {
		return
	}
	if !at.firstEventAt.IsZero() && time.Since(at.firstEventAt) > beginWindow {
		// The parts of the prompt were read long ago.
		keys = keys[:1]
	}
	suspects := make(map[uint64]time.Time, len(keys))
	for _, key := range keys {
		suspects[key] = at.sentAt
	}
	ex.addSuspects(suspects)
}

// addSuspects adds keys and when the last request with each was sent, within the limit of a report.
func (ex *examination) addSuspects(suspects map[uint64]time.Time) {
	for key, sentAt := range suspects {
		if len(ex.suspects) < maxReportedKeys && ex.suspects[key].Before(sentAt) {
			ex.suspects[key] = sentAt
		}
	}
}

// examine reports a server as crashed if it refuses connections. One that accepts them has broken off single answers, or has ended and started
// again; a VM that does not respond was cut off or lost power.
func (cw *crashWatch) examine(parent context.Context, ex *examination) {
	ctx, cancel := context.WithTimeout(parent, examineTimeout)
	defer cancel()
	crashed := !ex.responded && client.RefusesConnections(ctx, ex.server.Address())
	timer.Sleep(ctx, collectDelay)
	cw.mu.Lock()
	defer cw.mu.Unlock()
	if cw.examined[runHash(ex.server)] == ex {
		delete(cw.examined, runHash(ex.server))
	}
	if crashed {
		cw.reportCrash(ex, "server closed its connections and refuses new ones")
		return
	}
	cw.unconfirmed = append(cw.unconfirmed, ex)
}

// confirm reports those servers as crashed that took new connections and whose entries show by now that they have ended; the caller holds mu.
// Several examinations of one run count as one crash, since it is not known how often the server has ended.
func (cw *crashWatch) confirm(now time.Time) {
	view := cw.gate.picker.View()
	confirmed := make(map[uint64]*examination)
	cw.unconfirmed = slices.DeleteFunc(cw.unconfirmed, func(ex *examination) bool {
		sv := view.Server(ex.server.ID())
		switch {
		case cw.gate.picker.Leaving(ex.server) || sv != nil && sv.Draining():
			return true
		case sv == nil || sv.StartUnixMilli() > ex.server.StartUnixMilli():
			if earlier, ok := confirmed[runHash(ex.server)]; ok {
				earlier.addSuspects(ex.suspects)
			} else {
				confirmed[runHash(ex.server)] = ex
			}
			return true
		case now.Sub(ex.closedAt) < confirmTimeout:
			return false
		}
		for _, keys := range ex.answered {
			cw.addServed(ex.closedAt, keys)
		}
		return true
	})
	for _, ex := range confirmed {
		cw.reportCrash(ex, "server closed its connections, and its entry was removed or shows a later start")
	}
}

// reportCrash reports a server as crashed; the caller holds mu.
func (cw *crashWatch) reportCrash(ex *examination, reason string) {
	cw.gate.log.WithFields(logrus.Fields{"event": "server_crashed", "server": ex.server.ID(), "suspects": len(ex.suspects)}).Info(reason)
	health := cw.services[ex.server.Service()]
	health.crashedAt = time.Now()
	cw.services[ex.server.Service()] = health
	if len(ex.suspects) > 0 {
		rp := crash.NewReport(runHash(ex.server), xxhash.Sum64String(ex.server.Address()), ex.closedAt, ex.suspects)
		cw.news.reports = append(cw.news.reports, rp)
		cw.news.sightings = append(cw.news.sightings, cw.detector.AddReport(rp)...)
	}
}

// runHash returns a hash of one run of a server, which may start again under its id.
func runHash(sv *fleet.Server) uint64 {
	return xxhash.Sum64String(sv.ID() + "/" + strconv.FormatInt(sv.StartUnixMilli(), 10))
}

// apply applies the news of another gate.
func (cw *crashWatch) apply(now time.Time, cn crashNews) {
	if cn.size() == 0 {
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.detector.AddSightings(cn.sightings)
	for _, rp := range cn.reports {
		cw.news.sightings = append(cw.news.sightings, cw.detector.AddReport(rp)...)
	}
	cw.news.sightings = append(cw.news.sightings, cw.detector.AddRules(now, cn.rules)...)
}

// takeNews returns the news for the other gates since the last call.
func (cw *crashWatch) takeNews() crashNews {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cn := cw.news
	cw.news = crashNews{}
	return cn
}

// rulesToTell returns rules for the other gates.
func (cw *crashWatch) rulesToTell(now time.Time) []crash.Rule {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	return cw.detector.RulesToTell(now)
}

// refresh derives the rules from the latest reports, and logs those that have come into force or ended.
func (cw *crashWatch) refresh() {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	now := time.Now()
	cw.confirm(now)
	cw.detector.Refresh(now)
	keys := cw.detector.RuleKeys()
	for _, key := range keys {
		if !cw.logged[key] {
			cw.logged[key] = true
			delete(cw.ended, key)
			cw.gate.log.WithFields(logrus.Fields{"event": "crash_rule", "rule": keyName(key)}).
				Warn("requests on which servers crash are refused")
		}
	}
	for key := range cw.logged {
		if !slices.Contains(keys, key) {
			delete(cw.logged, key)
			delete(cw.saved, key)
			cw.ended[key] = true
			cw.gate.log.WithFields(logrus.Fields{"event": "crash_rule_ended", "rule": keyName(key)}).
				Info("requests that were blamed for crashes are accepted again")
		}
	}
}

// keyName returns the text of a key, in logs and in the store.
func keyName(key uint64) string { return strconv.FormatUint(key, 16) }
