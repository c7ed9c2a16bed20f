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

// replica is a stand-in for a backend server. A replica of a service with a model also answers the calls of its tender.
type replica struct {
	run      *run
	service  string
	zone     string
	address  string
	isEngine bool

	mu       sync.Mutex
	id       string
	software string
	born     int64
	seq      int
	fence    uint64
	orders   uint64
	weights  uint64
	active   int
	isDown   bool
	server   *http.Server
	conns    map[net.Conn]bool
	events   int
	gap      time.Duration
	prefill  time.Duration
	// crashOn returns whether the replica crashes as it begins to answer the request.
	crashOn func(hr *http.Request, body string) bool
}

// newReplica starts a replica and writes its row.
func newReplica(rn *run, id, service, zone string, isEngine bool) *replica {
	rp := &replica{run: rn, id: id, service: service, zone: zone, isEngine: isEngine, software: "1.0", weights: 1, events: expectedEvents,
		gap: eventGap, prefill: 100 * time.Millisecond}
	lis, err := net.Listen("tcp", freeAddress())
	check(err)
	rp.address = lis.Addr().String()
	rp.serve(lis)
	rp.writeRow("ready")
	rn.replicas = append(rn.replicas, rp)
	return rp
}

func (rp *replica) serve(lis net.Listener) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.conns = make(map[net.Conn]bool)
	rp.born, rp.seq, rp.fence, rp.orders, rp.isDown, rp.active = time.Now().UnixMilli(), 0, 0, 0, false, 0
	rp.server = &http.Server{Handler: rp, ConnState: func(conn net.Conn, state http.ConnState) {
		rp.mu.Lock()
		defer rp.mu.Unlock()
		if state == http.StateClosed {
			delete(rp.conns, conn)
		} else {
			rp.conns[conn] = true
		}
	}}
	go func(srv *http.Server) { _ = srv.Serve(lis) }(rp.server)
}

// writeRow writes the replica's row in the table of servers.
func (rp *replica) writeRow(state string) {
	rp.mu.Lock()
	rp.seq++
	value := map[string]any{"service": rp.service, "address": rp.address, "zone": rp.zone, "version": rp.software, "slots": 32, "state": state,
		"cold-left-ms": 0, "seq": rp.seq, "born": rp.born}
	if rp.isEngine {
		value["stage"] = "colocated"
		value["models"] = []any{map[string]any{"name": modelName, "version": rp.weights, "adapters": []any{}}}
	}
	id := rp.id
	rp.mu.Unlock()
	text, err := json.Marshal(value)
	check(err)
	rp.run.store.put("servers", id, string(text))
}

