package speed

import (
	"slices"
	"time"
)

// Parameters of a fleet.
const (
	// estimateTTL is how long an estimate is used without another message of the engine's tender, which sends one at least each 3 s.
	estimateTTL = 10 * time.Second
	// medianPeriod is the time after which the median of a service is computed again.
	medianPeriod = 500 * time.Millisecond
	// maxMedianFactor is the factor to its service's median beyond which an estimate is implausible, if minMedianCount engines are known.
	// Engines of one service differ by a factor of 2.5, and by as much again in noisy periods.
	maxMedianFactor = 8
	minMedianCount  = 3
)

// Source states what a rate is taken from.
type Source int

// The sources of a rate.
const (
	// Unknown means that there is no estimate for any engine of the service.
	Unknown Source = iota
	// Median is the median of the engine's service.
	Median
	// Own is the engine's own estimate.
	Own
)

// record is the last estimate of an engine.
type record struct {
	service  string
	estimate Estimate
	at       time.Time
}

// median is the median of the rates of a service.
type median struct {
	rate  float64
	count int
	at    time.Time
}

// Fleet keeps the estimates of the engines of all services. Its caller serializes the calls.
type Fleet struct {
	records map[string]record
	medians map[string]median
}

// NewFleet returns a fleet without estimates.
func NewFleet() *Fleet {
	return &Fleet{records: make(map[string]record), medians: make(map[string]median)}
}

// Record records the estimate that an engine's tender sent. It reports whether the estimate is used: one that is implausible is not, and the
// previous one then ages out. A speed that the tender does not know leaves the previous one.
func (fl *Fleet) Record(now time.Time, id, service string, es Estimate) bool {
	if !es.IsPlausible() {
		return false
	}
	if es == (Estimate{}) {
		return true
	}
	if md := fl.median(now, service); md.count >= minMedianCount && es.prefillRate > 0 &&
		(es.prefillRate > maxMedianFactor*md.rate || es.prefillRate*maxMedianFactor < md.rate) {
		return false
	}
	rc, known := fl.records[id]
	if known && !rc.isFresh(now) {
		rc = record{}
	}
	if es.prefillRate > 0 {
		rc.estimate.prefillRate = es.prefillRate
	}
	if es.step > 0 {
		rc.estimate.step = es.step
	}
	rc.service, rc.at = service, now
	fl.records[id] = rc
	if fl.medians[service].count < minMedianCount {
		delete(fl.medians, service)
	}
	return true
}

func (rc record) isFresh(now time.Time) bool { return now.Sub(rc.at) < estimateTTL }

// PrefillRate returns the prompt tokens per second that an engine of a service prefills, and what that is taken from. It is zero if unknown.
func (fl *Fleet) PrefillRate(now time.Time, id, service string) (float64, Source) {
	if rc := fl.records[id]; rc.isFresh(now) && rc.estimate.prefillRate > 0 {
		return rc.estimate.prefillRate, Own
	}
	if md := fl.median(now, service); md.count > 0 {
		return md.rate, Median
	}
	return 0, Unknown
}

// Step returns the time of a decode step of an engine, or zero if its tender has not sent it lately.
func (fl *Fleet) Step(now time.Time, id string) time.Duration {
	if rc := fl.records[id]; rc.isFresh(now) {
		return rc.estimate.step
	}
	return 0
}

// median returns the median of a service, which is at most medianPeriod old, and drops the estimates that are too old.
func (fl *Fleet) median(now time.Time, service string) median {
	if md, ok := fl.medians[service]; ok && now.Sub(md.at) < medianPeriod {
		return md
	}
	var rates []float64
	for id, rc := range fl.records {
		switch {
		case !rc.isFresh(now):
			delete(fl.records, id)
		case rc.service == service && rc.estimate.prefillRate > 0:
			rates = append(rates, rc.estimate.prefillRate)
		}
	}
	md := median{count: len(rates), at: now}
	if len(rates) > 0 {
		slices.Sort(rates)
		md.rate = rates[len(rates)/2]
	}
	fl.medians[service] = md
	return md
}
