package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a replica of a service without an engine.
type replica struct {
	run     *run
	id      string
	service string
	zone    string
	version string
	born    int64
	address string
	server  *http.Server
	// events is the number of events of a stream, and gap the time between two; work is the time of other requests.
	events int
	gap    time.Duration
	work   time.Duration
	// slots bounds the requests that are processed at once, health checks too; the others wait. Nil is no bound.
	slots chan struct{}
	// unframed is set if answers have neither a length nor chunks and end with their connections.
	unframed bool
	seq      atomic.Int64
}

// take waits for a slot, and reports whether the caller still waits for the answer.
func (rp *replica) take(hr *http.Request) bool {
	if rp.slots == nil {
		return true
	}
	select {
	case rp.slots <- struct{}{}:
		return true
	case <-hr.Context().Done():
		return false
	}
}

func (rp *replica) free() {
	if rp.slots != nil {
		<-rp.slots
	}
}

func (rn *run) startReplica(rp *replica) *replica {
	lis := rn.listen()
	rp.run, rp.address, rp.born = rn, lis.Addr().String(), time.Now().UnixMilli()
	rp.server = &http.Server{Handler: rp}
	go func() { _ = rp.server.Serve(lis) }()
	rn.replicas = append(rn.replicas, rp)
	return rp
}

// register writes the replica's entry.
func (rp *replica) register(state string) {
	rp.run.store.put("servers", rp.id, map[string]any{"service": rp.service, "address": rp.address, "zone": rp.zone, "version": rp.version, "slots": 32,
		"state": state, "cold-left-ms": 0, "seq": rp.seq.Add(1), "born": rp.born})
	rp.run.record("replica %s (%s, version %s) at %s says %s", rp.id, rp.service, rp.version, rp.address, state)
}

func (rp *replica) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && hr.URL.Path == "/healthz" {
		if !rp.take(hr) {
			return
		}
		defer rp.free()
		wr.Header().Set("X-Instance-Id", rp.id)
		return
	}
	id := hr.Header.Get("X-Request-Id")
	if expected := hr.Header.Get("X-Expect-Instance"); expected != "" && expected != rp.id {
		wr.Header().Set("X-Request-Id", id)
		wr.Header().Set("X-Instance-Id", rp.id)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return
	}
	if !rp.take(hr) {
		return
	}
	defer rp.free()
	rp.run.record("run: request %s begins at replica %s (version %s), %d bytes, Last-Event-Id %q", id, rp.id, rp.version, len(body), hr.Header.Get("Last-Event-Id"))
	wr.Header().Set("X-Request-Id", id)
	wr.Header().Set("X-Server-Seal", "seal."+rp.id+"."+id)
	if hr.Header.Get("X-Kind") != "stream" {
		time.Sleep(rp.work)
		text := []byte("answer of " + rp.id + " to " + id + "\n")
		wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = wr.Write(text)
		return
	}
	first := 1
	if last, err := strconv.Atoi(hr.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	wr.Header().Set("Content-Type", "text/event-stream")
	if rp.unframed {
		// net/http ends such an answer with its connection.
		wr.Header().Set("Connection", "close")
		wr.Header().Set("Transfer-Encoding", "identity")
	}
	for number := first; number <= rp.events; number++ {
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s %s\n\n", number, rp.version, rp.id); err != nil {
			return
		}
		wr.(http.Flusher).Flush()
		select {
		case <-time.After(rp.gap):
		case <-hr.Context().Done():
			rp.run.record("run: request %s at replica %s: its connection was closed after event %d", id, rp.id, number)
			return
		}
	}
	rp.run.record("run: request %s at replica %s ends after event %d", id, rp.id, rp.events)
}

// link is a TCP proxy to one address. While it is silent, it forwards nothing and closes nothing, as a partition does.
type link struct {
	lis    net.Listener
	target string
	silent atomic.Bool
}

func (rn *run) startLink(target string) *link {
	ln := &link{lis: rn.listen(), target: target}
	go func() {
		for {
			from, err := ln.lis.Accept()
			if err != nil {
				return
			}
			go ln.serve(from)
		}
	}()
	return ln
}

func (ln *link) address() string { return ln.lis.Addr().String() }

func (ln *link) serve(from net.Conn) {
	for ln.silent.Load() {
		time.Sleep(20 * time.Millisecond)
	}
	to, err := net.Dial("tcp", ln.target)
	if err != nil {
		_ = from.Close()
		return
	}
	go ln.forward(from, to)
	ln.forward(to, from)
}

func (ln *link) forward(from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		for ln.silent.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
