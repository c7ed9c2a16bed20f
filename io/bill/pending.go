package bill

import (
	"maps"
	"slices"
	"sync"
	"time"

	"shallotcleat/core/usage"
)

// maxHeld bounds the records that an agent keeps for confirmation.
const maxHeld = 20_000

// PendingRecords keeps an agent's records until an entry has confirmed them; its methods may be called from any goroutine.
type PendingRecords struct {
	// mu guards the records.
	mu   sync.Mutex
	held map[string]heldRecord
}

type heldRecord struct {
	record usage.Record
	since  time.Time
}

// NewPendingRecords returns an empty holder.
func NewPendingRecords() *PendingRecords { return &PendingRecords{held: make(map[string]heldRecord)} }

// Add takes a record.
func (pr *PendingRecords) Add(now time.Time, rc usage.Record) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.held[rc.Try] = heldRecord{record: rc, since: now}
}

// Confirm forgets the records of tries that an entry has written.
func (pr *PendingRecords) Confirm(tries []string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, try := range tries {
		delete(pr.held, try)
	}
}

// TakeOlder returns and forgets the records that were kept before a time; all of them if too many are held.
func (pr *PendingRecords) TakeOlder(before time.Time) []usage.Record {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	all := len(pr.held) > maxHeld
	var out []usage.Record
	for _, try := range slices.Sorted(maps.Keys(pr.held)) {
		if all || pr.held[try].since.Before(before) {
			out = append(out, pr.held[try].record)
			delete(pr.held, try)
		}
	}
	return out
}
