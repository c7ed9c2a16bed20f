package gate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotcleat/core/origin"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
)

// Parameters of the log of streams' origins in the store.
const (
	originsTable = "origins"
	// originLogRows is the number of rows of the log, of which each write replaces the oldest one, and originLogInterval the time between writes:
	// the log reaches back for the product of both, during which callers take up their streams.
	originLogRows     = 128
	originLogInterval = 200 * time.Millisecond
	// maxOriginRowRecords bounds a row, and maxUnwrittenOrigins the records that wait while the store does not answer.
	maxOriginRowRecords = 3000
	maxUnwrittenOrigins = 30_000
)

// originLog writes to the store at which software versions streams began, as long as the releases alone do not show it. The first gate of a ranking
// writes for all. Each gate reads the log as it starts; originReader reads it later.
type originLog struct {
	gate *Gate
	// wake has an element while records are to be written.
	wake chan struct{}

	// mu guards the fields below.
	mu        sync.Mutex
	unwritten []origin.Record
	isLoaded  bool
	// versions are those of the rows in the store, zero for rows that do not exist, and next is the row to replace.
	versions [originLogRows]uint64
	next     int
}

func newOriginLog(gt *Gate) *originLog { return &originLog{gate: gt, wake: make(chan struct{}, 1)} }

// add lets records be written. It does not wait for that.
func (ol *originLog) add(records []origin.Record) {
	ol.mu.Lock()
	defer ol.mu.Unlock()
	if len(ol.unwritten) < maxUnwrittenOrigins {
		ol.unwritten = append(ol.unwritten, records...)
	}
	select {
	case ol.wake <- struct{}{}:
	default:
	}
}

// run writes records until ctx is done.
func (ol *originLog) run(ctx context.Context) {
	for !ol.load(ctx, storeTimeout) {
		timer.Sleep(ctx, originLogInterval)
		if ctx.Err() != nil {
			return
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ol.wake:
		}
		for records := ol.take(); len(records) > 0 && ctx.Err() == nil; records = ol.take() {
			if err := ol.write(ctx, records); err != nil {
				ol.gate.log.WithError(err).Info("writing the origins of streams failed; retrying")
				ol.add(records)
			}
			timer.Sleep(ctx, originLogInterval)
		}
	}
}

// take returns the records of the next row.
func (ol *originLog) take() []origin.Record {
	ol.mu.Lock()
	defer ol.mu.Unlock()
	count := min(len(ol.unwritten), maxOriginRowRecords)
	records := ol.unwritten[:count]
	ol.unwritten = ol.unwritten[count:]
	return records
}

// load reads the log, unless it was read, and reports whether the gate has what it says.
func (ol *originLog) load(parent context.Context, timeout time.Duration) bool {
	ol.mu.Lock()
	isLoaded := ol.isLoaded
	ol.mu.Unlock()
	if isLoaded {
		return true
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	rows, _, err := ol.gate.opts.Source.Read(ctx, originsTable)
	if err != nil {
		ol.gate.log.WithError(err).Info("reading the origins of streams failed; retrying")
		return false
	}
	ol.mu.Lock()
	defer ol.mu.Unlock()
	var newest uint64
	for _, rw := range rows {
		index, so, ok := ol.gate.decodeOriginRow(rw)
		if !ok {
			continue
		}
		ol.versions[index] = rw.Revision()
		if rw.Revision() > newest {
			newest, ol.next = rw.Revision(), (index+1)%originLogRows
		}
		now := time.Now()
		if now.Sub(time.UnixMilli(so.GetAtUnixMilli())).Abs() > origin.LogTTL {
			continue
		}
		for _, rc := range decodeOrigins(now, so) {
			ol.gate.origins.table.Put(now, rc)
		}
	}
	ol.isLoaded = true
	return true
}

// write replaces the oldest row. If another gate has replaced it meanwhile, the next row is tried.
func (ol *originLog) write(parent context.Context, records []origin.Record) error {
	so := encodeOrigins(records)
	so.AtUnixMilli = time.Now().UnixMilli()
	value, err := proto.Marshal(so)
	if err != nil {
		return fmt.Errorf("encode origins: %w", err)
	}
	for {
		ctx, cancel := context.WithTimeout(parent, storeTimeout)
		index := ol.next
		path := fmt.Sprintf("%s/%03d", originsTable, index)
		versions, err := ol.gate.opts.Store.Commit(ctx, []table.Write{{Key: path, Value: value, ExpectedVersion: ol.versions[index]}})
		cancel()
		var ce *table.ConflictError
		isConflict := errors.As(err, &ce)
		if err != nil && !isConflict {
			return fmt.Errorf("write origins: %w", err)
		}
		ol.next = (index + 1) % originLogRows
		if !isConflict {
			ol.versions[index] = versions[0]
			return nil
		}
		ol.versions[index] = ce.Cell(path).Version
		if parent.Err() != nil {
			return fmt.Errorf("write origins: %w", err)
		}
	}
}
