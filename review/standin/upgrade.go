package main

import (
	"net"
	"sync"
	"time"
)

// Parameters of the upgrade case.
const (
	upgradeStreamPeriod = 80 * time.Millisecond
	upgradeAfter        = 9 * time.Second
	upgradeSendFor      = 24 * time.Second
	// upgradeDown is how long a replica is down, and upgradePause the time until the next one ends.
	upgradeDown  = time.Second
	upgradePause = 800 * time.Millisecond
	// entryDelay is how long after its start a replica writes its entry: with its first heartbeat.
	entryDelay = 1200 * time.Millisecond
)

// restartAs starts a crashed replica under the id that it had, with a version of its software. Its entry follows with its first heartbeat.
func (rp *replica) restartAs(software string) {
	lis, err := net.Listen("tcp", rp.address)
	check(err)
	rp.mu.Lock()
	rp.software = software
	rp.mu.Unlock()
	rp.serve(lis)
	rp.run.recordf("started again replica=%s software=%s", rp.id, software)
	time.AfterFunc(entryDelay, func() {
		rp.writeRow("ready")
		rp.run.recordf("entry written replica=%s software=%s", rp.id, software)
	})
}

func init() { cases["upgrade"] = playUpgrade }

// playUpgrade lets engines end one after the other and start again under their ids, with another version of their software. No more than two streams
// may hold events of two versions.
func playUpgrade(rn *run) bool {
	rn.deploySmall(6)
	rn.startAll()
	var tc takeUpCounts
	var clients sync.WaitGroup
	begin := time.Now()
	time.AfterFunc(upgradeAfter, func() {
		for _, rp := range rn.replicas {
			if !rn.trouble || !rp.isEngine {
				continue
			}
			rn.recordf("crash replica=%s", rp.id)
			rp.crash()
			time.Sleep(upgradeDown)
			rp.restartAs("2.0")
			time.Sleep(upgradePause)
		}
	})
	for n := 0; time.Since(begin) < upgradeSendFor; n++ {
		clients.Go(func() { rn.stream(n, &tc) })
		time.Sleep(upgradeStreamPeriod)
	}
	clients.Wait()
	rn.resultf("%d of %d new streams began; %d streams were complete; %d hold events of two versions", tc.begun, tc.tried, tc.complete, len(tc.mixed))
	for _, text := range tc.mixed {
		rn.resultf("ORDER: %s", text)
	}
	return len(tc.mixed) > 2
}
