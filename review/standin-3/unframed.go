package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	unframedReplicas = 3
	unframedSlots    = 6
	// unframedClients send one stream after the other; a few of them wait for a slot at any time.
	unframedClients = 30
	unframedEvents  = 30
)

// runUnframed stops a gate, as planned work does, while busy replicas send answers that end with their connections; without trouble their answers
// have chunks.
func runUnframed(rn *run) bool {
	rn.putConfig(7)
	for n := range unframedReplicas {
		rn.startReplica(&replica{id: fmt.Sprint("i-", n), service: "app", zone: "a", version: "v1", events: unframedEvents, gap: 100 * time.Millisecond,
			slots: make(chan struct{}, unframedSlots), unframed: rn.trouble}).register("ready")
	}
	gates := []*gate{rn.newGate("front-a-1", "a", rn.storeAddress), rn.newGate("front-a-2", "a", rn.storeAddress)}
	for _, gt := range gates {
		gt.start()
	}
	for _, gt := range gates {
		gt.waitReady()
	}
	time.Sleep(4 * time.Second)

	var stopped, ended atomic.Bool
	var mu sync.Mutex
	var lost, whole, refused, others int
	var wg sync.WaitGroup
	for n := range unframedClients {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for try := 0; !ended.Load(); try++ {
				gt := gates[n%2]
				if stopped.Load() {
					gt = gates[1]
				}
				early := !stopped.Load() && gt == gates[0]
				an := gt.send(call{id: fmt.Sprintf("plan-%d-%d", n, try), host: "plan.example", path: "/plan/x", body: "p", stream: true, deadline: 15 * time.Second})
				events := strings.Count(an.body, "data: ")
				mu.Lock()
				switch {
				case !early || !stopped.Load():
					// The client attempt did not meet the stop.
					others++
				case an.err != nil && events == unframedEvents:
					lost++
					rn.record("LOST: plan-%d-%d: all events of the replica arrived, and the connection was broken off", n, try)
				case an.err != nil:
					lost++
					rn.record("LOST: plan-%d-%d: the connection was broken off after %d events", n, try, events)
				case an.status == 200:
					whole++
				default:
					refused++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(12 * time.Second)
	stopped.Store(true)
	gates[0].signal(syscall.SIGTERM)
	time.Sleep(6500 * time.Millisecond)
	ended.Store(true)
	wg.Wait()
	rn.record("of the client attempts at the gate that stopped, sent before the signal and ended after it: %d whole, %d refused, %d lost; %d other attempts", whole, refused, lost, others)
	return lost > 0
}
