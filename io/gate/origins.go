package gate

import (
	"context"
	"math"
	"sync"
	"time"

	"shallotcleat/core/origin"
	"shallotcleat/core/runs"
	"shallotcleat/io/timer"
	"shallotcleat/io/wire"
)

// Parameters of the exchange of streams' origins.
const (
	// originHolders is how many other gates know at which software version a stream of this gate began.
	originHolders = 2
	// tellOriginsTimeout bounds a message to a holder, and holderBackoff is how long one that did not reply is not used.
	tellOriginsTimeout = 300 * time.Millisecond
	holderBackoff      = 2 * time.Second
	// collectOriginsDelay is the time for which records for the gate that writes them are collected.
	collectOriginsDelay = 100 * time.Millisecond
	// findOriginTimeout bounds the question at which version a stream began.
	findOriginTimeout = 150 * time.Millisecond
	// maxUntoldOrigins bounds the records that wait for one gate.
	maxUntoldOrigins = 4096
	// recentOrigins is for how long a gate keeps its own records, to save those of streams that callers may still take up.
	recentOrigins = 20 * time.Second
)

// origins knows at which software versions streams began. Each gate tells two others as the first event of a stream goes out, since it may be
// killed right then; the gate that gets a resumed stream asks all others.
type origins struct {
	gate  *Gate
	table *origin.Table
	// calls are the messages in progress.
	calls tasks

	// mu guards the fields below.
	mu sync.Mutex
	// untold holds the records that each gate has not been told yet, and telling the gates to which a message is in progress; awayUntil is until
	// when gates that did not reply are not used, by their addresses.
	untold    map[listener][]origin.Record
	telling   map[listener]bool
	awayUntil map[string]time.Time
	// recent are this gate's own records of the last recentOrigins, the oldest first.
	recent []recentOrigin
}

// listener is a gate that is told records, as a holder or, if writes is set, as the one that writes them to the store.
type listener struct {
	address string
	writes  bool
}

// recentOrigin is a record with the time at which its stream began.
type recentOrigin struct {
	at     time.Time
	record origin.Record
}

func newOrigins(gt *Gate) *origins {
	return &origins{gate: gt, table: origin.NewTable(), untold: make(map[listener][]origin.Record), telling: make(map[listener]bool),
		awayUntil: make(map[string]time.Time)}
}

// record records at which version a stream began, and tells the holders and, unless the releases alone show where it began, the gate that writes
// records to the store. It does not wait for them.
func (og *origins) record(ctx context.Context, records ...origin.Record) {
	now := time.Now()
	og.mu.Lock()
	for len(og.recent) > 0 && now.Sub(og.recent[0].at) > recentOrigins {
		og.recent = og.recent[1:]
	}
	for _, rc := range records {
		og.table.Put(now, rc)
		og.recent = append(og.recent, recentOrigin{at: now, record: rc})
	}
	og.mu.Unlock()
	og.enqueue(ctx, now, records)
	service, _ := origin.SplitRelease(records[0].Version())
	if og.gate.releases.isUncertain(service) {
		og.enqueueDurable(ctx, now, records)
	}
}

// saveRecent lets this gate's recent records of a service be written to the store.
func (og *origins) saveRecent(ctx context.Context, service string) {
	now := time.Now()
	var records []origin.Record
	og.mu.Lock()
	for _, ro := range og.recent {
		if other, _ := origin.SplitRelease(ro.record.Version()); other == service && now.Sub(ro.at) <= recentOrigins {
			records = append(records, ro.record)
		}
	}
	og.mu.Unlock()
	if len(records) > 0 {
		og.enqueueDurable(ctx, now, records)
	}
}

// enqueue lets the holders be told of records.
func (og *origins) enqueue(ctx context.Context, now time.Time, records []origin.Record) {
	for _, address := range og.holders(now) {
		og.enqueueTo(ctx, listener{address: address}, records)
	}
}

// enqueueDurable lets records be written to the store by the first gate that replies.
func (og *origins) enqueueDurable(ctx context.Context, now time.Time, records []origin.Record) {
	for _, address := range og.gate.gateList.Ranked(originsTable) {
		if address == og.gate.opts.PeerAddress {
			break
		}
		if !og.isAway(now, address) {
			og.enqueueTo(ctx, listener{address: address, writes: true}, records)
			return
		}
	}
	og.gate.originLog.add(records)
}

func (og *origins) isAway(now time.Time, address string) bool {
	og.mu.Lock()
	defer og.mu.Unlock()
	return now.Before(og.awayUntil[address])
}

