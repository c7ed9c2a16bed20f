package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of a table.
const (
	maxRecords = 32768
	// recordTTL is how long after a stream last began or was resumed it may be resumed.
	recordTTL = time.Minute
)

// Record is the software version at which a stream began.
type Record struct {
	stream  uint64
	version string
}

// NewRecord returns a record about the stream with a key.
func NewRecord(stream uint64, version string) Record { return Record{stream: stream, version: version} }

// Stream returns the key of the stream.
func (rc Record) Stream() uint64 { return rc.stream }

// Version returns the software version of the servers that may continue the stream.
func (rc Record) Version() string { return rc.version }

// Key returns the key of the stream of a workspace that began with the request with the given id.
func Key(workspace, requestID string) uint64 { return xxhash.Sum64String(workspace + "/" + requestID) }

// Table holds the records of the latest streams. It is safe for concurrent use.
type Table struct {
	records *lru.Cache[uint64, entry]
}

type entry struct {
	version string
	at      time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	records, err := lru.New[uint64, entry](maxRecords)
	if err != nil {
		panic(err) // The size is positive.
	}
	return &Table{records: records}
}

// Put adds a record. If the streams with its key began at several versions, none of them may be resumed.
func (tb *Table) Put(now time.Time, rc Record) {
	version := rc.version
	if known, ok := tb.records.Peek(rc.stream); ok && now.Sub(known.at) <= recordTTL && known.version != rc.version {
		version = ambiguous
	}
	tb.records.Add(rc.stream, entry{version: version, at: now})
}

// ambiguous is the version of streams that began at several versions under one key.
const ambiguous = ""

// Version returns the software version at which the streams with a key began; ok is false if that is not known.
func (tb *Table) Version(now time.Time, stream uint64) (version string, ok bool) {
	en, ok := tb.records.Peek(stream)
	if !ok || en.version == ambiguous || now.Sub(en.at) > recordTTL {
		return "", false
	}
	return en.version, true
}
