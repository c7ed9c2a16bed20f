package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"shallotcleat/core/crash"
	"shallotcleat/core/pick"
	"shallotcleat/io/wire"
)

// Parameters of the exchange of hints. A lost hint costs at most another prefill of a prompt prefix.
const (
	// hintInterval is the time between messages to the other gates of the zone, remoteHintInterval between those to other zones.
	hintInterval       = 40 * time.Millisecond
	remoteHintInterval = 160 * time.Millisecond
	hintTimeout        = 300 * time.Millisecond
	// announcementInterval is the time after which peers are told again of the weight versions that were announced lately, and of rules.
	announcementInterval = 500 * time.Millisecond
	// peerBackoff is how long a gate that could not be reached gets no messages.
	peerBackoff = time.Second
	// maxRelayedHints bounds the hints of other zones that wait to be passed on.
	maxRelayedHints = 4096
)

// hintExchange tells the other gates to which servers this gate has sent prompts, and how slow servers are. A message goes to each
// other gate of the zone and to one gate of each other zone, which passes it on within its zone, so that the messages of a gate do not
// grow with the number of gates in other zones. Messages of tenders of other zones are passed on in the same way.
type hintExchange struct {
	gate *Gate
	// calls are the calls in progress.
	calls tasks

	// mu guards the fields below.
	mu sync.Mutex
	// relayed is what gates of other zones sent to pass on, and news the latest message of each tender of another zone by server id.
	relayed hintBatch
	news    map[string]*wire.EngineNews
	// stores are this gate's reports about cache stores that have not been sent yet.
	stores []pick.CacheStoreState
	// remote is what this gate has not sent to other zones yet, since remoteSentAt.
	remote       hintBatch
	remoteSentAt time.Time
	// announcedAt is when peers were last told of announced weight versions and rules.
	announcedAt time.Time
	// workToldAt is when peers were last told of the work of workspaces.
	workToldAt time.Time
	// peers holds the state of the calls to each other gate.
	peers map[string]peerCalls
}

// hintBatch holds hints, slowdowns, reports about cache stores and crashes, and announcements of weight versions.
type hintBatch struct {
	hints         []pick.Hint
	slowdowns     []pick.Slowdown
	stores        []pick.CacheStoreState
	announcements []pick.Announcement
	crashes       crashNews
	works         []*wire.GateWork
}

// peerCalls is the state of the calls to one gate; at most one is in progress.
type peerCalls struct {
	busy    bool
	retryAt time.Time
}

func newHintExchange(gt *Gate) *hintExchange {
	return &hintExchange{gate: gt, news: make(map[string]*wire.EngineNews), peers: make(map[string]peerCalls)}
}

// add adds another batch except its announcements and rules: each gate sends those that it knows itself.
func (hb *hintBatch) add(other hintBatch) {
	if hb.size() < maxRelayedHints {
		hb.crashes.add(other.crashes)
		hb.stores = append(hb.stores, other.stores...)
		hb.hints = append(hb.hints, other.hints...)
		hb.slowdowns = append(hb.slowdowns, other.slowdowns...)
		hb.works = append(hb.works, other.works...)
	}
}

// size returns the number of items in the batch.
func (hb *hintBatch) size() int {
	return len(hb.hints) + len(hb.slowdowns) + len(hb.stores) + len(hb.announcements) + len(hb.works) + hb.crashes.size()
}

// message returns the batch as a message that is sent now.
func (hb *hintBatch) message(now time.Time) *wire.CacheHints {
	message := &wire.CacheHints{Works: hb.works}
	hb.crashes.encode(now, message)
	for _, hn := range hb.hints {
		message.Servers = append(message.Servers, hn.Server())
		message.Keys = append(message.Keys, hn.Key())
		message.Versions = append(message.Versions, hn.Version())
	}
	for _, sd := range hb.slowdowns {
		message.Paced = append(message.Paced, sd.Server())
		message.Ratios = append(message.Ratios, float32(sd.Ratio()))
		message.Calls = append(message.Calls, uint32(sd.Calls()))
		message.PrefillRates = append(message.PrefillRates, float32(sd.PrefillRate()))
	}
	for _, cs := range hb.stores {
		message.Stores = append(message.Stores, &wire.CacheStoreState{Store: cs.Store(), Run: cs.Run(), Down: cs.Down()})
	}
	for _, an := range hb.announcements {
		message.Announcements = append(message.Announcements,
			&wire.WeightAnnouncement{Model: an.Model(), Version: an.Version(), AgeMs: uint32(an.Age().Milliseconds())})
	}
	return message
}