// enqueueTo lets a gate be told of records.
func (og *origins) enqueueTo(ctx context.Context, ls listener, records []origin.Record) {
	og.mu.Lock()
	defer og.mu.Unlock()
	if len(og.untold[ls]) < maxUntoldOrigins {
		og.untold[ls] = append(og.untold[ls], records...)
	}
	if !og.telling[ls] {
		og.telling[ls] = og.calls.start(func() { og.tell(context.WithoutCancel(ctx), ls) })
	}
}

// holders returns the gates that are told: the first one of this gate's zone, and the first one of another zone.
func (og *origins) holders(now time.Time) []string {
	gt := og.gate
	zones := make(map[string]string)
	for _, nd := range gt.gateList.Gates() {
		zones[nd.Address] = nd.Zone
	}
	og.mu.Lock()
	defer og.mu.Unlock()
	var holders, others []string
	inZone, elsewhere := false, false
	for _, address := range gt.gateList.Ranked(gt.opts.PeerAddress) {
		taken := &elsewhere
		if zones[address] == gt.opts.Zone {
			taken = &inZone
		}
		switch {
		case address == gt.opts.PeerAddress || now.Before(og.awayUntil[address]):
		case *taken:
			others = append(others, address)
		default:
			*taken = true
			holders = append(holders, address)
		}
	}
	holders = append(holders, others...)
	return holders[:min(len(holders), originHolders)]
}

// tell sends a gate what it has not been told, until there is nothing left. If it does not reply, others are told instead; one of them may know
// already.
func (og *origins) tell(parent context.Context, ls listener) {
	for {
		if ls.writes {
			// One gate gets these messages of all others.
			timer.Sleep(parent, collectOriginsDelay)
		}
		records := og.takeUntold(ls)
		if len(records) == 0 {
			return
		}
		message := encodeOrigins(records)
		message.Durable = ls.writes
		ctx, cancel := context.WithTimeout(parent, tellOriginsTimeout)
		_, err := og.gate.opts.Links.Node(ls.address).TellOrigins(ctx, message)
		cancel()
		if err == nil {
			continue
		}
		og.gate.log.WithError(err).WithField("peer", ls.address).Debug("telling a peer at which software versions streams began failed")
		now := time.Now()
		og.setAway(now, ls.address)
		if ls.writes {
			og.enqueueDurable(parent, now, records)
		} else {
			og.enqueue(parent, now, records)
		}
	}
}

// setAway records that a holder did not reply.
func (og *origins) setAway(now time.Time, address string) {
	og.mu.Lock()
	defer og.mu.Unlock()
	og.awayUntil[address] = now.Add(holderBackoff)
}

// takeUntold returns the records that a gate has not been told. If there are none, it records that no message is in progress.
func (og *origins) takeUntold(ls listener) []origin.Record {
	og.mu.Lock()
	defer og.mu.Unlock()
	records := og.untold[ls]
	delete(og.untold, ls)
	if len(records) == 0 {
		delete(og.telling, ls)
	}
	return records
}

// has reports whether this gate has the record of a stream.
func (og *origins) has(stream uint64) bool {
	_, ok := og.table.Find(time.Now(), stream)
	return ok
}

// merge adds a record that was read from the store to those of this gate, and returns what both say.
func (og *origins) merge(rc origin.Record) origin.Record {
	now := time.Now()
	og.table.Put(now, rc)
	merged, _ := og.table.Find(now, rc.Stream())
	return merged
}

// find returns the record of a stream, and false if no gate that replies knows it. The key of a request, unlike that of an id, may be that of
// several streams, so that all gates are asked whether these began at one version. The finding says how many were asked, and how many did not reply.
func (og *origins) find(parent context.Context, stream uint64, isRequest bool) (rc origin.Record, known bool, of originFinding) {
	rc, known = og.table.Find(time.Now(), stream)
	if known && (!isRequest || rc.IsAmbiguous()) {
		return rc, true, of
	}
	ctx, cancel := context.WithTimeout(parent, findOriginTimeout)
	defer cancel()
	peers := og.gate.peers()
	type peerReply struct {
		address string
		origin  *wire.StreamOrigin
		err     error
	}
	replies := make(chan peerReply, len(peers))
	for _, address := range peers {
		isAsked := og.calls.start(func() {
			reply, err := og.gate.opts.Links.Node(address).FindOrigin(ctx, &wire.StreamQuery{Stream: stream})
			replies <- peerReply{address: address, origin: reply, err: err}
		})
		if !isAsked {
			replies <- peerReply{address: address, err: errGateEnds}
		}
	}
	of.gatesAsked = len(peers)
	for range peers {
		pr := <-replies
		if pr.err != nil && parent.Err() == nil {
			og.gate.log.WithError(pr.err).WithField("peer", pr.address).Debug("asking a peer for the software version of a stream failed")
			og.gate.originLookup.setSilent(pr.address)
			of.gatesSilent++
		}
		if !pr.origin.GetKnown() {
			continue
		}
		now := time.Now()
		og.table.Put(now, origin.NewRecord(stream, pr.origin.GetVersion()).WithConditions(
			decodeMoments(now, pr.origin.GetRunServers(), pr.origin.GetRunStarts())...))
		if !isRequest {
			break
		}
	}
	rc, known = og.table.Find(time.Now(), stream)
	return rc, known, of
}

