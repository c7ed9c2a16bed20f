package origin

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotcleat/core/runs"
)

// LogTTL is the age above which a row of the log in the store is not used.
const LogTTL = 2 * time.Minute

// maxLogRows bounds the rows that a Log keeps, of which the newest are kept.
const maxLogRows = 256

// Log holds what was read of the log in the store. Rows that the store has replaced, or lost in a restore, are kept for a while, since what they say
// stays true. It is not safe for concurrent use.
type Log struct{ rows map[uint64]logRow }

// logRow is a row of the log; its entries are in ascending order of their streams.
type logRow struct {
	writtenAt  time.Time
	versions   []string
	conditions []runs.Moment
	entries    []logEntry
}

type logEntry struct {
	stream uint64
	// version is an index into the versions of the row, and condition one into its conditions plus one, zero for none, or settled. A record with several
	// conditions has an entry for each.
	version   uint16
	condition uint16
}

// maxIndex bounds the versions and the conditions of a row; a record beyond it is ambiguous.
const (
	maxIndex = math.MaxUint16 - 2
	settled  = math.MaxUint16
)

// NewLog returns an empty log.
func NewLog() *Log { return &Log{rows: make(map[uint64]logRow)} }

// Add adds the row that was written at a revision of the store, unless the log has it.
func (lg *Log) Add(now time.Time, revision uint64, writtenAt time.Time, records []Record) {
	if _, ok := lg.rows[revision]; ok {
		return
	}
	row := logRow{writtenAt: writtenAt, entries: make([]logEntry, 0, len(records))}
	for _, rc := range records {
		row.add(rc)
	}
	slices.SortFunc(row.entries, func(a, b logEntry) int { return cmp.Compare(a.stream, b.stream) })
	lg.rows[revision] = row
	lg.prune(now)
}

// add adds the entries of a record, which are not in order yet.
func (row *logRow) add(rc Record) {
	if len(row.versions) >= maxIndex || len(row.conditions)+len(rc.conditions) >= maxIndex {
		rc = NewAmbiguousRecord(rc.stream)
	}
	le := logEntry{stream: rc.stream, version: uint16(indexOf(&row.versions, rc.version))}
	if rc.settled {
		le.condition = settled
	}
	if len(rc.conditions) == 0 {
		row.entries = append(row.entries, le)
	}
	for _, mo := range rc.conditions {
		le.condition = uint16(indexOf(&row.conditions, mo)) + 1
		row.entries = append(row.entries, le)
	}
}

// indexOf returns the index of an item in a list, and appends it if it is not there. The lists of a row are short.
func indexOf[T comparable](list *[]T, item T) int {
	if i := slices.Index(*list, item); i >= 0 {
		return i
	}
	*list = append(*list, item)
	return len(*list) - 1
}

// prune drops rows that are not used any more, and the oldest ones beyond maxLogRows.
func (lg *Log) prune(now time.Time) {
	var oldest uint64
	for revision, row := range lg.rows {
		if row.isExpired(now) {
			delete(lg.rows, revision)
		} else if oldest == 0 || revision < oldest {
			oldest = revision
		}
	}
	if len(lg.rows) > maxLogRows {
		delete(lg.rows, oldest)
	}
}

func (row logRow) isExpired(now time.Time) bool { return now.Sub(row.writtenAt).Abs() > LogTTL }

// Find returns the record of the streams with a key; ok is false if there is none. If the rows name several versions, the streams cannot be resumed,
// whichever row is the latest.
func (lg *Log) Find(now time.Time, stream uint64) (rc Record, ok bool) {
	for _, row := range lg.rows {
		if row.isExpired(now) {
			continue
		}
		first, _ := slices.BinarySearchFunc(row.entries, stream, func(le logEntry, key uint64) int { return cmp.Compare(le.stream, key) })
		for _, le := range row.entries[first:] {
			if le.stream != stream {
				break
			}
			next := NewRecord(stream, row.versions[le.version])
			switch {
			case le.condition == settled:
				next = next.Settled()
			case le.condition > 0:
				next = next.WithConditions(row.conditions[le.condition-1])
			}
			if ok {
				next = rc.merge(next)
			}
			rc, ok = next, true
		}
	}
	return rc, ok
}
