package main

import (
	"fmt"
	"strings"
	"time"
)

// isolatedTenant checks that no request uses cached parts that a request of another tenant made, one of the two being isolated, after a
// configuration has made one isolated.
func isolatedTenant(sy *system, trouble bool) bool {
	rc := sy.record
	sy.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	north, south := tenant{name: "north", key: "north-key"}, tenant{name: "south", key: "south-key"}
	sy.store.put("op", "config", config(7, north, south))
	startSmall(sy, 1, nil)
	number := 0
	ask := func(tn tenant, count int) {
		for range count {
			number++
			gt := sy.gates[number%len(sy.gates)]
			list := fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 0xe4400000+number)
			rq := request{method: "POST", host: host, path: "/fit/x", id: fmt.Sprintf("%s-%d", tn.name, number), key: tn.key, timeout: 3 * time.Second,
				header: map[string]string{"X-Model": model, "X-Token-Counts": "1460,4", "X-Prefix-Hash": list}, body: "does it fit"}
			an := send(gt.address, rq, 3*time.Second)
			rc.logf("request %s to %s: status %d after %d ms, error %v", rq.id, gt.name, an.status, an.took.Milliseconds(), an.err)
		}
	}
	// Each model replica gets some requests of both tenants.
	ask(north, 30)
	north.isolated = trouble
	sy.store.put("op", "config", config(9, north, south))
	rc.logf("configuration 9 acknowledged: north is isolated: %t", north.isolated)
	// The bound for configurations is 2 s.
	time.Sleep(4 * time.Second)
	changedAt := time.Now()
	ask(south, 30)
	ask(north, 30)
	broken, ran := 0, 0
	for _, rp := range sy.replicas {
		for _, rn := range rp.allRuns() {
			rc.logf("run of %s for %s at %s, %.3f s after the change: parts made by others: %s", rn.id, rn.tenant, rn.replica, rn.beganAt.Sub(changedAt).Seconds(),
				strings.Join(rn.foreign, "; "))
			if rn.beganAt.Before(changedAt) {
				continue
			}
			ran++
			if len(rn.foreign) > 0 && north.isolated {
				broken++
			}
		}
	}
	rc.sayf("%d runs after the change, %d of them used parts that the other tenant's request had made while north is isolated", ran, broken)
	if ran < 30 {
		check(fmt.Errorf("only %d requests ran", ran))
	}
	return broken == 0
}
