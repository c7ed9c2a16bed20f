package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// streamDeadline is how long a client waits for a stream.
	streamDeadline = 15 * time.Second
	// expectedEvents is the number of events of each stream; an engine writes one each eventGap.
	expectedEvents = 40
	eventGap       = 200 * time.Millisecond
)

// takeUpPauses are the pauses before the tries of a client whose stream broke off.
var takeUpPauses = []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}

// takeUpCounts is what clients saw of streams at gates in touch.
type takeUpCounts struct {
	mu sync.Mutex
	// tried and begun count new streams, resumed and wentOn those that were taken up again.
	tried, begun, resumed, wentOn int
	complete                      int
	wrong                         []string
	// mixed are the streams with events of several software versions.
	mixed []string
}

// stream reads one stream. If it breaks off, the client takes it up again within its deadline.
func (rn *run) stream(n int, tc *takeUpCounts) {
	name := fmt.Sprintf("s%04d", n)
	rq := request{id: name + "-0", method: http.MethodPost, path: "/lepu270/2f", body: name + " question", zone: rn.zones[n%len(rn.zones)], hash: n / len(rn.zones),
		deadline: time.Now().Add(streamDeadline), isStream: true, parts: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:240", 0x10000+n)}
	an := rn.send(rq)
	tc.mu.Lock()
	if an.inTouch {
		tc.tried++
		if len(an.events) > 0 {
			tc.begun++
		}
	}
	tc.mu.Unlock()
	events := an.events
	counted, wentOn := false, false
	for try := 1; !an.complete && len(events) > 0 && try <= len(takeUpPauses); try++ {
		time.Sleep(takeUpPauses[try-1])
		if time.Until(rq.deadline) < time.Second {
			break
		}
		rq.id, rq.resumes, rq.lastEvent, rq.hash = fmt.Sprintf("%s-%d", name, try), name+"-0", events[len(events)-1].number, rq.hash+1
		an = rn.send(rq)
		counted = counted || an.inTouch
		wentOn = wentOn || len(an.events) > 0
		events = append(events, an.events...)
		if an.status != http.StatusOK {
			an.complete = false
		}
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if counted {
		tc.resumed++
		if wentOn {
			tc.wentOn++
		}
	}
	if len(events) == expectedEvents {
		tc.complete++
	}
	if versions := versionsOf(events); strings.Contains(versions, ",") {
		tc.mixed = append(tc.mixed, fmt.Sprintf("stream %s has events of %s", name, versions))
	}
	for i, ev := range events {
		if ev.number != i+1 {
			tc.wrong = append(tc.wrong, fmt.Sprintf("%s: event %d is number %d", name, i+1, ev.number))
			break
		}
	}
}

// isBroken reports whether the share of the streams that went on is under half of the share of the new streams that began.
func (tc *takeUpCounts) isBroken(rn *run) bool {
	rn.resultf("%d of %d new streams began; %d of %d streams that were taken up at gates in touch went on; %d streams were complete", tc.begun, tc.tried, tc.wentOn,
		tc.resumed, tc.complete)
	for _, text := range tc.wrong {
		rn.resultf("wrong order: %s", text)
	}
	return tc.resumed >= 12 && 2*tc.wentOn*tc.tried < tc.begun*tc.resumed
}

// versionsOf returns the software versions of the servers that wrote events, one after the other.
func versionsOf(events []event) string {
	var versions []string
	for _, ev := range events {
		version, _, _ := strings.Cut(ev.text, " ")
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return strings.Join(versions, ", then ")
}
