package zone

import (
	"math"
	"time"
)

// Limits of reports of changed shares.
const (
	// notableChange is the change of a share that is reported.
	notableChange = 0.1
	// minReportPeriod is the least time between two reports on a service, unless a zone has lost its last server or got the first one back.
	minReportPeriod = 2 * time.Second
)

// Changes tells which changes of services' shares are worth a report. It is not safe for concurrent use.
type Changes struct {
	// reported holds, by service, the share that was reported last and when.
	reported map[string]reportedShare
}

type reportedShare struct {
	fraction float64
	lost     bool
	at       time.Time
}

// NewChanges returns changes for services of which none was reported; a share of zero needs no report.
func NewChanges() *Changes { return &Changes{reported: make(map[string]reportedShare)} }

// Notable reports whether a service's share has changed notably since the last time that it returned true for the service: by a tenth, to or
// from zero, or because the zone has lost its last server or got the first one back.
func (cs *Changes) Notable(now time.Time, service string, sh Share) bool {
	last := cs.reported[service]
	lost := sh.reason == NoServer
	changed := math.Abs(sh.fraction-last.fraction) >= notableChange || (sh.fraction == 0) != (last.fraction == 0)
	if lost == last.lost && (!changed || now.Sub(last.at) < minReportPeriod) {
		return false
	}
	cs.reported[service] = reportedShare{fraction: sh.fraction, lost: lost, at: now}
	return true
}

// Retain forgets the services that are not listed.
func (cs *Changes) Retain(listed map[string]bool) {
	for service := range cs.reported {
		if !listed[service] {
			delete(cs.reported, service)
		}
	}
}
