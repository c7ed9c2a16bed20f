package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Parameters of the split case.
const (
	splitStreamPeriod = 60 * time.Millisecond
	splitChangeAfter  = 9 * time.Second
	splitKillAfter    = 10 * time.Second
	splitSendFor      = 14 * time.Second
)

// splitConfiguration returns a configuration whose stream route is split between two services.
func splitConfiguration(version, first, second int) string {
	text := strings.Replace(configuration, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	text = strings.Replace(text, `"service":"kit-llm","max-attempts":2,"resumable":true`, fmt.Sprintf(
		`"service":"kit-llm","traffic-split":[{"service":"kit-llm","weight":%d},{"service":"kit-llm-b","weight":%d}],"max-attempts":2,"resumable":true`, first, second), 1)
	return strings.Replace(text, `"services":[`, `"services":[{"name":"kit-llm-b","health-path":"/healthz","max-conns":370,`+
		`"engine":{"slots":64,"kv-capacity":224223,"kv-token-bytes":35136,"models":[{"name":"model-a"}]}},`, 1)
}

func init() { cases["split"] = playSplit }

// playSplit changes the weights of a route that is split between two services, and kills one gate. Clients of that gate take their streams up again
// at the other gates. Without trouble, the weights stay as they are.
func playSplit(rn *run) bool {
	rn.deploySmall(4)
	for n := range 4 {
		rn.addEngine(fmt.Sprintf("i-%04x", 0x9a10+n), "kit-llm-b", rn.zones[n%len(rn.zones)])
	}
	rn.store.put("op", "config", splitConfiguration(4, 95, 5))
	rn.startAll()
	var tc takeUpCounts
	var clients sync.WaitGroup
	begin := time.Now()
	time.AfterFunc(splitChangeAfter, func() {
		if rn.trouble {
			rn.recordf("configuration 7: weights 5 and 95")
			rn.store.put("op", "config", splitConfiguration(7, 5, 95))
		}
	})
	time.AfterFunc(splitKillAfter, func() { rn.killGates(rn.gates[:1]) })
	for n := 0; time.Since(begin) < splitSendFor; n++ {
		clients.Go(func() { rn.stream(n, &tc) })
		time.Sleep(splitStreamPeriod)
	}
	clients.Wait()
	return tc.isBroken(rn)
}