// encodeOrigins returns a message with records.
func encodeOrigins(records []origin.Record) *wire.StreamOrigins {
	message := &wire.StreamOrigins{}
	versions, conditions := make(map[string]uint32), make(map[runs.Run]uint32)
	for _, rc := range records {
		version, ok := versions[rc.Version()]
		if !ok {
			version = uint32(len(message.Versions))
			versions[rc.Version()] = version
			message.Versions = append(message.Versions, rc.Version())
		}
		add := func(condition uint32) {
			message.Streams = append(message.Streams, rc.Stream())
			message.Indexes = append(message.Indexes, version)
			message.Conditions = append(message.Conditions, condition)
		}
		switch {
		case rc.IsSettled():
			add(settledCondition)
		case len(rc.Conditions()) == 0:
			add(0)
		}
		for _, mo := range rc.Conditions() {
			if conditions[mo.Run()] == 0 {
				message.RunServers = append(message.RunServers, mo.Run().Server())
				message.RunStarts = append(message.RunStarts, mo.Run().StartUnixMilli())
				conditions[mo.Run()] = uint32(len(message.RunServers))
			}
			add(conditions[mo.Run()])
		}
	}
	return message
}

// settledCondition stands for the index of a condition where the sender has shown that those of other records of the stream hold.
const settledCondition = math.MaxUint32

// decodeOrigins returns the records in a message that came at now. Their streams began before, so that what holds at now holds for them.
func decodeOrigins(now time.Time, so *wire.StreamOrigins) []origin.Record {
	moments := decodeMoments(now, so.GetRunServers(), so.GetRunStarts())
	var records []origin.Record
	for i := range min(len(so.GetStreams()), len(so.GetIndexes())) {
		index := int(so.GetIndexes()[i])
		if index >= len(so.GetVersions()) {
			continue
		}
		rc := origin.NewRecord(so.GetStreams()[i], so.GetVersions()[index])
		if i < len(so.GetConditions()) {
			switch condition := so.GetConditions()[i]; {
			case condition == settledCondition:
				rc = rc.Settled()
			case int64(condition) > int64(len(moments)):
				continue
			case condition > 0:
				rc = rc.WithConditions(moments[condition-1])
			}
		}
		records = append(records, rc)
	}
	return records
}

// decodeMoments returns the runs in a message that came at now.
func decodeMoments(now time.Time, servers []uint64, starts []int64) []runs.Moment {
	moments := make([]runs.Moment, 0, min(len(servers), len(starts)))
	for i := range min(len(servers), len(starts)) {
		moments = append(moments, runs.NewMoment(runs.NewRun(servers[i], starts[i]), now))
	}
	return moments
}

// TellOrigins handles the TellOrigins RPC.
func (nh *nodeHandler) TellOrigins(_ context.Context, so *wire.StreamOrigins) (*wire.Received, error) {
	now := time.Now()
	records := decodeOrigins(now, so)
	for _, rc := range records {
		nh.gate.origins.table.Put(now, rc)
	}
	if so.GetDurable() {
		nh.gate.originLog.add(records)
	}
	return &wire.Received{}, nil
}

// FindOrigin handles the FindOrigin RPC.
func (nh *nodeHandler) FindOrigin(_ context.Context, sq *wire.StreamQuery) (*wire.StreamOrigin, error) {
	rc, ok := nh.gate.origins.table.Find(time.Now(), sq.GetStream())
	so := &wire.StreamOrigin{Known: ok, Version: rc.Version()}
	conditions := nh.gate.unmet(rc)
	if rc.IsUnresolved() {
		conditions = rc.Conditions()
	}
	for _, mo := range conditions {
		so.RunServers = append(so.RunServers, mo.Run().Server())
		so.RunStarts = append(so.RunStarts, mo.Run().StartUnixMilli())
	}
	return so, nil
}
