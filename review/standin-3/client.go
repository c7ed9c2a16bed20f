package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	status int
	seal   string
	body   string
	// err is set if the connection ended without a complete answer.
	err error
}

// call describes an attempt of a client.
type call struct {
	id, host, path, body string
	stream               bool
	deadline             time.Duration
	headers              map[string]string
}

// send sends an attempt over a connection of its own and reads the answer to its end.
func (gt *gate) send(cl call) answer {
	hr, err := http.NewRequest(http.MethodPost, "http://"+gt.listen+cl.path, strings.NewReader(cl.body))
	if err != nil {
		gt.run.fail("%v", err)
	}
	hr.Host = cl.host
	hr.Header.Set("X-Request-Id", cl.id)
	hr.Header.Set("X-Api-Key", apiKey)
	hr.Header.Set("X-Deadline-Ms", fmt.Sprint(cl.deadline.Milliseconds()))
	if cl.stream {
		hr.Header.Set("X-Kind", "stream")
	}
	for name, value := range cl.headers {
		hr.Header.Set(name, value)
	}
	gt.run.record("sent: request %s to gate %s", cl.id, gt.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: cl.deadline}
	rs, err := client.Do(hr)
	if err != nil {
		gt.run.record("answered: request %s: no answer: %v", cl.id, err)
		return answer{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	gt.run.record("answered: request %s: status %d, %d bytes, end %v", cl.id, rs.StatusCode, len(body), err)
	return answer{status: rs.StatusCode, seal: rs.Header.Get("X-Server-Seal"), body: string(body), err: err}
}

const apiKey = "ctnfzs989anu6wsjnban"

// putConfig writes a configuration with a resumable stream, one that is not resumable, and a route of orders.
func (rn *run) putConfig(version int) {
	route := func(name, kind string, resumable bool, timeout int) map[string]any {
		return map[string]any{"name": "r-" + name, "host": name + ".example", "prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout, "target-latency-ms": 600,
			"priority": 1, "service": "app", "max-attempts": 2, "anonymous": false, "sticky": false, "resumable": resumable, "target-gap-ms": 400}
	}
	rn.store.put("op", "config", map[string]any{"version": version,
		"routes":   []any{route("plan", "streaming", false, 15_000), route("check", "streaming", true, 15_000), route("order", "non_idempotent", false, 5_000)},
		"services": []any{map[string]any{"name": "app", "health-path": "/healthz", "max-conns": 240, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "sese880", "api-keys": []string{apiKey}, "priority": 1, "isolated": false}}})
}
