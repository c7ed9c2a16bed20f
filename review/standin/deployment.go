package main

import (
	"fmt"
	"sync"
	"time"
)

// configuration is that of the operator: a resumable stream at a service with a model, and an idempotent call and an order at a plain service.
const configuration = `{"version":3,"routes":[
{"name":"guide","host":"jepu9.example","prefix":"/lepu270/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"target-gap-ms":400,"priority":1,"service":"kit-llm","max-attempts":2,"resumable":true,"sticky":true},
{"name":"read","host":"jepu9.example","prefix":"/read/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"app","max-attempts":2},
{"name":"order","host":"jepu9.example","prefix":"/order/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"app","max-attempts":1}],
"services":[{"name":"kit-llm","health-path":"/healthz","max-conns":370,"engine":{"slots":64,"kv-capacity":224223,"kv-token-bytes":35136,"models":[{"name":"model-a"}]}},
{"name":"app","health-path":"/healthz","max-conns":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000},
"tenants":[{"name":"sese880","api-keys":["ctnfzs989anu6wsjnban"],"isolated":false}]}`

// deploySmall adds a small deployment: five gates in three zones, engines with their tenders, and servers of a plain service.
func (rn *run) deploySmall(engines int) {
	rn.store.put("op", "config", configuration)
	rn.store.put("op", "version/"+modelName, `{"model":"model-a","version":1}`)
	for _, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"} {
		rn.addGate(zone)
	}
	for n := range engines {
		rn.addEngine(fmt.Sprintf("i-%04x", 0x7f30+n), "kit-llm", rn.zones[n%len(rn.zones)])
	}
	for n, zone := range rn.zones {
		newReplica(rn, fmt.Sprintf("a-%04x", 0x11+n), "app", zone, false)
	}
}

// killGates kills gates at the same moment; the platform starts them again after a short delay.
func (rn *run) killGates(gates []*process) {
	var ends sync.WaitGroup
	for _, pr := range gates {
		ends.Go(pr.kill)
	}
	ends.Wait()
	time.Sleep(restartDelay)
	for _, pr := range gates {
		pr.start()
	}
}

// engines returns the engines in the order in which they were added.
func (rn *run) engines() []*replica {
	var engines []*replica
	for _, rp := range rn.replicas {
		if rp.isEngine {
			engines = append(engines, rp)
		}
	}
	return engines
}
