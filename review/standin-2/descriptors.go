package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with many kept connections.
const (
	// maxFiles and machineMemoryMB are those of the front machines of mchanga-bora.
	maxFiles        = 4100
	machineMemoryMB = 284
	// keptConnections is the number of connections that clients keep open in trouble, and fewConnections that without it.
	keptConnections = 4300
	fewConnections  = 300
	keptPeriod      = 14 * time.Second
	// tryingClients is the number of clients that try to connect: the rule asks for seven.
	tryingClients = 10
	tryPause      = 200 * time.Millisecond
	stablePeriod  = 3 * time.Second
)

// keptConnection is a connection on which a client has sent requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialKept(address string) (*keptConnection, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request without a body and returns the status of its answer.
func (kc *keptConnection) exchange(head string, wait time.Duration) (int, error) {
	if err := kc.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	if _, err := kc.conn.Write([]byte(head)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(kc.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var discarded [4096]byte
	for {
		if _, err := resp.Body.Read(discarded[:]); err != nil {
			break
		}
	}
	return resp.StatusCode, nil
}

func stockHead(id string) string {
	return fmt.Sprintf("GET /stock/7 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: shops-key\r\n\r\n", host, id)
}

func openFiles(pr *process) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid))
	return len(entries)
}

// manyConnections checks that a gate that says it is ready takes new connections while other clients keep theirs open.
func manyConnections(sy *system, trouble bool) bool {
	rc := sy.record
	sy.memoryMB, sy.maxFiles = machineMemoryMB, maxFiles
	sy.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	sy.store.put("op", "config", config(7, tenant{name: "shops", key: "shops-key"}, tenant{name: "press", key: "press-key"}))
	startSmall(sy, 1, nil)
	gt := sy.gates[0]
	count := fewConnections
	if trouble {
		count = keptConnections
	}
	ready, err := dialKept(gt.ready)
	check(err)
	began := time.Now()
	var wg sync.WaitGroup
	var kept, refused atomic.Int64
	work := make(chan int)
	var mu sync.Mutex
	var conns []net.Conn
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range work {
				kc, err := dialKept(gt.address)
				if err != nil {
					refused.Add(1)
					continue
				}
				mu.Lock()
				conns = append(conns, kc.conn)
				mu.Unlock()
				status, err := kc.exchange(stockHead(fmt.Sprintf("kept-%d", n)), 1500*time.Millisecond)
				if err == nil {
					kept.Add(1)
				} else {
					rc.logf("client %d: status %d, error %v", n, status, err)
				}
			}
		}()
	}
	go func() {
		defer close(work)
		for n := range count {
			if time.Since(began) > keptPeriod-2*time.Second {
				return
			}
			work <- n
		}
	}()
	type trial struct {
		at time.Duration
		ok bool
	}
	var trials []trial
	for client := range tryingClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(began) < keptPeriod; n++ {
				at := time.Since(began)
				status := 0
				kc, err := dialKept(gt.address)
				if err == nil {
					status, err = kc.exchange(stockHead(fmt.Sprintf("new-%d-%d", client, n)), time.Second)
					_ = kc.conn.Close()
				}
				rc.logf("new connection of client %d, opened at %.3f: status %d, error %v", client, at.Seconds(), status, err)
				mu.Lock()
				trials = append(trials, trial{at, status != 0})
				mu.Unlock()
				time.Sleep(tryPause)
			}
		}()
	}
	var notReady []time.Duration
	mostFiles := 0
	for time.Since(began) < keptPeriod {
		at := time.Since(began)
		status, err := ready.exchange("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", time.Second)
		files := openFiles(gt)
		mostFiles = max(mostFiles, files)
		rc.logf("readiness: status %d, error %v; %d open files, %.0f MB resident", status, err, files, gt.residentMB())
		if status != http.StatusOK {
			notReady = append(notReady, at)
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	for _, conn := range conns {
		_ = conn.Close()
	}
	// longest is the longest time in which no connection was taken.
	longest, last := time.Duration(0), time.Duration(0)
	answered := 0
	for at := time.Duration(0); at < keptPeriod-time.Second; at += 10 * time.Millisecond {
		for _, tr := range trials {
			if tr.ok && tr.at >= at && tr.at < at+10*time.Millisecond {
				last = at
			}
		}
		longest = max(longest, at-last)
	}
	for _, tr := range trials {
		if tr.ok {
			answered++
		}
	}
	rc.sayf("%s: running %t; %d connections kept, %d refused; %d open files at most; not ready at %v; %d of %d new connections taken, none for %.1f s at most",
		gt.name, gt.running(), kept.Load(), refused.Load(), mostFiles, notReady, answered, len(trials), longest.Seconds())
	if len(notReady) > 0 {
		rc.sayf("the gate did not say that it is ready all the time")
	}
	return longest < stablePeriod
}
