package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id, tenant, replica, version string
	beganAt, endedAt             time.Time
	// foreign names the part and the tenant whose request made it, for each cached part that the run used and another tenant's request made.
	foreign []string
}

// replica is a stand-in for a model replica, or for a replica of a plain service if engine is not set.
type replica struct {
	id, service, zone, address string
	engine                     bool
	slots                      int
	born                       int64
	server                     *http.Server
	record                     *recorder
	// firstEvent is the time to the first event, gap the pause between events and events their number; work is that of a plain request.
	firstEvent, gap time.Duration
	events          int
	work            time.Duration

	mu sync.Mutex
	// down is set while the replica does not run; it then writes no entry.
	down     bool
	software string
	seq      int
	active   int
	weights  int
	fence    uint64
	runs     []run
	// cache holds, by salt and part, the tenant whose request made the part.
	cache    map[string]string
	orderIDs int
}

const model = "m1"

func newReplica(rc *recorder, id, service, zone string, engine bool, slots int) *replica {
	return &replica{record: rc, id: id, service: service, zone: zone, engine: engine, slots: slots, software: "v1", weights: 1, cache: make(map[string]string),
		firstEvent: 20 * time.Millisecond, gap: 20 * time.Millisecond, events: 3, work: 20 * time.Millisecond}
}

// start starts the replica at an address, or at a free one if that is empty.
func (rp *replica) start(address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", address)
	check(err)
	srv := &http.Server{Handler: http.HandlerFunc(rp.handle)}
	rp.mu.Lock()
	rp.address, rp.born, rp.server, rp.down = lis.Addr().String(), time.Now().UnixMilli(), srv, false
	rp.mu.Unlock()
	go func() { _ = srv.Serve(lis) }()
}

// entry is the row that the replica writes.
func (rp *replica) entry(state string) map[string]any {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.seq++
	entry := map[string]any{"service": rp.service, "address": rp.address, "zone": rp.zone, "version": rp.software, "slots": rp.slots, "state": state,
		"cold-left-ms": 0, "seq": rp.seq, "born": rp.born}
	if rp.engine {
		entry["stage"] = "colocated"
		entry["models"] = []map[string]any{{"name": model, "version": rp.weights, "adapters": []string{}}}
	}
	return entry
}

func (rp *replica) handle(wr http.ResponseWriter, hr *http.Request) {
	if expected := hr.Header.Get("X-Expect-Instance"); expected != "" && expected != rp.id {
		wr.Header().Set("X-Request-Id", hr.Header.Get("X-Request-Id"))
		wr.Header().Set("X-Instance-Id", rp.id)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case hr.URL.Path == "/healthz":
		wr.Header().Set("X-Instance-Id", rp.id)
	case rp.engine && hr.URL.Path == "/report":
		rp.report(wr)
	case rp.engine && hr.URL.Path == "/kv-events":
		rp.kvEvents(wr, hr)
	case rp.engine && hr.URL.Path == "/order":
		rp.order(wr, hr)
	default:
		rp.serve(wr, hr)
	}
}

func (rp *replica) report(wr http.ResponseWriter) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	wr.Header().Set("X-Instance-Id", rp.id)
	writeJSON(wr, http.StatusOK, map[string]any{"stage": "colocated", "models": []map[string]any{{"name": model, "version": rp.weights, "adapters": []string{}}},
		"busy": false, "seq": rp.orderIDs, "queued": max(rp.active-rp.slots, 0), "active": min(rp.active, rp.slots), "kv-used": 100 * rp.active, "kv-total": 220_000,
		"handles": 0, "state": "ready", "born": rp.born, "runs": [][]any{}})
}

func (rp *replica) kvEvents(wr http.ResponseWriter, hr *http.Request) {
	wait, _ := strconv.Atoi(hr.Header.Get("Wait-Ms"))
	since, _ := strconv.Atoi(hr.URL.Query().Get("since"))
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-hr.Context().Done():
	}
	writeJSON(wr, http.StatusOK, map[string]any{"boot-epoch": rp.born % 1_000_000, "next": max(since, 1), "lost": false, "events": []any{}, "born": rp.born})
}

