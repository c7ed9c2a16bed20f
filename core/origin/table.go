package origin

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"shallotcleat/core/runs"
)

// Limits of a table.
const (
	maxRecords = 32768
	// RecordTTL is how long after a stream last began or was resumed it may be resumed.
	RecordTTL = time.Minute
)

// Record is the software version at which a stream began. It names the service, too, since versions of two services have nothing to do with
// each other.
type Record struct {
	stream  uint64
	version string
	// conditions are what must be shown before the version counts, and settled is set if a gate has shown it.
	conditions []runs.Moment
	settled    bool
}

// Release returns the value of Record.Version for a service and a software version.
func Release(service, softwareVersion string) string {
	return service + releaseSeparator + softwareVersion
}

// SplitRelease returns the service and the software version of a release.
func SplitRelease(release string) (service, softwareVersion string) {
	service, softwareVersion, _ = strings.Cut(release, releaseSeparator)
	return service, softwareVersion
}

const releaseSeparator = " "

// NewRecord returns a record about the stream with a key.
func NewRecord(stream uint64, version string) Record { return Record{stream: stream, version: version} }

// WithConditions returns the record with its conditions: the version holds only if the runs were running at these moments. The slice must not be changed.
func (rc Record) WithConditions(conditions ...runs.Moment) Record {
	rc.conditions = conditions
	return rc
}

// Settled returns the record without conditions, in place of those that other records of the stream have.
func (rc Record) Settled() Record {
	rc.conditions, rc.settled = nil, true
	return rc
}

// IsSettled reports whether the record takes the place of conditions.
func (rc Record) IsSettled() bool { return rc.settled }

// Conditions returns the moments at which runs must have been running for the version to hold; there are none if it is certain. The slice must not be
// changed.
func (rc Record) Conditions() []runs.Moment { return rc.conditions }

// IsUnresolved reports whether the version is not known yet: it is that of the run in the conditions.
func (rc Record) IsUnresolved() bool {
	_, version := SplitRelease(rc.version)
	return rc.version != ambiguous && version == ""
}

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
	record Record
	at     time.Time
}

// maxConditions bounds the conditions of a record; a record with more counts as ambiguous.
const maxConditions = 4

// merge returns what two records of a stream say together. If they name several versions, the stream cannot be resumed.
func (rc Record) merge(other Record) Record {
	if rc.version != other.version {
		return NewAmbiguousRecord(rc.stream)
	}
	if rc.settled || other.settled {
		return rc.Settled()
	}
	for _, mo := range other.conditions {
		i := slices.IndexFunc(rc.conditions, func(known runs.Moment) bool { return known.Run() == mo.Run() })
		switch {
		case i < 0:
			rc.conditions = append(slices.Clip(rc.conditions), mo)
		case rc.conditions[i].At().Before(mo.At()):
			rc.conditions = slices.Clone(rc.conditions)
			rc.conditions[i] = mo
		}
	}
	if len(rc.conditions) > maxConditions {
		return NewAmbiguousRecord(rc.stream)
	}
	return rc
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
	if known, ok := tb.records.Peek(rc.stream); ok && now.Sub(known.at) <= RecordTTL {
		rc = known.record.merge(rc)
	}
	tb.records.Add(rc.stream, entry{record: rc, at: now})
}

// ambiguous is the version of streams that began at several versions under one key, or at an unknown one. They cannot be resumed.
const ambiguous = ""

// NewAmbiguousRecord returns a record that the stream with a key cannot be resumed.
func NewAmbiguousRecord(stream uint64) Record { return Record{stream: stream, version: ambiguous} }

// IsAmbiguous reports whether the stream cannot be resumed, although it is known.
func (rc Record) IsAmbiguous() bool { return rc.version == ambiguous }

// Find returns the record of the streams with a key; ok is false if there is none.
func (tb *Table) Find(now time.Time, stream uint64) (rc Record, ok bool) {
	en, ok := tb.records.Peek(stream)
	if !ok || now.Sub(en.at) > RecordTTL {
		return Record{}, false
	}
	return en.record, true
}
