package main

import (
	"sync"
	"time"
)

// Parameters of the case in which all gates are killed.
const (
	streamPeriod = 125 * time.Millisecond
	killAfter    = 8 * time.Second
	sendFor      = 22 * time.Second
)

func init() { cases["takeup"] = playTakeUp }

// playTakeUp kills all gates at the same moment; the platform starts them again. Clients take their streams up again.
func playTakeUp(rn *run) bool {
	rn.deploySmall(6)
	rn.startAll()
	var tc takeUpCounts
	var clients sync.WaitGroup
	begin := time.Now()
	if rn.trouble {
		time.AfterFunc(killAfter, func() { rn.killGates(rn.gates) })
	}
	for n := 0; time.Since(begin) < sendFor; n++ {
		clients.Go(func() { rn.stream(n, &tc) })
		time.Sleep(streamPeriod)
	}
	clients.Wait()
	return tc.isBroken(rn)
}
