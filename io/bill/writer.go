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
	// maxRecords bounds the records that wait for the object store; each takes about 400 bytes.
	maxRecords = 20_000
	// maxBatch bounds the records of one object.
	maxBatch = 5_000
	// maxConfirmed bounds the confirmations that wait for one agent.
	maxConfirmed = 5_000
)

// prefix begins the names of all batches.
const prefix = "usage-"

// Writer writes the records of one process; its methods may be called from any goroutine.
type Writer struct {
	objects object.Store
	rec     *trace.Recorder
	name    string

	// flushMu lets one flush run at a time.
	flushMu sync.Mutex
	// mu guards the fields below.
	mu        sync.Mutex
	waiting   []usage.Record
	confirmed map[string][]string
	batches   int
	lost      int
}

// NewWriter returns a writer; name is unique to this start of the process and becomes part of the batches' names.
func NewWriter(objects object.Store, rec *trace.Recorder, name string) *Writer {
	return &Writer{objects: objects, rec: rec, name: name, confirmed: make(map[string][]string)}
}

// Add takes a record. If too many wait, the oldest is dropped and counted.
func (wr *Writer) Add(rc usage.Record) {
	wr.mu.Lock()
	wr.waiting = append(wr.waiting, rc)
	dropped := len(wr.waiting) > maxRecords
	if dropped {
		wr.waiting = wr.waiting[1:]
		wr.lost++
	}
	lost := wr.lost
	wr.mu.Unlock()
	if dropped {
		wr.rec.Note(rc.Request, trace.UsageLost, "lost_in_all", strconv.Itoa(lost))
	}
}

// DroppedCount returns how many records were dropped.
func (wr *Writer) DroppedCount() int {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.lost
}

// Flush writes the waiting records; what can't be written waits on.
func (wr *Writer) Flush(ctx context.Context) error {
	wr.flushMu.Lock()
	defer wr.flushMu.Unlock()
	for {
		batch, name := wr.next()
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
		wr.stored(batch)
	}
}

// next takes the oldest records and the name of their batch.
func (wr *Writer) next() ([]usage.Record, string) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	count := min(len(wr.waiting), maxBatch)
	batch := wr.waiting[:count:count]
	wr.waiting = wr.waiting[count:]
	if count > 0 {
		wr.batches++
	}
	return batch, fmt.Sprintf("%s%s-%08d", prefix, wr.name, wr.batches)
}

// putBack lets records wait on. They may have been written nonetheless; a later batch then has copies.
func (wr *Writer) putBack(batch []usage.Record) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.waiting = append(batch, wr.waiting...)
}

// stored notes which tries can be confirmed to which agents.
func (wr *Writer) stored(batch []usage.Record) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	for _, rc := range batch {
		if rc.Source == usage.Entry && len(wr.confirmed[rc.Agent]) < maxConfirmed {
			wr.confirmed[rc.Agent] = append(wr.confirmed[rc.Agent], rc.Try)
		}
	}
}

// TakeConfirmed returns the tries of an agent whose records are stored, each once. Those that the agent never hears of
// it writes itself.
func (wr *Writer) TakeConfirmed(agent string) []string {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	tries := wr.confirmed[agent]
	delete(wr.confirmed, agent)
	return tries
}

// Read returns all records in an object store.
func Read(ctx context.Context, objects object.Store) ([]usage.Record, error) {
	names, err := objects.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("read usage records: %w", err)
	}
	var records []usage.Record
	for _, name := range names {
		text, err := objects.Get(ctx, name)
		if err != nil {
			return nil, fmt.Errorf("read usage records: %w", err)
		}
		var batch []usage.Record
		if err := json.Unmarshal(text, &batch); err != nil {
			return nil, fmt.Errorf("read usage records of %s: %w", name, err)
		}
		records = append(records, batch...)
	}
	return records, nil
}