func (rp *replica) order(wr http.ResponseWriter, hr *http.Request) {
	var od struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expected"`
	}
	if err := json.NewDecoder(hr.Body).Decode(&od); err != nil || od.Holder == "" || od.Fence == 0 {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	rp.mu.Lock()
	defer rp.mu.Unlock()
	switch {
	case od.Fence < rp.fence:
		wr.WriteHeader(http.StatusPreconditionFailed)
		return
	case od.Expected != nil && *od.Expected != rp.orderIDs:
		wr.WriteHeader(http.StatusConflict)
		return
	}
	rp.fence = od.Fence
	rp.orderIDs++
	if rp.weights != od.Version {
		rp.weights, rp.cache = od.Version, make(map[string]string)
	}
	wr.WriteHeader(http.StatusAccepted)
}

// serve runs a request.
func (rp *replica) serve(wr http.ResponseWriter, hr *http.Request) {
	_, _ = io.Copy(io.Discard, hr.Body)
	id := hr.Header.Get("X-Request-Id")
	wr.Header().Set("X-Request-Id", id)
	rp.mu.Lock()
	if expected := hr.Header.Get("X-Expect-Version"); rp.engine && expected != "" && expected != strconv.Itoa(rp.weights) {
		weights := rp.weights
		rp.mu.Unlock()
		wr.Header().Set("X-Instance-Id", rp.id)
		wr.Header().Set("X-Weight-Versions", strconv.Itoa(weights))
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if named := hr.Header.Get("X-Model"); rp.engine && named != model {
		// All responses carry the version of the weights.
		weights := rp.weights
		rp.mu.Unlock()
		wr.Header().Set("X-Server-Seal", "seal."+rp.id+"."+id)
		wr.Header().Set("X-Weight-Versions", strconv.Itoa(weights))
		wr.Header().Set("Content-Length", "0")
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	if rp.active >= rp.slots+96 {
		rp.mu.Unlock()
		wr.Header().Set("X-Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rp.active++
	rn := run{id: id, tenant: hr.Header.Get("X-Tenant"), replica: rp.id, version: rp.software, beganAt: time.Now()}
	if rp.engine {
		rn.foreign = rp.useCache(hr.Header.Get("X-Cache-Salt"), hr.Header.Get("X-Prefix-Hash"), rn.tenant)
	}
	index := len(rp.runs)
	rp.runs = append(rp.runs, rn)
	weights, software := rp.weights, rp.software
	rp.mu.Unlock()
	defer func() {
		rp.mu.Lock()
		rp.active--
		rp.runs[index].endedAt = time.Now()
		rp.mu.Unlock()
	}()
	wr.Header().Set("X-Server-Seal", "seal."+rp.id+"."+id)
	if !rp.engine {
		pause(hr, rp.work)
		body := "done " + id + "\n"
		wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(wr, body)
		return
	}
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.Header().Set("X-Weight-Versions", strconv.Itoa(weights))
	first := 1
	if last, err := strconv.Atoi(hr.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	pause(hr, rp.firstEvent)
	for event := first; event <= rp.events && hr.Context().Err() == nil; event++ {
		if event > first {
			pause(hr, rp.gap)
		}
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: piece %d of %d by %s %s\n\n", event, event, rp.events, rp.id, software)
		_ = http.NewResponseController(wr).Flush()
	}
}

// useCache returns the cached parts of a prompt that requests of other tenants made, and caches the others. The last part is the request's own. A
// cached part is used only if all parts before it are cached. The caller holds mu.
func (rp *replica) useCache(salt, parts, tenant string) []string {
	var foreign []string
	ids := strings.Split(parts, ",")
	cached := true
	for _, part := range ids[:max(len(ids)-1, 0)] {
		id, _, _ := strings.Cut(part, ":")
		key := salt + "\x00" + id
		maker, ok := rp.cache[key]
		cached = cached && ok
		if cached && maker != tenant {
			foreign = append(foreign, id+" made by "+maker)
		}
		if !ok && len(rp.cache) < 100_000 {
			rp.cache[key] = tenant
		}
	}
	return foreign
}

func pause(hr *http.Request, span time.Duration) {
	select {
	case <-time.After(span):
	case <-hr.Context().Done():
	}
}

// allRuns returns the runs so far.
func (rp *replica) allRuns() []run {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return append([]run(nil), rp.runs...)
}
