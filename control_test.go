package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"shallotcleat/io/local"
	"shallotcleat/io/stand"
	"shallotcleat/io/vmlist"
)

// Sizes of the measurement of an entry's control.
const (
	controlReplicas = 3100
	controlModels   = 17
	controlTime     = 20 * time.Second
	clockTicks      = 100
)

// BenchmarkEntryControl measures what an entry process without requests spends on 3,100 agents: processor time, resident
// memory, and the bytes of its control messages without framing. One agent process answers for all addresses of the
// list, which are loopback addresses with the same port. Run it with -benchtime 1x.
func BenchmarkEntryControl(b *testing.B) {
	sy := emptySystem(b)
	url, err := sy.platform.Listen(stand.NewPlain(0))
	if err != nil {
		b.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(freeAddress(b))
	sy.start("agent", "--listen", "0.0.0.0:"+port, "--service", "stock", "--plain", "http://"+url)
	var list []vmlist.VM
	for i := range controlReplicas {
		address := fmt.Sprintf("127.1.%d.%d:%s", i/250, i%250+1, port)
		list = append(list, vmlist.VM{Address: address, Zone: "ruai", Role: vmlist.Agent, Service: fmt.Sprintf("model-%d", i%controlModels)})
	}
	sy.platform.SetVMs(list)
	entry := sy.entry()
	if err := local.WaitReady(b.Context(), sy.callers[0], 20*time.Second); err != nil {
		b.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	for range b.N {
		before := processorTime(b, entry)
		time.Sleep(controlTime)
		spent := processorTime(b, entry) - before
		b.ReportMetric(float64(spent.Milliseconds())/controlTime.Seconds(), "cpu-ms/s")
	}
	b.ReportMetric(residentMegabytes(b, entry), "MB-resident")
}

// processorTime returns the user and system time that a process has used, from the kernel's table of processes.
func processorTime(b *testing.B, cmd *exec.Cmd) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system int64
	_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentMegabytes returns a process's resident memory.
func residentMegabytes(b *testing.B, cmd *exec.Cmd) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return float64(resident*int64(os.Getpagesize())) / 1e6
}

// streamedTokens is the length of each stream of the relay's measurement.
const streamedTokens = 20_000

// BenchmarkEntryTokens measures the processor time that an entry process and an agent process spend on each streamed
// token, with an engine that generates without a pause. Run it with -benchtime 1x.
func BenchmarkEntryTokens(b *testing.B) {
	sy := emptySystem(b)
	agent := sy.agent("dispatch", "--model", stand.NewEngine(stand.EngineSpeed{PrefillRate: 1e9, BlockTokens: 50, CacheBlocks: 100}, "v1", true))
	entry := sy.entry()
	if err := local.WaitReady(b.Context(), sy.callers[0], 20*time.Second); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	entryBefore, agentBefore := processorTime(b, entry), processorTime(b, agent)
	tokens := 0
	for range b.N * 8 {
		tokens += sy.streamTokens(b)
	}
	b.ReportMetric(float64((processorTime(b, entry)-entryBefore).Microseconds())/float64(tokens), "entry-us/token")
	b.ReportMetric(float64((processorTime(b, agent)-agentBefore).Microseconds())/float64(tokens), "agent-us/token")
}

// streamTokens asks for one long stream and returns how many tokens came.
func (sy *system) streamTokens(b *testing.B) int {
	b.Helper()
	body := fmt.Sprintf(`{"model":"dispatch","prompt":"#t#","max_tokens":%d,"stream":true}`, streamedTokens)
	tokens := 0
	_, err := local.NewCaller(sy.callers[0], callerKey).Stream(b.Context(), "POST", "/v1/completions", []byte(body), func(ev local.Event) bool {
		if ev.Text() != "" {
			tokens++
		}
		return true
	})
	if err != nil || tokens != streamedTokens {
		b.Fatalf("%d tokens, %v", tokens, err)
	}
	return tokens
}
