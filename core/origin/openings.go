package origin

import (
	"maps"
	"slices"
	"time"
)

// openTTL is how long a release stays open that is not in use. Processes that knew it forget it later: it may come back then, and be unknown to some of them.
const openTTL = 2 * CoverageSpan

// Openings knows at which releases streams may begin. One that is new to its service is opened once all processes that might conclude that it does not exist know
// it, or once OpenDelay has passed since it was learned of and the stored history had it. It is not safe for concurrent use.
type Openings struct {
	// open has the releases that are open, with the time at which they were last in use, or opened.
	open map[string]time.Time
	// waiting has, for the releases in use that are not open, since when the stored history has them, or zero.
	waiting map[string]time.Time
	// expired has the releases that were open and have not been in use for openTTL.
	expired map[string]bool
	// seenAt is the time of the last complete view of the servers, or zero.
	seenAt time.Time
}

func newOpenings() Openings {
	return Openings{open: make(map[string]time.Time), waiting: make(map[string]time.Time), expired: make(map[string]bool)}
}

// isOpen reports whether streams may begin at a release.
func (op *Openings) isOpen(release string) bool {
	_, ok := op.open[release]
	return ok
}

// openAll opens releases and reports whether that changed anything.
func (op *Openings) openAll(now time.Time, releases []string) bool {
	changed := false
	for _, release := range releases {
		changed = changed || !op.isOpen(release)
		op.open[release] = now
		delete(op.waiting, release)
		delete(op.expired, release)
	}
	return changed
}

// observe records the releases in use, those known, and those that the stored history has. A release is open at once if no other one of its service is known.
func (op *Openings) observe(now time.Time, inUse, known, stored []string) {
	for release, usedAt := range op.open {
		if now.Sub(usedAt) > openTTL && !slices.Contains(inUse, release) {
			delete(op.open, release)
			op.expired[release] = true
		}
	}
	maps.DeleteFunc(op.expired, func(release string, _ bool) bool { return !slices.Contains(known, release) })
	maps.DeleteFunc(op.waiting, func(release string, _ time.Time) bool { return !slices.Contains(inUse, release) })
	for _, release := range inUse {
		if op.isOpen(release) || isAlone(release, known) {
			op.openAll(now, []string{release})
			continue
		}
		if since, isWaiting := op.waiting[release]; isWaiting && !since.IsZero() {
			continue
		}
		op.waiting[release] = time.Time{}
		if slices.Contains(stored, release) {
			op.waiting[release] = now
		}
	}
}

// isAlone reports whether no other release of the service of a release is known.
func isAlone(release string, known []string) bool {
	service, _ := SplitRelease(release)
	return !slices.ContainsFunc(known, func(other string) bool {
		otherService, _ := SplitRelease(other)
		return other != release && otherService == service
	})
}

// maxViewGap is the longest time between two complete views of the servers in which a release that both have counts as in use all the time.
const maxViewGap = 3 * CoverageSpan / 4

// observeServers opens the releases for which OpenDelay has passed, and returns them: the servers seen as a whole as of a time still have them. After a gap the
// delay begins anew.
func (op *Openings) observeServers(asOf time.Time) []string {
	isGap := asOf.Sub(op.seenAt) > maxViewGap
	op.seenAt = asOf
	var opened []string
	for release, since := range op.waiting {
		if isGap && !since.IsZero() && since.Before(asOf) {
			op.waiting[release] = asOf
			continue
		}
		if !since.IsZero() && asOf.Sub(since) >= OpenDelay {
			opened = append(opened, release)
		}
	}
	op.openAll(asOf, opened)
	return opened
}
