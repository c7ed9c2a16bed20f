package main

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"shallotcleat/io/fake"
	"shallotcleat/io/local"
)

// Guards against entries and agents that SIGHUP, or the loss of their log's reader, ends: orders are placed while signals come in series that overlap a
// graceful stop, and no process ends unasked.
func TestSignalsDoNotEndEntriesAndAgents(t *testing.T) {
	cl := newEmptyCluster(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = reader.Close()
	defer func() { _ = writer.Close() }()
	cl.log = writer
	service := fake.NewPlainService(30 * time.Millisecond)
	cl.plainServices = append(cl.plainServices, service)
	cl.plainAgents = append(cl.plainAgents, cl.startAgent("stock", "--plain", service))
	for range 2 {
		cl.entries = append(cl.entries, cl.startEntry())
	}
	for _, address := range cl.entryAddresses {
		if err := local.WaitReady(t.Context(), address, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	processes := []*exec.Cmd{cl.entries[0], cl.entries[1], cl.plainAgents[0]}
	done := make(chan struct{})
	var series, orders sync.WaitGroup
	for _, cmd := range processes {
		series.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
					_ = cmd.Process.Signal(syscall.SIGHUP)
				}
			}
		})
	}
	const workers, rounds = 4, 20
	var oc outcomes
	for worker := range workers {
		orders.Go(func() {
			for round := range rounds {
				placeOrderUntilSettled(t.Context(), cl, fmt.Sprintf("order-%d-%d", worker, round), &oc)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	_ = cl.entries[0].Process.Signal(syscall.SIGTERM)
	orders.Wait()
	close(done)
	series.Wait()
	for _, failure := range oc.failures {
		t.Error(failure)
	}
	cl.checkOrderRuns(workers, rounds, &oc)
	if oc.counts["lost"] > 0 {
		t.Errorf("%d orders were lost: %v", oc.counts["lost"], oc.counts)
	}
	for _, cmd := range processes {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Process.Signal(syscall.SIGHUP)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%s ended with %v", cmd.Args[1], err)
		}
	}
}
