package bill

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"shallotcleat/core/usage"
	"shallotcleat/io/object"
	"shallotcleat/io/trace"
)

// Limits of a writer.
const (
	// maxBufferedRecords is the maximum number of records that wait for the object store; each takes about 400 bytes.
	maxBufferedRecords = 20_000
	// maxBatchRecords is the maximum number of records in one object.
	maxBatchRecords = 5_000
	// maxConfirmedAttempts is the maximum number of unsent confirmations for one agent.
	maxConfirmedAttempts = 5_000
)

// objectPrefix is the prefix of the object names of all batches.
const objectPrefix = "usage-"

// Writer writes the usage records of one process to the object store. It is safe for concurrent use.
type Writer struct {
	objects object.Store
	rec     *trace.Recorder
	name    string

	// flushMu serializes calls of Flush; it is locked before mu.
	flushMu sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// buffered are the records that are not written, oldest first.
	buffered []usage.Record
	// confirmed are the ids of the attempts whose records are written, by the address of the agent to notify.
	confirmed map[string][]string
	// batchCount is the number of batches named so far.
	batchCount int
	// dropped is the number of records dropped since the start.
	dropped int
}

// NewWriter returns a writer. The name must be unique to this start of the process; it is part of the object names of
// the batches.
func NewWriter(objects object.Store, rec *trace.Recorder, name string) *Writer {
	return &Writer{objects: objects, rec: rec, name: name, confirmed: make(map[string][]string)}
}

// Add buffers a record. If the buffer is full, it drops and counts the oldest record.
func (wr *Writer) Add(rc usage.Record) {
	wr.mu.Lock()
	wr.buffered = append(wr.buffered, rc)
	full := len(wr.buffered) > maxBufferedRecords
	if full {
		wr.buffered = wr.buffered[1:]
		wr.dropped++
	}
	dropped := wr.dropped
	wr.mu.Unlock()
	if full {
		wr.rec.RecordEvent(rc.Request, trace.UsageRecordsLost, "lost_in_all", strconv.Itoa(dropped))
	}
}

// DroppedCount returns the number of dropped records.
func (wr *Writer) DroppedCount() int {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.dropped
}

// Flush writes the buffered records. Records that it cannot write stay buffered.
func (wr *Writer) Flush(ctx context.Context) error {
	wr.flushMu.Lock()
	defer wr.flushMu.Unlock()
	for {
		batch, name := wr.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		text, err := json.Marshal(batch)
		if err != nil {
			return fmt.Errorf("encode usage records: %w", err)
		}
		if err := wr.objects.Put(ctx, name, text); err != nil {
			wr.putBack(batch)
			return fmt.Errorf("write usage records: %w", err)
		}
		wr.recordWritten(batch)
	}
}

// nextBatch removes the oldest records from the buffer and returns them with the object name of their batch.
func (wr *Writer) nextBatch() ([]usage.Record, string) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	count := min(len(wr.buffered), maxBatchRecords)
	batch := wr.buffered[:count:count]
	wr.buffered = wr.buffered[count:]
	if count > 0 {
		wr.batchCount++
	}
	return batch, fmt.Sprintf("%s%s-%08d", objectPrefix, wr.name, wr.batchCount)
}

// putBack returns a batch to the buffer after a failed write. The write may have taken effect; a later batch then
// contains duplicates.
func (wr *Writer) putBack(batch []usage.Record) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.buffered = append(batch, wr.buffered...)
}

// recordWritten records which attempts to confirm to which agents.
func (wr *Writer) recordWritten(batch []usage.Record) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	for _, rc := range batch {
		if rc.Source == usage.Entry && len(wr.confirmed[rc.Agent]) < maxConfirmedAttempts {
			wr.confirmed[rc.Agent] = append(wr.confirmed[rc.Agent], rc.Try)
		}
	}
}

// TakeConfirmed returns the attempts at an agent whose records are written, each once. If a confirmation does not reach
// the agent, the agent writes the record itself.
func (wr *Writer) TakeConfirmed(agent string) []string {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	attempts := wr.confirmed[agent]
	delete(wr.confirmed, agent)
	return attempts
}

// Read returns all usage records in an object store, including duplicates.
func Read(ctx context.Context, objects object.Store) ([]usage.Record, error) {
	names, err := objects.List(ctx, objectPrefix)
	if err != nil {
		return nil, fmt.Errorf("list usage records: %w", err)
	}
	var records []usage.Record
	for _, name := range names {
		text, err := objects.Get(ctx, name)
		if err != nil {
			return nil, fmt.Errorf("read usage records: %w", err)
		}
		var batch []usage.Record
		if err := json.Unmarshal(text, &batch); err != nil {
			return nil, fmt.Errorf("decode usage records in %s: %w", name, err)
		}
		records = append(records, batch...)
	}
	return records, nil
}
