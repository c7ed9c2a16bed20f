package bill

import (
	"maps"
	"slices"
	"sync"
	"time"

	"shallotcleat/core/usage"
)

// maxPendingRecords is the number of unconfirmed records above which TakeOlder returns all of them.
const maxPendingRecords = 20_000

// PendingRecords holds an agent's usage records until an entry has confirmed them. It is safe for concurrent use.
type PendingRecords struct {
	// mu guards records.
	mu sync.Mutex
	// records are keyed by the id of the attempt.
	records map[string]pendingRecord
}

type pendingRecord struct {
	record  usage.Record
	addedAt time.Time
}

// NewPendingRecords returns an empty PendingRecords.
func NewPendingRecords() *PendingRecords {
	return &PendingRecords{records: make(map[string]pendingRecord)}
}

// Add adds a record; it replaces an earlier record of the same attempt.
func (pr *PendingRecords) Add(now time.Time, rc usage.Record) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.records[rc.Try] = pendingRecord{record: rc, addedAt: now}
}

// Confirm removes the records of attempts whose records an entry has written.
func (pr *PendingRecords) Confirm(attempts []string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, attempt := range attempts {
		delete(pr.records, attempt)
	}
}

// TakeOlder removes and returns the records that were added before a time, or all of them if there are more than
// maxPendingRecords.
func (pr *PendingRecords) TakeOlder(before time.Time) []usage.Record {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	all := len(pr.records) > maxPendingRecords
	var taken []usage.Record
	for _, attempt := range slices.Sorted(maps.Keys(pr.records)) {
		if all || pr.records[attempt].addedAt.Before(before) {
			taken = append(taken, pr.records[attempt].record)
			delete(pr.records, attempt)
		}
	}
	return taken
}
