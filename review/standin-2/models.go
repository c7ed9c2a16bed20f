package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with names of models.
const (
	namePeriod = 75 * time.Second
	// nameClients is the number of clients of each machine. Each sends one request after the other.
	nameClients = 4
	namePause   = 5 * time.Millisecond
	// longNameBytes fits into the limit of headers.
	longNameBytes = 14_000
	// floodedGates is the number of machines that get such requests, and faultEnds how often a process of each must end for a fault.
	floodedGates = 2
	faultEnds    = 3
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// keptClients is the number of ordinary clients of each machine, which send one order after the other over a connection that they keep. orderWork
	// is the time that an order takes, and maxLost the number of lost ones that the rule allows a machine.
	keptClients = 8
	orderWork   = 400 * time.Millisecond
	maxLost     = 3
)

// manyModels checks that gates answer the orders that they have passed on while a few clients send requests that name models that do not exist. Like the
// platform, it kills a process that exceeds its memory, and starts it again: the process has then ended by itself.
func manyModels(sy *system, trouble bool) bool {
	rc := sy.record
	sy.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	sy.store.put("op", "config", config(7, tenant{name: "shops", key: "shops-key"}, tenant{name: "press", key: "press-key"}))
	startSmall(sy, 1, nil)
	for _, rp := range sy.replicas {
		rp.mu.Lock()
		rp.work = orderWork
		rp.mu.Unlock()
	}
	began := time.Now()
	var wg sync.WaitGroup
	var sent atomic.Int64
	var ended atomic.Bool
	var mu sync.Mutex
	statuses := make(map[int]int)
	running := func() bool { return time.Since(began) < namePeriod && !ended.Load() }
	for index := range floodedGates {
		address := sy.gates[index].address
		for range nameClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for running() {
					nameModels(rc, address, trouble, &sent, running, func(status int) {
						mu.Lock()
						defer mu.Unlock()
						statuses[status]++
					})
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	// cut holds, by machine, the ids of orders whose kept connection ended without an answer.
	cut := make([][]string, floodedGates)
	orders := 0
	for index := range floodedGates {
		address := sy.gates[index].address
		for client := range keptClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for round := 0; running(); round++ {
					answered, unanswered := keptOrders(address, fmt.Sprintf("order-%d-%d-%d", index, client, round), running)
					mu.Lock()
					orders += answered
					if unanswered != "" {
						cut[index] = append(cut[index], unanswered)
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	ends, peaks := make([]int, floodedGates), make([]float64, floodedGates)
	for running() {
		faulty := 0
		for index := range floodedGates {
			gt := sy.gates[index]
			resident := gt.residentMB()
			peaks[index] = max(peaks[index], resident)
			if resident > float64(sy.memoryMB) || !gt.running() {
				rc.logf("%s is killed: %.0f MB resident, %d requests sent to both gates so far", gt.name, resident, sent.Load())
				ends[index]++
				sy.restartGate(index)
			}
			if ends[index] >= faultEnds {
				faulty++
			}
		}
		if faulty == floodedGates {
			ended.Store(true)
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	ran := make(map[string]string)
	for _, rp := range sy.replicas {
		for _, rn := range rp.allRuns() {
			ran[rn.id] = rp.id
		}
	}
	lost, held := make([]int, floodedGates), true
	for index, ids := range cut {
		for _, id := range ids {
			rc.logf("%s: connection of machine %d ended without an answer; the replica that ran it: %s", id, index+1, ran[id])
			if ran[id] != "" {
				lost[index]++
			}
		}
		held = held && lost[index] <= maxLost
	}
	rc.sayf("memory of the machines %d MB; processes of two machines exceeded it %v times in %.0f s, at most resident %.0f MB; answers by status %v; "+
		"%d orders answered, %v passed on and lost with their kept connections", sy.memoryMB, ends, time.Since(began).Seconds(), peaks, statuses, orders, lost)
	return held
}

// keptOrders sends orders over one connection, one after the other. It returns how many were answered, and the id of the one without an answer when the
// connection ended, unless that was the first or none.
func keptOrders(address, name string, running func() bool) (answered int, unanswered string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for running() {
		id := fmt.Sprintf("%s-%d", name, answered)
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: shops-key\r\nContent-Length: 4\r\n\r\nbook",
			host, id)
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(reader, nil); err == nil {
				var discarded [4096]byte
				for err == nil {
					_, err = resp.Body.Read(discarded[:])
				}
				_ = resp.Body.Close()
				answered++
				continue
			}
		}
		// An answer that the client no longer waits for is not lost with its connection.
		if answered > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
			unanswered = id
		}
		return answered, unanswered
	}
	return answered, ""
}

// nameModels sends requests over one connection, each with the name of another model, until the connection ends.
func nameModels(rc *recorder, address string, trouble bool, sent *atomic.Int64, running func() bool, answered func(status int)) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for running() {
		n := sent.Add(1)
		name := model
		if trouble {
			name = fmt.Sprintf("m%07d%s", n, strings.Repeat("x", longNameBytes))
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /fit/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: name-%d\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: press-key\r\nX-Model: %s\r\n"+
			"X-Token-Counts: 10,4\r\nX-Prefix-Hash: a:5,b:5\r\nContent-Length: 0\r\n\r\n", host, n, name)
		if err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			rc.logf("request %d: error %v", n, err)
			return
		}
		answered(resp.StatusCode)
		var discarded [4096]byte
		for err == nil {
			_, err = resp.Body.Read(discarded[:])
		}
		_ = resp.Body.Close()
		time.Sleep(namePause)
	}
}

// restartGate kills a gate and starts it again with the same settings.
func (sy *system) restartGate(index int) {
	old := sy.gates[index]
	old.kill()
	time.Sleep(restartDelay)
	pr := sy.run("gate", old.name, old.settings)
	pr.zone, pr.address, pr.ready, pr.peer = old.zone, old.address, old.ready, old.peer
	sy.gates[index] = pr
}
