package gate

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// freshness holds how current a gate's view of the other processes is, by the monotonic clock of its own process.
type freshness struct {
	// mu guards the fields below, which are zero until there is such a time.
	mu sync.Mutex
	// serversAsOf and nodesAsOf are the latest times as of which the copies of the servers table and the nodes table were complete.
	serversAsOf, nodesAsOf time.Time
	// tenderAt is when the last message of any tender came.
	tenderAt time.Time
}

func (fr *freshness) setServersAsOf(asOf time.Time) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.serversAsOf = asOf
}

// serversAge returns how long ago the copy of the servers table was last known to be complete; it is the longest duration if it never was.
func (fr *freshness) serversAge(now time.Time) time.Duration {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.serversAsOf.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(fr.serversAsOf)
}

func (fr *freshness) setNodesAsOf(asOf time.Time) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.nodesAsOf = asOf
}

func (fr *freshness) setTenderAt(at time.Time) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.tenderAt = at
}

// addFields adds the ages as of now to the fields of a log entry, without those that are unknown.
func (fr *freshness) addFields(now time.Time, fields logrus.Fields) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for name, at := range map[string]time.Time{"servers_age_ms": fr.serversAsOf, "nodes_age_ms": fr.nodesAsOf, "tender_age_ms": fr.tenderAt} {
		if !at.IsZero() {
			fields[name] = now.Sub(at).Milliseconds()
		}
	}
}

// soleVerdict says whether the known releases leave one at which a stream can have begun, and if not, why.
type soleVerdict string

const (
	// notExamined means that a record decided.
	notExamined soleVerdict = ""
	// isSole means that one release is left.
	isSole soleVerdict = "sole"
	// confirmedSole means the same of a gate that may lack a release, but another one has said so, too; staleView means that no other gate has.
	confirmedSole soleVerdict = "sole_confirmed"
	staleView     soleVerdict = "stale_view"
	// severalReleases means that several releases are left, that the host's routes have changed lately, or that the store has no history.
	severalReleases soleVerdict = "several"
	// suspectServer means that a server has gone that may have been another run, and unprovedServer that one of the listed servers may be another run.
	suspectServer  soleVerdict = "suspect_server"
	unprovedServer soleVerdict = "unproved_server"
)

// leavesOne reports whether one release is left.
func (sv soleVerdict) leavesOne() bool { return sv == isSole || sv == confirmedSole }

// originFinding is how a gate learned where a resumed stream began, or that it did not.
type originFinding struct {
	source originSource
	// gatesAsked is the number of gates that were asked for the record, and gatesSilent that of those that did not reply in time.
	gatesAsked, gatesSilent int
	sole                    soleVerdict
}
