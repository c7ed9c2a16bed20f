// Command standin-3 runs one case of the review: it starts the project's program as processes and plays clients, replicas and the store.
// Usage: standin-3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(*run) bool{
	"reload":   runReload,
	"takeup":   runTakeUp,
	"restart":  runRestart,
	"unframed": runUnframed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rn := &run{began: time.Now(), file: file, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	time.AfterFunc(115*time.Second, func() { rn.fail("the case took too long") })
	rn.dir, err = os.MkdirTemp("", "review-")
	if err != nil {
		rn.fail("%v", err)
	}
	lis := rn.listen()
	rn.storeAddress = lis.Addr().String()
	go func() { _ = http.Serve(lis, rn.store) }()
	broken := cases[os.Args[1]](rn)
	rn.record("trouble %v; rule broken: %v", rn.trouble, broken)
	rn.end()
	fmt.Printf("trouble %v, rule broken: %v\n", rn.trouble, broken)
	if broken {
		os.Exit(1)
	}
}

// run is one run of a case.
type run struct {
	began        time.Time
	trouble      bool
	dir          string
	store        *store
	storeAddress string
	replicas     []*replica

	mu    sync.Mutex
	file  *os.File
	gates []*gate
	used  map[string]bool
}

// record writes a line to the record.
func (rn *run) record(format string, args ...any) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	fmt.Fprintf(rn.file, "%8.3f %s\n", time.Since(rn.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends a case that could not run.
func (rn *run) fail(format string, args ...any) {
	rn.record("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	rn.end()
	os.Exit(2)
}

// end ends all processes that were started.
func (rn *run) end() {
	rn.mu.Lock()
	gates := rn.gates
	rn.mu.Unlock()
	for _, gt := range gates {
		gt.kill()
	}
	_ = os.RemoveAll(rn.dir)
}

// freeAddress returns a free loopback address below the range of outgoing connections.
func (rn *run) freeAddress() string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12_000+rand.Intn(18_000))
		rn.mu.Lock()
		if rn.used == nil {
			rn.used = make(map[string]bool)
		}
		taken := rn.used[address]
		rn.used[address] = true
		rn.mu.Unlock()
		if taken {
			continue
		}
		if lis, err := net.Listen("tcp", address); err == nil {
			_ = lis.Close()
			return address
		}
	}
	rn.fail("no free port")
	return ""
}

// releaseAddresses makes addresses free again that were not used.
func (rn *run) releaseAddresses(addresses []string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, address := range addresses {
		delete(rn.used, address)
	}
}

func (rn *run) listen() net.Listener {
	lis, err := net.Listen("tcp", rn.freeAddress())
	if err != nil {
		rn.fail("%v", err)
	}
	return lis
}

// gate is a gate process.
type gate struct {
	run                       *run
	name, listen, ready, peer string
	env                       []string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// newGate prepares a gate with the settings of a small deployment; settings are further environment variables.
func (rn *run) newGate(name, zone, storeAddress string, settings ...string) *gate {
	gt := &gate{run: rn, name: name, listen: rn.freeAddress(), ready: rn.freeAddress(), peer: rn.freeAddress()}
	gt.env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTCLEAT_NAME=" + name, "SHALLOTCLEAT_ZONE=" + zone,
		"SHALLOTCLEAT_LISTEN=" + gt.listen, "SHALLOTCLEAT_READY=" + gt.ready, "SHALLOTCLEAT_PEER=" + gt.peer, "SHALLOTCLEAT_STORE=" + storeAddress,
		"SHALLOTCLEAT_METRICS=" + rn.freeAddress(), "SHALLOTCLEAT_MEMORY=284", "SHALLOTCLEAT_CPU=0.304", "SHALLOTCLEAT_STOP_TIMEOUT=8s",
		"SHALLOTCLEAT_RETRY_SPAN=10s", "SHALLOTCLEAT_RETRY_RATIO=0.2", "SHALLOTCLEAT_RETRY_ALLOWANCE=56", "SHALLOTCLEAT_OLD_WEIGHTS=6000ms",
		"SHALLOTCLEAT_SETTLE=3000ms", "SHALLOTCLEAT_CONFIG_DEADLINE=2000ms", "SHALLOTCLEAT_DRAIN_DEADLINE=2000ms", "SHALLOTCLEAT_DESCRIPTORS=4100",
		"SHALLOTCLEAT_ADDRESS_REUSE=2s"}, settings...)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.gates = append(rn.gates, gt)
	return gt
}

// setPeer changes the peer address of a gate that has not been started.
func (gt *gate) setPeer(address string) {
	for n, setting := range gt.env {
		if strings.HasPrefix(setting, "SHALLOTCLEAT_PEER=") {
			gt.env[n] = "SHALLOTCLEAT_PEER=" + address
		}
	}
	gt.peer = address
}

// start starts the process with the command of the deploy file.
func (gt *gate) start() {
	log, err := os.OpenFile(gt.run.dir+"/"+gt.name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		gt.run.fail("%v", err)
	}
	gt.cmd = exec.Command("target/shallotcleat", "gate")
	gt.cmd.Env, gt.cmd.Stdout, gt.cmd.Stderr = gt.env, log, log
	if err := gt.cmd.Start(); err != nil {
		gt.run.fail("start gate: %v", err)
	}
	exited, cmd := make(chan struct{}), gt.cmd
	gt.exited = exited
	gt.run.record("gate %s starts", gt.name)
	go func() {
		err := cmd.Wait()
		gt.run.record("gate %s has ended: %v", gt.name, err)
		_ = log.Close()
		close(exited)
	}()
}

func (gt *gate) signal(sig syscall.Signal) {
	gt.run.record("gate %s gets signal %v", gt.name, sig)
	_ = gt.cmd.Process.Signal(sig)
}

func (gt *gate) kill() {
	if gt.cmd == nil || gt.cmd.Process == nil {
		return
	}
	_ = gt.cmd.Process.Kill()
	_ = gt.cmd.Process.Signal(syscall.SIGCONT)
	<-gt.exited
}

// waitReady waits until the gate says that it is ready.
func (gt *gate) waitReady() {
	for range 200 {
		rs, err := http.Get("http://" + gt.ready + "/readyz")
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	gt.run.fail("gate %s did not become ready", gt.name)
}

// logs returns the lines of the gate's log that hold a text.
func (gt *gate) logs(text string) []string {
	all, _ := os.ReadFile(gt.run.dir + "/" + gt.name + ".log")
	var lines []string
	for _, line := range strings.Split(string(all), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
