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

// Holder keeps an agent's records until an entry has confirmed them; its methods may be called from any goroutine.
type Holder struct {
	// mu guards the records.
	mu   sync.Mutex
	held map[string]heldRecord
}

type heldRecord struct {
	record usage.Record
	since  time.Time
}

// NewHolder returns an empty holder.
func NewHolder() *Holder { return &Holder{held: make(map[string]heldRecord)} }

// Keep takes a record.
func (hd *Holder) Keep(now time.Time, rc usage.Record) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.held[rc.Try] = heldRecord{record: rc, since: now}
}

// Confirm forgets the records of tries that an entry has written.
func (hd *Holder) Confirm(tries []string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	for _, try := range tries {
		delete(hd.held, try)
	}
}

// TakeOlder returns and forgets the records that were kept before a time; all of them if too many are held.
func (hd *Holder) TakeOlder(before time.Time) []usage.Record {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	all := len(hd.held) > maxHeld
	var out []usage.Record
	for _, try := range slices.Sorted(maps.Keys(hd.held)) {
		if all || hd.held[try].since.Before(before) {
			out = append(out, hd.held[try].record)
			delete(hd.held, try)
		}
	}
	return out
}
