package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with long part lists.
const (
	calmPeriod    = 6 * time.Second
	troublePeriod = 30 * time.Second
	ordinaryPause = 100 * time.Millisecond
	listPause     = 250 * time.Millisecond
	// listClients is the number of clients that send such prompts, each one after the other.
	listClients = 8
	// longListParts fit into the limit of headers, and shortListParts are those of an ordinary request.
	longListParts  = 1800
	shortListParts = 3
	// orderTimeout is the timeout-ms of the route of ordinary requests, and lateAfter the time that the rule adds.
	orderTimeout = 1500 * time.Millisecond
	lateAfter    = 500 * time.Millisecond
	// minUnanswered is the number of requests that are unanswered at the timeout from which the rule is judged.
	minUnanswered = 20
)

// partList returns a prompt of count parts of a token each, all of them new.
func partList(number, count int) string {
	var list strings.Builder
	for i := range count {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, "%x:1", 0x10000+number*count+i)
	}
	return list.String()
}

// longPartLists checks that orders are answered in time while a few clients send prompts with long lists of parts, each one after the other, to one gate.
func longPartLists(sy *system, trouble bool) bool {
	rc := sy.record
	sy.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	sy.store.put("op", "config", config(7, tenant{name: "shops", key: "shops-key"}, tenant{name: "press", key: "press-key"}))
	startSmall(sy, 1, nil)
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	type outcome struct {
		gate string
		sent time.Duration
		answer
	}
	var outcomes []outcome
	for _, gt := range sy.gates {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(began) < calmPeriod+troublePeriod; n++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					sent := time.Since(began)
					rq := request{method: "POST", host: host, path: fmt.Sprintf("/order/%d", n), id: fmt.Sprintf("order-%s-%d", gt.name, n), key: "shops-key",
						timeout: 4 * time.Second, body: "one drawbridge"}
					an := send(gt.address, rq, 4*time.Second)
					rc.logf("order %s sent at %.3f: status %d after %d ms, error %v", rq.id, sent.Seconds(), an.status, an.took.Milliseconds(), an.err)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, outcome{gt.name, sent, an})
				}()
				time.Sleep(ordinaryPause)
			}
		}()
	}
	var lists atomic.Int64
	sendLists := func() {
		defer wg.Done()
		time.Sleep(calmPeriod)
		count := shortListParts
		if trouble {
			count = longListParts
		}
		for time.Since(began) < calmPeriod+troublePeriod {
			next := time.After(listPause)
			n := int(lists.Add(1))
			list := partList(n, count)
			rq := request{method: "POST", host: host, path: "/fit/x", id: fmt.Sprintf("list-%d", n), key: "press-key", timeout: 3 * time.Second,
				header: map[string]string{"X-Model": model, "X-Token-Counts": fmt.Sprintf("%d,4", count), "X-Prefix-Hash": list}, body: "does it fit"}
			an := send(sy.gates[0].address, rq, 3*time.Second)
			rc.logf("prompt %s with %d parts in %d bytes: status %d after %d ms, error %v", rq.id, count, len(list), an.status, an.took.Milliseconds(), an.err)
			<-next
		}
	}
	for range listClients {
		wg.Add(1)
		go sendLists()
	}
	wg.Wait()
	held := true
	for _, gt := range sy.gates {
		calm, inTrouble, unanswered, late, served := 0, 0, 0, 0, 0
		for _, oc := range outcomes {
			if oc.gate != gt.name {
				continue
			}
			if oc.sent < calmPeriod {
				calm++
				continue
			}
			inTrouble++
			if oc.status == 200 && oc.took < orderTimeout {
				served++
			}
			if oc.status == 0 || oc.took > orderTimeout {
				unanswered++
				if oc.status == 0 || oc.took > orderTimeout+lateAfter {
					late++
				}
			}
		}
		rc.sayf("%s: running %t; %d orders in calm; then %d orders, %d served in time, %d unanswered at the route's timeout, %d of these 0.5 s later",
			gt.name, gt.running(), calm, inTrouble, served, unanswered, late)
		if unanswered >= minUnanswered && 2*late > unanswered {
			held = false
		}
	}
	return held
}
