package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parameters of the case in which addresses go to another service.
const (
	reuseStreamPeriod = 16 * time.Millisecond
	reuseDeadline     = 3 * time.Second
	reuseEvents       = 10
	reuseGap          = 100 * time.Millisecond
	reuseSubjects     = 107
	reuseSendFor      = 40 * time.Second
	reuseFirstAfter   = 5 * time.Second
	reuseRounds       = 3
	reusePeriod       = 10 * time.Second
	// reuseEngines is the number of engines of the first service, of which reuseCount crash at a time.
	reuseEngines = 14
	reuseCount   = 2
	// addressReuse is the time after which the address of a server that has ended may go to another service, and startPause that between the
	// starts of two servers.
	addressReuse = 2 * time.Second
	startPause   = 300 * time.Millisecond
)

// reuseConfiguration has a second service with a model, and a route to it.
func reuseConfiguration() string {
	text := strings.Replace(configuration, `"services":[`, `"services":[{"name":"kit-llm-b","health-path":"/healthz","max-conns":370,`+
		`"engine":{"slots":64,"kv-capacity":224223,"kv-token-bytes":35136,"models":[{"name":"model-a"}]}},`, 1)
	return strings.Replace(text, `"routes":[`, `"routes":[
{"name":"guide-b","host":"jepu9.example","prefix":"/fiti832/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"target-gap-ms":400,"priority":1,"service":"kit-llm-b","max-attempts":2,"resumable":true,"sticky":true},`, 1)
}

func init() { cases["reuse"] = playReuse }

// playReuse lets two engines of one service crash for good. Their addresses go to engines of another service, which write their entries as they start. No
// request may run at a service to which its route does not lead.
func playReuse(rn *run) bool {
	rn.deploySmall(reuseEngines)
	for n := range 3 {
		rn.addEngine(fmt.Sprintf("i-%04x", 0x9a10+n), "kit-llm-b", rn.zones[n])
	}
	for _, rp := range rn.engines() {
		rp.events, rp.gap = reuseEvents, reuseGap
	}
	rn.store.put("op", "config", reuseConfiguration())
	rn.startAll()
	// mu guards complete.
	var mu sync.Mutex
	sent, complete := 0, 0
	var clients, moves sync.WaitGroup
	begin := time.Now()
	if rn.trouble {
		moves.Go(func() {
			time.Sleep(reuseFirstAfter)
			for round := range reuseRounds {
				rn.reuseAddresses(round * reuseCount)
				time.Sleep(reusePeriod - addressReuse)
			}
		})
	}
	for ; time.Since(begin) < reuseSendFor; sent++ {
		n := sent
		clients.Go(func() {
			id := fmt.Sprintf("s%05d", n)
			an := rn.send(request{id: id, method: http.MethodPost, path: "/lepu270/2f", body: id + " question", zone: rn.zones[n%len(rn.zones)], hash: n / len(rn.zones),
				deadline: time.Now().Add(reuseDeadline), isStream: true, parts: fmt.Sprintf("5c1e07a2:400,%08x:300,%08x:750", 0x1000+n%reuseSubjects, 0x100000+n)})
			if an.complete && len(an.events) == reuseEvents {
				mu.Lock()
				defer mu.Unlock()
				complete++
			}
		})
		time.Sleep(reuseStreamPeriod)
	}
	clients.Wait()
	moves.Wait()
	rn.mu.Lock()
	misrouted := rn.misrouted
	rn.mu.Unlock()
	rn.resultf("%d streams, %d complete; %d runs at a service to which no route leads them", sent, complete, len(misrouted))
	for _, text := range misrouted {
		rn.resultf("ROUTE: %s", text)
	}
	return len(misrouted) > 0
}

// reuseAddresses ends some engines for good, the first one with an index, and gives their addresses to engines of the other service.
func (rn *run) reuseAddresses(first int) {
	gone := rn.engines()[first : first+reuseCount]
	for _, rp := range gone {
		rn.recordf("crash for good replica=%s address=%s", rp.id, rp.address)
		rp.crash()
		time.AfterFunc(entryTTL, func() { rn.store.remove("servers", rp.id) })
	}
	time.Sleep(addressReuse)
	for n, old := range gone {
		rp := &replica{run: rn, id: fmt.Sprintf("i-%04x", 0xb001+first+n), service: "kit-llm-b", zone: old.zone, address: old.address, isEngine: true, software: "1.0",
			weights: 1, events: reuseEvents, gap: reuseGap, prefill: old.prefill}
		lis, err := net.Listen("tcp", rp.address)
		check(err)
		rp.serve(lis)
		rp.writeRow("ready")
		rn.recordf("started, entry written replica=%s service=%s address=%s", rp.id, rp.service, rp.address)
		time.Sleep(startPause)
	}
}

// serviceOf returns the service to which the configuration lets a path lead.
func serviceOf(path string) string {
	switch {
	case strings.HasPrefix(path, "/lepu270/"):
		return "kit-llm"
	case strings.HasPrefix(path, "/fiti832/"):
		return "kit-llm-b"
	}
	return "app"
}

// checkRoute records the run of a request at a service to which its route does not lead.
func (rn *run) checkRoute(requestID, path, service, replicaID string) {
	if serviceOf(path) == service {
		return
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.misrouted = append(rn.misrouted, fmt.Sprintf("request %s with path %s ran at %s of service %s", requestID, path, replicaID, service))
}
