package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// runReload stops a gate under load, as planned work does, and sends it a SIGHUP during the stop. All requests were sent before the stop and end
// long before the last sixth of the time for it.
func runReload(rn *run) bool {
	rn.putConfig(7)
	for n := range 2 {
		rn.startReplica(&replica{id: fmt.Sprint("i-", n), service: "app", zone: "a", version: "v1", events: 20, gap: 200 * time.Millisecond,
			work: 3 * time.Second}).register("ready")
	}
	gates := []*gate{rn.newGate("front-a-1", "a", rn.storeAddress), rn.newGate("front-a-2", "a", rn.storeAddress)}
	for _, gt := range gates {
		gt.start()
	}
	for _, gt := range gates {
		gt.waitReady()
	}
	time.Sleep(4 * time.Second)

	var calls []call
	for n := range 8 {
		calls = append(calls, call{id: fmt.Sprint("plan-", n), host: "plan.example", path: "/plan/x", body: "p", stream: true, deadline: 15 * time.Second},
			call{id: fmt.Sprint("order-", n), host: "order.example", path: "/order/x", body: "o", deadline: 5 * time.Second})
	}
	answers := make([]answer, len(calls))
	var wg sync.WaitGroup
	for n, cl := range calls {
		wg.Go(func() { answers[n] = gates[0].send(cl) })
	}
	time.Sleep(time.Second)
	gates[0].signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if rn.trouble {
		gates[0].signal(syscall.SIGHUP)
	}
	wg.Wait()
	lost := 0
	for n, an := range answers {
		if an.err != nil {
			lost++
			rn.record("LOST: request %s: its connection ended without a complete answer", calls[n].id)
		}
	}
	return lost > 0
}