// decodeHints returns the batch in a message that has just come.
func decodeHints(now time.Time, ch *wire.CacheHints) hintBatch {
	hb := hintBatch{crashes: decodeCrashNews(now, ch), works: ch.GetWorks()}
	for i := range min(len(ch.GetServers()), len(ch.GetKeys()), len(ch.GetVersions())) {
		hb.hints = append(hb.hints, pick.NewHint(ch.GetServers()[i], ch.GetKeys()[i], ch.GetVersions()[i]))
	}
	for i := range min(len(ch.GetPaced()), len(ch.GetRatios()), len(ch.GetCalls())) {
		sd := pick.NewSlowdown(ch.GetPaced()[i], float64(ch.GetRatios()[i]), int(ch.GetCalls()[i]))
		if i < len(ch.GetPrefillRates()) {
			sd = sd.WithPrefillRate(float64(ch.GetPrefillRates()[i]))
		}
		hb.slowdowns = append(hb.slowdowns, sd)
	}
	for _, cs := range ch.GetStores() {
		hb.stores = append(hb.stores, pick.NewCacheStoreState(cs.GetStore(), cs.GetRun(), cs.GetDown()))
	}
	for _, an := range ch.GetAnnouncements() {
		hb.announcements = append(hb.announcements,
			pick.NewAnnouncement(an.GetModel(), an.GetVersion(), time.Duration(an.GetAgeMs())*time.Millisecond))
	}
	return hb
}

// relayNews passes a tender's message on to the other gates of the zone with the next hints. A later message replaces it, but for the changes
// of the engine's cache. Messages may overtake each other, so that one about an earlier run replaces none, and the cache of a run ends with it.
func (hx *hintExchange) relayNews(ns *wire.EngineNews) {
	hx.mu.Lock()
	defer hx.mu.Unlock()
	ns.Relay = false
	earlier := hx.news[ns.GetServerId()]
	switch {
	case ns.GetStartUnixMilli() < earlier.GetStartUnixMilli():
		return
	case ns.GetStartUnixMilli() == earlier.GetStartUnixMilli() && ns.GetVersion() == earlier.GetVersion():
		ns.Cached, ns.Evicted = mergeCacheChanges(earlier, ns)
	}
	hx.news[ns.GetServerId()] = ns
}

// mergeCacheChanges returns the changes of an engine's cache in two messages. Of one part the later change holds.
func mergeCacheChanges(earlier, later *wire.EngineNews) (cached, evicted []uint64) {
	cached, evicted = later.GetCached(), later.GetEvicted()
	changed := make(map[uint64]bool, len(cached)+len(evicted))
	for _, key := range append(slices.Clone(cached), evicted...) {
		changed[key] = true
	}
	for _, key := range earlier.GetCached() {
		if !changed[key] {
			cached = append(cached, key)
		}
	}
	for _, key := range earlier.GetEvicted() {
		if !changed[key] {
			evicted = append(evicted, key)
		}
	}
	return cached, evicted
}

// reportStore applies a report about a cache store and tells the other gates.
func (hx *hintExchange) reportStore(now time.Time, cs pick.CacheStoreState) {
	hx.gate.picker.ApplyCacheStoreStates(now, []pick.CacheStoreState{cs})
	hx.mu.Lock()
	defer hx.mu.Unlock()
	hx.stores = append(hx.stores, cs)
}

// relayHints passes hints of another zone on to the other gates of the zone.
func (hx *hintExchange) relayHints(hb hintBatch) {
	hx.mu.Lock()
	defer hx.mu.Unlock()
	hx.relayed.add(hb)
}

// send sends what has come together since the last call. It does not wait for the calls to end.
func (hx *hintExchange) send(ctx context.Context) {
	gt := hx.gate
	own := hintBatch{hints: gt.picker.TakeHints(), slowdowns: gt.picker.TakeSlowdowns()}
	now := time.Now()
	hx.mu.Lock()
	own.stores, hx.stores = hx.stores, nil
	own.crashes = gt.crashes.takeNews()
	var announcements []pick.Announcement
	var rules []crash.Rule
	if now.Sub(hx.announcedAt) >= announcementInterval {
		announcements, rules, hx.announcedAt = gt.picker.Announcements(now), gt.crashes.rulesToTell(now), now
	}
	if now.Sub(hx.workToldAt) >= gt.workInterval(now) {
		own.works, hx.workToldAt = gt.ownWork(now), now
	}
	local, news := own, hx.news
	local.add(hx.relayed)
	hx.relayed, hx.news = hintBatch{}, make(map[string]*wire.EngineNews)
	hx.remote.add(own)
	var remote hintBatch
	if now.Sub(hx.remoteSentAt) >= remoteHintInterval || len(announcements)+len(rules) > 0 {
		remote, hx.remote, hx.remoteSentAt = hx.remote, hintBatch{}, now
	}
	hx.mu.Unlock()
	local.announcements, remote.announcements = announcements, announcements
	local.crashes.rules, remote.crashes.rules = rules, rules
	if local.size()+len(news) > 0 {
		message := local.message(now)
		for _, ns := range news {
			message.News = append(message.News, ns)
		}
		for _, address := range gt.zonePeers() {
			hx.call(ctx, address, message)
		}
	}
	if remote.size() > 0 {
		message := remote.message(now)
		message.Relay = true
		relays := gt.gateList.Relays(gt.opts.Zone, gt.opts.PeerAddress, func(address string) bool { return hx.isUsable(now, address) })
		for _, address := range relays {
			hx.call(ctx, address, message)
		}
	}
}

