package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	restartReplicas = 10
	// restartStreams are the streams that begin after the first crash.
	restartStreams = 40
)

// crash ends a replica's process: its listener and its connections close.
func (rp *replica) crash() {
	rp.run.record("replica %s crashes", rp.id)
	_ = rp.server.Close()
}

// restart starts a replica again under its id and at its address, with the given software version.
func (rp *replica) restart(version string) *replica {
	lis, err := net.Listen("tcp", rp.address)
	if err != nil {
		rp.run.fail("restart replica: %v", err)
	}
	next := &replica{run: rp.run, id: rp.id, service: rp.service, zone: rp.zone, version: version, events: rp.events, gap: rp.gap, address: rp.address,
		born: time.Now().UnixMilli()}
	next.server = &http.Server{Handler: next}
	go func() { _ = next.server.Serve(lis) }()
	next.register("ready")
	return next
}

// runRestart crashes three of ten replicas, twice. They come back a second later under their ids: with another software version, or with the same one
// if there is no trouble.
func runRestart(rn *run) bool {
	rn.putConfig(7)
	var replicas []*replica
	for n := range restartReplicas {
		rp := rn.startReplica(&replica{id: fmt.Sprint("i-", n), service: "app", zone: "a", version: "v1", events: 60, gap: 100 * time.Millisecond})
		rp.register("ready")
		replicas = append(replicas, rp)
	}
	gates := []*gate{rn.newGate("front-a-1", "a", rn.storeAddress), rn.newGate("front-a-2", "a", rn.storeAddress)}
	for _, gt := range gates {
		gt.start()
	}
	for _, gt := range gates {
		gt.waitReady()
	}
	time.Sleep(5 * time.Second)
	version := "v2"
	if !rn.trouble {
		version = "v1"
	}
	wave := func(ids []int) {
		for _, n := range ids {
			replicas[n].crash()
		}
		time.Sleep(time.Second)
		for _, n := range ids {
			replicas[n] = replicas[n].restart(version)
			time.Sleep(100 * time.Millisecond)
		}
	}
	began := time.Now()
	wave([]int{0, 1, 2})
	streams := make([]*stream, restartStreams)
	var wg sync.WaitGroup
	for n := range streams {
		streams[n] = &stream{name: fmt.Sprint("check-", n)}
		wg.Go(func() {
			streams[n].attempt(context.Background(), gates[n%2], "")
			if streams[n].firstID != "" && streams[n].last < 60 {
				streams[n].attempt(context.Background(), gates[(n+1)%2], streams[n].firstID)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(3500 * time.Millisecond)))
	wave([]int{1, 2, 3})
	wg.Wait()
	mixed := 0
	for _, sm := range streams {
		rn.record("stream %s holds events of %v, %d events, %d tries", sm.name, sm.versions, sm.last, sm.tries)
		if len(sm.versions) > 1 {
			mixed++
		}
	}
	rn.record("%d streams hold events of two software versions; more than two break the rule", mixed)
	return mixed > 2
}