// crash ends the replica: its connections are reset and its port refuses new ones.
func (rp *replica) crash() {
	rp.mu.Lock()
	if rp.isDown {
		rp.mu.Unlock()
		return
	}
	rp.isDown = true
	srv := rp.server
	for conn := range rp.conns {
		if tc, ok := conn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	rp.mu.Unlock()
	_ = srv.Close()
}

// restart starts a crashed replica at its address, with another id unless it keeps its own.
func (rp *replica) restart(id string) {
	lis, err := net.Listen("tcp", rp.address)
	check(err)
	rp.mu.Lock()
	old := rp.id
	rp.id = id
	rp.mu.Unlock()
	rp.serve(lis)
	if old != id {
		rp.run.store.remove("servers", old)
	}
	rp.writeRow("ready")
}

func (rp *replica) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return
	}
	rp.mu.Lock()
	id, born, weights, software := rp.id, rp.born, rp.weights, rp.software
	rp.mu.Unlock()
	switch {
	case hr.URL.Path == "/healthz":
		wr.Header().Set("X-Instance-Id", id)
		return
	case rp.isEngine && hr.URL.Path == "/report":
		rp.report(wr)
		return
	case rp.isEngine && hr.URL.Path == "/kv-events":
		rp.cacheEvents(wr, hr, born)
		return
	}
	if expected := hr.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		wr.Header().Set("X-Instance-Id", id)
		rp.reject(wr, hr, http.StatusMisdirectedRequest)
		return
	}
	if rp.isEngine && hr.URL.Path == "/order" {
		rp.order(wr, body)
		return
	}
	if expected := hr.Header.Get("X-Expect-Version"); rp.isEngine && expected != "" && expected != fmt.Sprint(weights) {
		wr.Header().Set("X-Weight-Versions", fmt.Sprint(weights))
		rp.reject(wr, hr, http.StatusMisdirectedRequest)
		return
	}
	requestID := hr.Header.Get("X-Request-Id")
	if requestID == "" {
		rp.reject(wr, hr, http.StatusBadRequest)
		return
	}
	rp.run.recordf("run id=%s replica=%s software=%s tenant=%s after=%s", requestID, id, software, hr.Header.Get("X-Tenant"), hr.Header.Get("Last-Event-Id"))
	rp.run.countRun(requestID, id)
	rp.run.checkRoute(requestID, hr.URL.Path, rp.service, id)
	rp.mu.Lock()
	rp.active++
	prefill, gap, events := rp.prefill, rp.gap, rp.events
	crashOn := rp.crashOn
	rp.mu.Unlock()
	defer func() {
		rp.mu.Lock()
		defer rp.mu.Unlock()
		rp.active = max(rp.active-1, 0)
	}()
	select {
	case <-hr.Context().Done():
		return
	case <-time.After(prefill):
	}
	if crashOn != nil && crashOn(hr, string(body)) {
		rp.run.recordf("crash replica=%s id=%s", id, requestID)
		rp.crash()
		return
	}
	wr.Header().Set("X-Request-Id", requestID)
	wr.Header().Set("X-Server-Seal", "seal."+id)
	if !rp.isEngine {
		_, _ = fmt.Fprintf(wr, "answer to %s", requestID)
		return
	}
	wr.Header().Set("X-Weight-Versions", fmt.Sprint(weights))
	wr.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(hr.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= events; number++ {
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s %d of %s\n\n", number, software, number, contentOf(string(body))); err != nil {
			return
		}
		wr.(http.Flusher).Flush()
		select {
		case <-hr.Context().Done():
			return
		case <-time.After(gap):
		}
	}
}

// contentOf returns the first word of a request's body, which names the stream.
func contentOf(body string) string {
	word, _, _ := strings.Cut(body, " ")
	return word
}

// reject answers a request that the replica does not run.
func (rp *replica) reject(wr http.ResponseWriter, hr *http.Request, status int) {
	wr.Header().Set("X-Not-Executed", "1")
	if id := hr.Header.Get("X-Request-Id"); id != "" {
		wr.Header().Set("X-Request-Id", id)
	}
	wr.WriteHeader(status)
}

func (rp *replica) report(wr http.ResponseWriter) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": rp.weights, "adapters": []any{}}},
		"busy": false, "seq": rp.orders, "queued": 0, "active": rp.active, "kv-used": 0, "kv-total": 224223, "handles": 0, "born": rp.born})
}

// cacheEvents answers that nothing was cached, after the time that the caller waits.
func (rp *replica) cacheEvents(wr http.ResponseWriter, hr *http.Request, born int64) {
	wait, _ := strconv.Atoi(hr.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-hr.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(wr, `{"boot-epoch":%d,"next":1,"lost":false,"events":[]}`, born)
}

// order carries out an order to load weights.
func (rp *replica) order(wr http.ResponseWriter, body []byte) {
	var od struct {
		Version, Fence, Expected uint64
		Holder                   string
	}
	if err := json.Unmarshal(body, &od); err != nil || od.Holder == "" || od.Fence == 0 {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	rp.mu.Lock()
	defer rp.mu.Unlock()
	switch {
	case od.Fence < rp.fence:
		wr.WriteHeader(http.StatusPreconditionFailed)
	case od.Expected != rp.orders:
		wr.WriteHeader(http.StatusConflict)
	case od.Version == rp.weights:
		rp.fence = od.Fence
	default:
		rp.fence, rp.weights = od.Fence, od.Version
		rp.orders++
		wr.WriteHeader(http.StatusAccepted)
	}
}