// introduce makes this gate known to the other gates, whose nodes table may not have its row yet. One gate of each other zone passes that on.
func (hx *hintExchange) introduce(ctx context.Context) {
	opts := hx.gate.opts
	gi := &wire.GateInfo{Address: opts.PeerAddress, Zone: opts.Zone, Capacity: opts.Capacity}
	hx.sendIntroduction(ctx, gi)
	now := time.Now()
	for _, address := range hx.gate.gateList.Relays(opts.Zone, opts.PeerAddress, func(address string) bool { return hx.isUsable(now, address) }) {
		hx.call(ctx, address, &wire.CacheHints{Sender: gi, Relay: true})
	}
}

// sendIntroduction makes a gate known to the other gates of this gate's zone.
func (hx *hintExchange) sendIntroduction(ctx context.Context, gi *wire.GateInfo) {
	for _, address := range hx.gate.zonePeers() {
		hx.call(ctx, address, &wire.CacheHints{Sender: gi})
	}
}

// isUsable reports whether a gate may be called now.
func (hx *hintExchange) isUsable(now time.Time, address string) bool {
	hx.mu.Lock()
	defer hx.mu.Unlock()
	pc := hx.peers[address]
	return !pc.busy && !now.Before(pc.retryAt)
}

// call sends a message to a gate in the background, unless another call to it is in progress or failed within peerBackoff.
func (hx *hintExchange) call(parent context.Context, address string, message *wire.CacheHints) {
	if !hx.isUsable(time.Now(), address) {
		return
	}
	hx.setPeer(address, peerCalls{busy: true})
	hx.calls.start(func() {
		ctx, cancel := context.WithTimeout(parent, hintTimeout)
		defer cancel()
		var done peerCalls
		if _, err := hx.gate.opts.Links.Node(address).Hint(ctx, message); err != nil {
			hx.gate.log.WithError(err).WithField("peer", address).Debug("sending hints to peer failed")
			done.retryAt = time.Now().Add(peerBackoff)
		}
		hx.setPeer(address, done)
	})
}

// setPeer sets the state of the calls to a gate; a state without restrictions is not kept.
func (hx *hintExchange) setPeer(address string, pc peerCalls) {
	hx.mu.Lock()
	defer hx.mu.Unlock()
	if pc == (peerCalls{}) {
		delete(hx.peers, address)
		return
	}
	hx.peers[address] = pc
}

// Hint handles the Hint RPC: it applies what another gate knows about engines' caches and speed, and passes it on if asked to.
func (nh *nodeHandler) Hint(ctx context.Context, ch *wire.CacheHints) (*wire.Received, error) {
	gt, now := nh.gate, time.Now()
	if gi := ch.GetSender(); gi.GetAddress() != "" {
		gt.gateList.add(Node{Role: RoleGate, Address: gi.GetAddress(), Zone: gi.GetZone(), Capacity: gi.GetCapacity()})
		gt.watcher.countSenders()
		gt.noticeIntroduction(gi.GetAddress())
		if ch.GetRelay() {
			// The calls outlive this one.
			gt.hints.sendIntroduction(context.WithoutCancel(ctx), gi)
		}
	}
	hb := decodeHints(now, ch)
	gt.picker.ApplyHints(now, hb.hints)
	gt.picker.ApplySlowdowns(now, hb.slowdowns)
	gt.picker.ApplyCacheStoreStates(now, hb.stores)
	if gt.picker.ApplyAnnouncements(now, hb.announcements) {
		gt.requestPull()
	}
	gt.crashes.apply(now, hb.crashes)
	gt.applyWorks(now, hb.works)
	for _, ns := range ch.GetNews() {
		gt.applyNews(now, ns)
	}
	if ch.GetRelay() {
		gt.hints.relayHints(hb)
	}
	return &wire.Received{}, nil
}
