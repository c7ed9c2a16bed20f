package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case with two software versions.
const (
	streamPeriod = 17 * time.Second
	streamPause  = 30 * time.Millisecond
	streamEvents = 30
	streamGap    = 50 * time.Millisecond
	// settleTime is the time after the start of the gates after which all processes know all gates.
	settleTime = 13 * time.Second
	// replaceDelay is the time after which the new front machine comes, and rollAt when the first replica starts again after the streams begin.
	replaceDelay = 2 * time.Second
	rollAt       = 2 * time.Second
	// In each of rolls rounds, with rollPause between them, all replicas start again. rollGap is the time between the restarts of two replicas, and
	// downTime that for which each is away.
	rolls     = 3
	rollPause = time.Second
	rollGap   = 650 * time.Millisecond
	downTime  = 400 * time.Millisecond
	// maxMixed is the number of streams with events of two versions that the rule allows.
	maxMixed = 2
)

// crash ends the replica like a crash: its connections are reset or closed, and nothing is said.
func (rp *replica) crash() {
	rp.mu.Lock()
	rp.down = true
	srv := rp.server
	rp.mu.Unlock()
	_ = srv.Close()
}

// restart starts the replica again at its address and under its id, with another software version. It knows nothing of before.
func (rp *replica) restart(software string) {
	rp.mu.Lock()
	rp.software, rp.seq, rp.fence, rp.orderIDs, rp.cache = software, 0, 0, 0, make(map[string]string)
	rp.mu.Unlock()
	rp.start(rp.address)
}

// readStream sends a request of a stream and returns the status of the answer, 0 without one, the events, and whether the answer is complete.
func readStream(address string, rq request, wait time.Duration) (status int, events []string, complete bool) {
	hr, err := http.NewRequest(rq.method, "http://"+address+rq.path, strings.NewReader(rq.body))
	check(err)
	hr.Host = rq.host
	hr.Header.Set("X-Request-Id", rq.id)
	hr.Header.Set("X-Deadline-Ms", strconv.FormatInt(rq.timeout.Milliseconds(), 10))
	hr.Header.Set("X-Api-Key", rq.key)
	for name, value := range rq.header {
		hr.Header.Set(name, value)
	}
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(hr)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, text)
		}
	}
	return resp.StatusCode, events, lines.Err() == nil
}

// softwareVersions checks that no stream holds events of two software versions while replicas start again under their ids with another version, soon
// after the front machine of a zone was replaced by one at another address.
func softwareVersions(sy *system, trouble bool) bool {
	rc := sy.record
	sy.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	sy.store.put("op", "config", config(7, tenant{name: "shops", key: "shops-key"}, tenant{name: "press", key: "press-key"}))
	startSmall(sy, 1, func(rp *replica) { rp.events, rp.gap = streamEvents, streamGap })
	time.Sleep(settleTime)
	if trouble {
		sy.replaceGate(2)
	}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, whole, number := 0, 0, 0
	statuses := make(map[string]int)
	stream := func(gt *process, n int) {
		defer wg.Done()
		first := fmt.Sprintf("s-%d", n)
		var all []string
		complete := false
		var gates []string
		for try := 0; try < 3 && !complete; try++ {
			rq := request{method: "POST", host: host, path: "/fit/x", id: first, key: "shops-key", timeout: 3 * time.Second, body: first,
				header: map[string]string{"X-Model": model, "X-Token-Counts": "1460,20", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%x:660", n)}}
			if try > 0 {
				rq.id = fmt.Sprintf("%s-%d", first, try)
				if len(all) > 0 {
					rq.header["Last-Event-Id"], rq.header["Resumes"] = strconv.Itoa(len(all)), first
				}
			}
			status, events, ok := readStream(gt.address, rq, 3*time.Second)
			all, gates = append(all, events...), append(gates, gt.name)
			complete = ok && status == 200
			mu.Lock()
			statuses[fmt.Sprintf("try %d: %d", try+1, status)]++
			mu.Unlock()
			if try > 0 || !complete {
				rc.logf("try %d of stream %s at %s: status %d, %d events, complete %t", try+1, first, gt.name, status, len(events), complete)
			}
			gt = sy.gates[(n+try+1)%len(sy.gates)]
		}
		versions := make(map[string]bool)
		for _, event := range all {
			versions[event[strings.LastIndex(event, " ")+1:]] = true
		}
		mu.Lock()
		defer mu.Unlock()
		if complete {
			whole++
		}
		if len(versions) > 1 {
			mixed++
			rc.logf("stream %s, sent to %s, holds events of two software versions: %s", first, strings.Join(gates, " "), strings.Join(all, " | "))
		}
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Since(began) < streamPeriod {
			for _, gt := range sy.gates {
				wg.Add(1)
				number++
				go stream(gt, number)
			}
			time.Sleep(streamPause)
		}
	}()
	time.Sleep(rollAt)
	if trouble {
		for roll := range rolls {
			software := fmt.Sprintf("v%d", roll+2)
			for _, rp := range sy.replicas {
				if !rp.engine {
					continue
				}
				next := time.After(rollGap)
				rp.crash()
				rc.logf("%s crashes", rp.id)
				time.Sleep(downTime)
				rp.restart(software)
				sy.writeEntry(rp)
				rc.logf("%s is back under its id with software %s, and has written its entry", rp.id, software)
				<-next
			}
			time.Sleep(rollPause)
		}
	}
	wg.Wait()
	rc.sayf("%d streams, %d complete, %d hold events of two software versions; answers %v", number, whole, mixed, statuses)
	return mixed <= maxMixed
}

// replaceGate ends a gate for good and starts one in its zone at another address.
func (sy *system) replaceGate(index int) {
	old := sy.gates[index]
	old.kill()
	sy.record.logf("the machine of %s is gone for good", old.name)
	time.Sleep(replaceDelay)
	sy.gates = append(sy.gates[:index:index], sy.gates[index+1:]...)
	sy.startGates(old.zone)
	sy.waitReady()
	sy.record.logf("%s is ready in its place", sy.gates[len(sy.gates)-1].name)
}
