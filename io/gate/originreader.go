package gate

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotcleat/core/origin"
	"shallotcleat/io/feed"
	"shallotcleat/io/timer"
	"shallotcleat/io/wire"
)

// Parameters of the reads of the log of streams' origins.
const (
	// originReadInterval is the least time between the beginnings of two reads, however many callers name streams that nobody began.
	originReadInterval = 250 * time.Millisecond
	// originReadTimeout bounds a read, and originReadWait how long a question waits for one that begins after it.
	originReadTimeout = 700 * time.Millisecond
	originReadWait    = time.Second
	// originCopyIdle is how long the copy of the log is kept unused.
	originCopyIdle = time.Minute
)

// originReader reads the log of streams' origins for all questions that wait, and keeps a copy, so that a further read brings new rows only.
type originReader struct {
	gate *Gate
	// reads are the reads in progress.
	reads tasks

	// mu guards the fields below.
	mu sync.Mutex
	// log is the copy, complete up to a revision of the store; it is nil before the first read. usedAt is when it was last used.
	log      *origin.Log
	revision uint64
	usedAt   time.Time
	// current is the read that is about to begin or in progress, or nil, and next the earliest time of the next one.
	current *originRead
	next    time.Time
}

// originRead is a read of the log. The other fields are valid once done is closed.
type originRead struct {
	done    chan struct{}
	beganAt time.Time
	err     error
}

// errGateEnds means that nothing is read any more since the gate ends.
var errGateEnds = errors.New("the gate ends")

func newOriginReader(gt *Gate) *originReader { return &originReader{gate: gt} }

// find returns the records that the log has of some streams, by a read that begins after the call.
func (or *originReader) find(ctx context.Context, streams []uint64) ([]origin.Record, error) {
	asked := time.Now()
	for {
		rd := or.join(ctx)
		select {
		case <-rd.done:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for a read of the origins of streams: %w", ctx.Err())
		}
		switch {
		case rd.beganAt.Before(asked):
			// It may lack what was written before the question.
			continue
		case rd.err != nil:
			return nil, rd.err
		}
		return or.lookup(streams), nil
	}
}

// join returns the current read; if there is none, it begins one as soon as that is allowed.
func (or *originReader) join(ctx context.Context) *originRead {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.current == nil {
		rd, delay := &originRead{done: make(chan struct{})}, time.Until(or.next)
		if !or.reads.start(func() { or.run(context.WithoutCancel(ctx), rd, delay) }) {
			rd.beganAt, rd.err = time.Now(), errGateEnds
			close(rd.done)
			return rd
		}
		or.current = rd
	}
	return or.current
}

func (or *originReader) run(parent context.Context, rd *originRead, delay time.Duration) {
	timer.Sleep(parent, delay)
	rd.beganAt = time.Now()
	ctx, cancel := context.WithTimeout(parent, originReadTimeout)
	defer cancel()
	rd.err = or.read(ctx)
	if rd.err != nil {
		or.gate.log.WithError(rd.err).WithField("event", "origins_not_read").Info("reading the origins of streams failed")
	}
	or.mu.Lock()
	defer or.mu.Unlock()
	or.current, or.next = nil, rd.beganAt.Add(originReadInterval)
	close(rd.done)
}

// read brings the copy up to date. It reads the whole log if there is no copy, or the store no longer has all changes since.
func (or *originReader) read(ctx context.Context) error {
	or.mu.Lock()
	revision := or.revision
	or.mu.Unlock()
	if revision > 0 {
		rows, latest, err := or.gate.opts.Source.Watch(ctx, originsTable, revision, 0)
		switch {
		case err == nil:
			or.add(rows, latest)
			return nil
		case !errors.Is(err, feed.ErrCompacted):
			return fmt.Errorf("read new origins of streams: %w", err)
		}
	}
	rows, latest, err := or.gate.opts.Source.Read(ctx, originsTable)
	if err != nil {
		return fmt.Errorf("read the origins of streams: %w", err)
	}
	or.add(rows, latest)
	return nil
}

// add adds rows to the copy, which is complete up to a revision then.
func (or *originReader) add(rows []feed.Row, revision uint64) {
	now := time.Now()
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.log == nil {
		or.log = origin.NewLog()
	}
	or.revision, or.usedAt = revision, now
	for _, rw := range rows {
		if rw.Deleted() {
			continue
		}
		if _, so, ok := or.gate.decodeOriginRow(rw); ok {
			or.log.Add(now, rw.Revision(), time.UnixMilli(so.GetAtUnixMilli()), decodeOrigins(now, so))
		}
	}
}

// lookup returns the records that the copy has of some streams.
func (or *originReader) lookup(streams []uint64) []origin.Record {
	now := time.Now()
	or.mu.Lock()
	defer or.mu.Unlock()
	or.usedAt = now
	var records []origin.Record
	if or.log == nil {
		return nil
	}
	for _, stream := range streams {
		if rc, ok := or.log.Find(now, stream); ok {
			records = append(records, rc)
		}
	}
	return records
}

// dropIdle drops the copy if it was not used for a while.
func (or *originReader) dropIdle() {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.current == nil && time.Since(or.usedAt) > originCopyIdle {
		or.log, or.revision = nil, 0
	}
}

// decodeOriginRow decodes a row of the log and its index; ok is false if it is not readable.
func (gt *Gate) decodeOriginRow(rw feed.Row) (index int, so *wire.StreamOrigins, ok bool) {
	so = &wire.StreamOrigins{}
	index, err := strconv.Atoi(rw.Key())
	if err != nil || index < 0 || index >= originLogRows || proto.Unmarshal(rw.Value(), so) != nil {
		gt.log.WithField("row", rw.Key()).Warn("cannot decode a row about the origins of streams; skipping it")
		return 0, nil, false
	}
	return index, so, true
}

// FindStoredOrigins handles the FindStoredOrigins RPC.
func (nh *nodeHandler) FindStoredOrigins(parent context.Context, sq *wire.StreamQueries) (*wire.StoredOrigins, error) {
	ctx, cancel := context.WithTimeout(parent, originReadWait)
	defer cancel()
	records, err := nh.gate.originReader.find(ctx, sq.GetStreams())
	if err != nil {
		// The error is logged once for all questions that waited for the read.
		return &wire.StoredOrigins{Unread: true}, nil
	}
	return &wire.StoredOrigins{Origins: encodeOrigins(records)}, nil
}
