package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// manyPartLists checks that a gate stays within its memory while many clients hold streams whose prompts have long lists of parts.
func manyPartLists(sy *system, trouble bool) bool {
	rc := sy.record
	sy.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	sy.store.put("op", "config", config(7, tenant{name: "shops", key: "shops-key"}, tenant{name: "press", key: "press-key"}))
	startSmall(sy, func(rp *replica) { rp.slots, rp.events, rp.gap = 400, 60, 200*time.Millisecond })
	gt := sy.gates[0]
	before := gt.residentMB()
	list := "a:1,b:1,c:1"
	if trouble {
		list = strings.TrimSuffix(strings.Repeat("a:1,", 3900), ",")
	}
	var wg sync.WaitGroup
	statuses := make(map[int]int)
	var mu sync.Mutex
	for n := range 600 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			rq := request{method: "POST", host: host, path: "/guide/x", id: fmt.Sprintf("g-%d", n), key: "press-key", timeout: 15 * time.Second,
				header: map[string]string{"X-Model": model, "X-Token-Counts": "3900,60", "X-Prefix-Hash": list}, body: "how to fold"}
			an := send(gt.address, rq, 15*time.Second)
			rc.logf("guide %d: status %d after %d ms, error %v", n, an.status, an.took.Milliseconds(), an.err)
			mu.Lock()
			defer mu.Unlock()
			statuses[an.status]++
		}()
	}
	peak := 0.0
	for end := time.Now().Add(22 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		peak = max(peak, gt.residentMB())
	}
	wg.Wait()
	rc.sayf("memory of the machine %d MB; resident %.0f MB before, %.0f MB at most; running %t; answers by status %v", sy.memoryMB, before, peak, gt.running(), statuses)
	return peak <= float64(sy.memoryMB) && gt.running()
}
