package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"shallotcleat/io/fake"
	"shallotcleat/io/local"
	"shallotcleat/io/vmlist"
)

// Parameters of BenchmarkEntryControl.
const (
	controlAgents       = 3100
	controlServices     = 17
	controlPeriod       = 20 * time.Second
	clockTicksPerSecond = 100 // Resolution of the times in /proc/PID/stat.
)

// BenchmarkEntryControl measures the processor time and resident memory of an entry process that serves no requests but
// polls 3,100 agents. All addresses in the VM list are loopback addresses with the same port, where one agent process
// responds. Run it with -benchtime 1x.
func BenchmarkEntryControl(b *testing.B) {
	cl := newEmptyCluster(b)
	url, err := cl.platform.StartServer(fake.NewPlainService(0))
	if err != nil {
		b.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(freeAddress(b))
	cl.start("agent", "--listen", "0.0.0.0:"+port, "--service", "stock", "--plain", "http://"+url)
	var vms []vmlist.VM
	for i := range controlAgents {
		address := fmt.Sprintf("127.1.%d.%d:%s", i/250, i%250+1, port)
		vms = append(vms, vmlist.VM{Address: address, Zone: "ruai", Role: vmlist.RoleAgent, Service: fmt.Sprintf("model-%d", i%controlServices)})
	}
	cl.platform.SetVMs(vms)
	entry := cl.startEntry()
	if err := local.WaitReady(b.Context(), cl.entryAddresses[0], 20*time.Second); err != nil {
		b.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	for range b.N {
		before := cpuTime(b, entry)
		time.Sleep(controlPeriod)
		used := cpuTime(b, entry) - before
		b.ReportMetric(float64(used.Milliseconds())/controlPeriod.Seconds(), "cpu-ms/s")
	}
	b.ReportMetric(residentMB(b, entry), "MB-resident")
}

// cpuTime returns the user and system time that a process has used, from /proc/PID/stat.
func cpuTime(b *testing.B, cmd *exec.Cmd) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, kernel int64
	_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &kernel)
	return time.Duration(user+kernel) * time.Second / clockTicksPerSecond
}

// residentMB returns the resident memory of a process in units of 1e6 bytes.
func residentMB(b *testing.B, cmd *exec.Cmd) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return float64(resident*int64(os.Getpagesize())) / 1e6
}

// streamedTokens is the number of tokens in each stream of BenchmarkEntryTokens.
const streamedTokens = 20_000

// BenchmarkEntryTokens measures the processor time per streamed token of an entry process and an agent process, with an
// engine that generates tokens without delay. Run it with -benchtime 1x.
func BenchmarkEntryTokens(b *testing.B) {
	cl := newEmptyCluster(b)
	agent := cl.startAgent("dispatch", "--model",
		fake.NewEngine(fake.EngineSpeed{PrefillRate: 1e9, BlockTokens: 50, CacheBlocks: 100}, "v1", true))
	entry := cl.startEntry()
	if err := local.WaitReady(b.Context(), cl.entryAddresses[0], 20*time.Second); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	entryBefore, agentBefore := cpuTime(b, entry), cpuTime(b, agent)
	tokens := 0
	for range b.N * 8 {
		tokens += cl.countStreamedTokens(b)
	}
	b.ReportMetric(float64((cpuTime(b, entry)-entryBefore).Microseconds())/float64(tokens), "entry-us/token")
	b.ReportMetric(float64((cpuTime(b, agent)-agentBefore).Microseconds())/float64(tokens), "agent-us/token")
}

// countStreamedTokens requests one stream of streamedTokens and returns the number of tokens received.
func (cl *cluster) countStreamedTokens(b *testing.B) int {
	b.Helper()
	body := fmt.Sprintf(`{"model":"dispatch","prompt":"#t#","max_tokens":%d,"stream":true}`, streamedTokens)
	tokens := 0
	_, err := local.NewCaller(cl.entryAddresses[0], callerKey).
		Stream(b.Context(), "POST", "/v1/completions", []byte(body), func(ev local.Event) bool {
			if ev.Text() != "" {
				tokens++
			}
			return true
		})
	if err != nil || tokens != streamedTokens {
		b.Fatalf("received %d tokens: %v", tokens, err)
	}
	return tokens
}
