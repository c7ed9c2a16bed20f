package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// takeUpStreams is the number of streams that are taken up, and of new ones that begin at the same time.
	takeUpStreams = 24
	takeUpEvents  = 60
)

// runTakeUp kills three of five gates at once while two software versions serve. Clients take their streams up at the two gates that are left.
func runTakeUp(rn *run) bool {
	rn.putConfig(7)
	for n, version := range []string{"v1", "v1", "v2", "v2"} {
		rn.startReplica(&replica{id: fmt.Sprint("i-", n), service: "app", zone: "b", version: version, events: takeUpEvents, gap: 100 * time.Millisecond}).register("ready")
	}
	// Two gates each in zones a and b, one in zone c.
	gates := []*gate{rn.newGate("front-a-1", "a", rn.storeAddress), rn.newGate("front-a-2", "a", rn.storeAddress), rn.newGate("front-b-1", "b", rn.storeAddress),
		rn.newGate("front-b-2", "b", rn.storeAddress), rn.newGate("front-c-1", "c", rn.storeAddress)}
	killed, left := []*gate{gates[0], gates[1], gates[4]}, gates[2:4]
	rn.drawPeers(gates)
	for _, gt := range gates {
		gt.start()
	}
	for _, gt := range gates {
		gt.waitReady()
	}
	// The gates know each other, and the store knows the versions in use.
	time.Sleep(20 * time.Second)

	streams := make([]*stream, takeUpStreams)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	var first, second sync.WaitGroup
	for n := range streams {
		streams[n] = &stream{name: fmt.Sprint("check-", n)}
		first.Go(func() { streams[n].attempt(ctx, gates[n%2], "") })
	}
	time.Sleep(2500 * time.Millisecond)
	if rn.trouble {
		for _, gt := range killed {
			gt.signal(syscall.SIGKILL)
		}
	} else {
		rn.record("the connections of all clients end")
		leave()
	}
	first.Wait()
	fresh := make([]*stream, takeUpStreams)
	for n, sm := range streams {
		second.Go(func() { sm.attempt(context.Background(), left[n%2], sm.firstID) })
		fresh[n] = &stream{name: fmt.Sprint("new-", n)}
		second.Go(func() { fresh[n].attempt(context.Background(), left[n%2], "") })
	}
	if rn.trouble {
		// They start again after the two seconds of the disruption.
		time.Sleep(2 * time.Second)
		for _, gt := range killed {
			gt.start()
		}
	}
	second.Wait()
	taken, wentOn, began := 0, 0, 0
	for n, sm := range streams {
		rn.record("stream %s: %d events, of versions %v, %d of them at the first gate, status of the second try %d", sm.name, sm.last, sm.versions, sm.before, sm.status)
		if sm.before > 0 {
			taken++
			if sm.last > sm.before {
				wentOn++
			}
		}
		if fresh[n].last > 0 {
			began++
		}
	}
	rn.record("%d streams were taken up, %d of them went on; %d of %d new streams began; under half as often breaks the rule, from 12 streams on",
		taken, wentOn, began, takeUpStreams)
	return taken >= 12 && float64(wentOn)/float64(taken) < 0.5*float64(began)/takeUpStreams
}

// drawPeers draws the peer addresses of the gates until the other gates that the first two tell where their streams began are among those that are
// killed, and so is the gate that writes this to the store for all.
func (rn *run) drawPeers(gates []*gate) {
	for range 5_000 {
		var peers, killed []string
		for n := range gates {
			peers = append(peers, rn.freeAddress())
			if n < 2 || n == 4 {
				killed = append(killed, peers[n])
			}
		}
		elsewhere := peers[2:]
		if ranked(elsewhere, peers[0])[0] != peers[4] || ranked(elsewhere, peers[1])[0] != peers[4] || !slices.Contains(killed, ranked(peers, "origins")[0]) {
			rn.releaseAddresses(peers)
			continue
		}
		for n, gt := range gates {
			gt.setPeer(peers[n])
		}
		rn.record("peer addresses: %v", peers)
		return
	}
	rn.fail("no suitable addresses")
}

// stream is a stream as a client holds it over its tries.
type stream struct {
	name    string
	firstID string
	// last is the number of the last event, before that of the first try.
	last, before int
	tries        int
	status       int
	versions     map[string]int
}

func (sm *stream) attempt(ctx context.Context, gt *gate, resumes string) {
	sm.tries++
	id := fmt.Sprintf("%s-%d", sm.name, sm.tries)
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gt.listen+"/check/x", strings.NewReader(sm.name))
	if err != nil {
		gt.run.fail("%v", err)
	}
	hr.Host = "check.example"
	hr.Header.Set("X-Request-Id", id)
	hr.Header.Set("X-Api-Key", apiKey)
	hr.Header.Set("X-Deadline-Ms", "15000")
	hr.Header.Set("X-Kind", "stream")
	if sm.tries > 1 {
		sm.before = sm.last
		if resumes == "" {
			return
		}
		hr.Header.Set("Resumes", resumes)
		hr.Header.Set("Last-Event-Id", fmt.Sprint(sm.last))
	}
	gt.run.record("sent: request %s to gate %s, resumes %q after event %d", id, gt.name, resumes, sm.last)
	rs, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}).Do(hr)
	if err != nil {
		gt.run.record("answered: request %s: no answer: %v", id, err)
		return
	}
	defer func() { _ = rs.Body.Close() }()
	sm.status = rs.StatusCode
	body, err := io.ReadAll(rs.Body)
	gt.run.record("answered: request %s: status %d, %d bytes, end %v, Retry-After %q", id, rs.StatusCode, len(body), err, rs.Header.Get("Retry-After"))
	for _, event := range strings.Split(string(body), "\n\n") {
		var number int
		var version string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s", &number, &version); err != nil || number != sm.last+1 {
			continue
		}
		if sm.firstID == "" {
			sm.firstID = id
		}
		if sm.versions == nil {
			sm.versions = make(map[string]int)
		}
		sm.last = number
		sm.versions[version]++
	}
}
