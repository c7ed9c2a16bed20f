package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"shallotcleat/core/origin"
	"shallotcleat/io/wire"
)

// Parameters of the questions about streams that no gate knows.
const (
	// maxOriginQuestions bounds the questions of one round, and maxOriginReaders the other gates that are asked to read the store in it.
	maxOriginQuestions = 4096
	maxOriginReaders   = 2
	// askReaderTimeout bounds a question to another gate; it exceeds originReadWait.
	askReaderTimeout = 1200 * time.Millisecond
	// readerBackoff is how long a gate that did not reply is not asked to read.
	readerBackoff = 2 * time.Second
	// unknownTTL is how long a stream that the store did not have is refused without another read, and maxUnknown bounds such streams.
	unknownTTL = 2 * time.Second
	maxUnknown = 8192
)

// originSource is how a gate learned where a resumed stream began, or that it did not.
type originSource string

const (
	// fromGates means that a gate had the record, and fromReleases that the stream can have begun in one place only.
	fromGates    originSource = "gates"
	fromReleases originSource = "releases"
	// fromStore means that the record was read from the store.
	fromStore originSource = "store"
	// originUnknown means that neither gates nor the store know the stream, and originNotKnownYet that the store could not be read.
	originUnknown     originSource = "unknown"
	originNotKnownYet originSource = "not_known_yet"
)

// originLookup finds where streams began that no gate knows, by the log in the store. The first gate of a ranking that replies reads it for all,
// so that the reads do not grow with the number of gates. Questions that wait for the same answer share a message.
type originLookup struct {
	gate *Gate
	// rounds is the goroutine that answers questions, while there are any.
	rounds tasks
	// unknown has the streams that the store did not have, with the time of the read.
	unknown *lru.Cache[uint64, time.Time]

	// mu guards the fields below.
	mu        sync.Mutex
	waiting   []*originQuestion
	isRunning bool
	// silentUntil is until when gates that did not reply are not asked, by their addresses.
	silentUntil map[string]time.Time
}

// originQuestion is a question about a stream. The other fields are valid once done is closed.
type originQuestion struct {
	stream uint64
	done   chan struct{}
	source originSource
	record origin.Record
}

func newOriginLookup(gt *Gate) *originLookup {
	unknown, err := lru.New[uint64, time.Time](maxUnknown)
	if err != nil {
		panic(err) // The size is positive.
	}
	return &originLookup{gate: gt, unknown: unknown, silentUntil: make(map[string]time.Time)}
}

// isUnknown reports whether the store lately did not have a stream.
func (ol *originLookup) isUnknown(stream uint64) bool {
	at, ok := ol.unknown.Get(stream)
	return ok && time.Since(at) < unknownTTL
}

// find returns what the log says of a stream.
func (ol *originLookup) find(ctx context.Context, stream uint64) (origin.Record, originSource) {
	oq := &originQuestion{stream: stream, done: make(chan struct{})}
	ol.mu.Lock()
	ol.waiting = append(ol.waiting, oq)
	if !ol.isRunning {
		ol.isRunning = ol.rounds.start(func() { ol.run(context.WithoutCancel(ctx)) })
	}
	isRunning := ol.isRunning
	ol.mu.Unlock()
	if !isRunning {
		// The gate ends.
		return origin.Record{}, originNotKnownYet
	}
	select {
	case <-oq.done:
		return oq.record, oq.source
	case <-ctx.Done():
		return origin.Record{}, originNotKnownYet
	}
}

// run answers the questions that wait, all at once, until there are none.
func (ol *originLookup) run(ctx context.Context) {
	for {
		ol.mu.Lock()
		questions := ol.waiting[:min(len(ol.waiting), maxOriginQuestions)]
		ol.waiting = ol.waiting[len(questions):]
		if len(questions) == 0 {
			ol.waiting, ol.isRunning = nil, false
			ol.mu.Unlock()
			return
		}
		ol.mu.Unlock()
		ol.answer(ctx, questions)
	}
}

func (ol *originLookup) answer(ctx context.Context, questions []*originQuestion) {
	streams := make([]uint64, 0, len(questions))
	for _, oq := range questions {
		streams = append(streams, oq.stream)
	}
	slices.Sort(streams)
	began := time.Now()
	records, isRead := ol.ask(ctx, slices.Compact(streams))
	known := make(map[uint64]origin.Record, len(records))
	for _, rc := range records {
		known[rc.Stream()] = rc
	}
	for _, oq := range questions {
		rc, ok := known[oq.stream]
		switch {
		case ok:
			oq.record, oq.source = rc, fromStore
		case isRead:
			oq.source = originUnknown
			ol.unknown.Add(oq.stream, began)
		default:
			oq.source = originNotKnownYet
		}
		close(oq.done)
	}
}

// ask lets the first gate that replies read the log, or this gate. It returns the records of those streams that the log has, and false if it could not
// be read.
func (ol *originLookup) ask(parent context.Context, streams []uint64) ([]origin.Record, bool) {
	gt := ol.gate
	for _, address := range ol.readers(time.Now()) {
		ctx, cancel := context.WithTimeout(parent, askReaderTimeout)
		reply, err := gt.opts.Links.Node(address).FindStoredOrigins(ctx, &wire.StreamQueries{Streams: streams})
		cancel()
		if err != nil {
			gt.log.WithError(err).WithField("peer", address).Debug("asking a peer to read the origins of streams failed")
			ol.setSilent(address)
			continue
		}
		if reply.GetUnread() {
			// The store may refuse that gate only.
			break
		}
		return decodeOrigins(time.Now(), reply.GetOrigins()), true
	}
	ctx, cancel := context.WithTimeout(parent, originReadWait)
	defer cancel()
	records, err := gt.originReader.find(ctx, streams)
	return records, err == nil
}

// readers returns the gates that are asked to read before this one reads.
func (ol *originLookup) readers(now time.Time) []string {
	ol.mu.Lock()
	defer ol.mu.Unlock()
	var readers []string
	for _, address := range ol.gate.gateList.Ranked(originsTable) {
		if address == ol.gate.opts.PeerAddress || len(readers) == maxOriginReaders {
			break
		}
		if !now.Before(ol.silentUntil[address]) {
			readers = append(readers, address)
		}
	}
	return readers
}

// isSilent reports whether a gate lately did not reply.
func (ol *originLookup) isSilent(now time.Time, address string) bool {
	ol.mu.Lock()
	defer ol.mu.Unlock()
	return now.Before(ol.silentUntil[address])
}

// setSilent records that a gate did not reply.
func (ol *originLookup) setSilent(address string) {
	ol.mu.Lock()
	defer ol.mu.Unlock()
	ol.silentUntil[address] = time.Now().Add(readerBackoff)
}
