package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun means that a case could not run.
var errCannotRun = errors.New("the case cannot run")

// check ends the case as one that could not run if err is not nil.
func check(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errCannotRun, err))
	}
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	check(err)
	return &recorder{out: bufio.NewWriter(file), file: file, began: time.Now()}
}

// logf writes a line to the record.
func (rc *recorder) logf(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.out, "%8.3f %s\n", time.Since(rc.began).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the record and to the terminal.
func (rc *recorder) sayf(format string, args ...any) {
	rc.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (rc *recorder) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_ = rc.out.Flush()
	_ = rc.file.Close()
}

// process is a process of the project.
type process struct {
	name, zone, address, ready, peer string
	cmd                              *exec.Cmd
	settings                         map[string]string
	exited                           chan struct{}
}

// system is a small deployment: the stand-ins, and the project's processes.
type system struct {
	record    *recorder
	dir       string
	program   string
	store     *store
	storeAddr string
	gates     []*process
	tenders   []*process
	replicas  []*replica
	// seeds are the peer addresses of the first gates.
	seeds        []string
	gatesStarted int
	// memoryMB is the memory that gates are told.
	memoryMB int
	// maxFiles is the number of descriptors that gates may have, or zero for no bound.
	maxFiles int
	done     chan struct{}
}

func newSystem(rc *recorder) *system {
	dir, err := os.MkdirTemp("", "standin-2-")
	check(err)
	program, err := filepath.Abs("target/shallotcleat")
	check(err)
	if _, err := os.Stat(program); err != nil {
		check(err)
	}
	sy := &system{record: rc, dir: dir, program: program, store: newStore(), memoryMB: 134, done: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	sy.storeAddr = lis.Addr().String()
	go func() { _ = http.Serve(lis, sy.store.handler()) }()
	return sy
}

// close ends all processes of the system.
func (sy *system) close() {
	close(sy.done)
	for _, pr := range append(sy.gates, sy.tenders...) {
		pr.kill()
	}
	_ = os.RemoveAll(sy.dir)
}

// kill ends a process with SIGKILL.
func (pr *process) kill() {
	_ = pr.cmd.Process.Kill()
	<-pr.exited
}

// running reports whether the process has not ended.
func (pr *process) running() bool {
	select {
	case <-pr.exited:
		return false
	default:
		return true
	}
}

func freeAddress() string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// run starts a role with the settings of a small deployment and further ones.
func (sy *system) run(role, name string, settings map[string]string) *process {
	boot := filepath.Join(sy.dir, name+".env")
	check(os.WriteFile(boot, []byte("SHALLOTCLEAT_ADDRESS_REUSE=2s\n"), 0o600))
	settings["SHALLOTCLEAT_NAME"], settings["SHALLOTCLEAT_STORE"], settings["SHALLOTCLEAT_BOOT"] = name, sy.storeAddr, boot
	settings["SHALLOTCLEAT_METRICS"] = freeAddress()
	pr := &process{name: name, settings: settings, cmd: exec.Command(sy.program, role), exited: make(chan struct{})}
	if role == "gate" && sy.maxFiles > 0 {
		// The shell bounds the descriptors and becomes the program.
		pr.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" %s", sy.maxFiles, role), sy.program)
	}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		pr.cmd.Env = append(pr.cmd.Env, name+"="+os.Getenv(name))
	}
	for name, value := range settings {
		pr.cmd.Env = append(pr.cmd.Env, name+"="+value)
	}
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, err := os.Create(filepath.Join(sy.dir, name+".log"))
	check(err)
	pr.cmd.Stdout, pr.cmd.Stderr = logs, logs
	check(start(pr.cmd))
	go func() {
		err := pr.cmd.Wait()
		_ = logs.Close()
		sy.record.logf("process %s ended: %v", name, err)
		close(pr.exited)
	}()
	return pr
}

// starts receives the commands that are to be started.
var starts = make(chan startRequest)

type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

// startCommands starts commands on a thread that lives as long as the program: the kernel ends a process when the thread ends that started it.
func startCommands() {
	runtime.LockOSThread()
	for rq := range starts {
		rq.done <- rq.cmd.Start()
	}
}

func start(cmd *exec.Cmd) error {
	rq := startRequest{cmd: cmd, done: make(chan error, 1)}
	starts <- rq
	return <-rq.done
}

// startGates starts gates in a zone each.
func (sy *system) startGates(zones ...string) {
	var peers []string
	for range zones {
		peers = append(peers, freeAddress())
	}
	if len(sy.seeds) == 0 {
		sy.seeds = peers
	}
	for i, zone := range zones {
		sy.gatesStarted++
		settings := map[string]string{
			"SHALLOTCLEAT_ZONE": zone, "SHALLOTCLEAT_LISTEN": freeAddress(), "SHALLOTCLEAT_READY": freeAddress(), "SHALLOTCLEAT_PEER": peers[i],
			"SHALLOTCLEAT_GATES": strings.Join(sy.seeds, ","), "SHALLOTCLEAT_MEMORY": strconv.Itoa(sy.memoryMB), "SHALLOTCLEAT_CPU": "0.304",
			"SHALLOTCLEAT_STOP_TIMEOUT": "8s", "SHALLOTCLEAT_RETRY_SPAN": "10s", "SHALLOTCLEAT_RETRY_RATIO": "0.2", "SHALLOTCLEAT_RETRY_ALLOWANCE": "56",
			"SHALLOTCLEAT_OLD_WEIGHTS": "12000ms", "SHALLOTCLEAT_SETTLE": "3000ms", "SHALLOTCLEAT_CONFIG_DEADLINE": "2000ms", "SHALLOTCLEAT_DRAIN_DEADLINE": "2000ms",
		}
		pr := sy.run("gate", fmt.Sprintf("gate-%d", sy.gatesStarted), settings)
		pr.zone, pr.address, pr.ready, pr.peer = zone, settings["SHALLOTCLEAT_LISTEN"], settings["SHALLOTCLEAT_READY"], settings["SHALLOTCLEAT_PEER"]
		sy.gates = append(sy.gates, pr)
	}
}

// startTender starts the tender of a model replica.
func (sy *system) startTender(rp *replica) *process {
	pr := sy.run("tender", "tender-"+rp.id, map[string]string{"SHALLOTCLEAT_ZONE": rp.zone, "SHALLOTCLEAT_ENGINE": rp.address, "SHALLOTCLEAT_SERVICE": rp.service,
		"SHALLOTCLEAT_GATES": strings.Join(sy.seeds, ","), "SHALLOTCLEAT_MEMORY": "216"})
	sy.tenders = append(sy.tenders, pr)
	return pr
}

// add starts a replica, which writes its entry at each heartbeat.
func (sy *system) add(rp *replica) {
	rp.start("")
	sy.replicas = append(sy.replicas, rp)
	sy.writeEntry(rp)
	go func() {
		for {
			select {
			case <-sy.done:
				return
			case <-time.After(1200 * time.Millisecond):
				sy.writeEntry(rp)
			}
		}
	}()
}

// writeEntry writes the entry of a replica unless it is down.
func (sy *system) writeEntry(rp *replica) {
	rp.mu.Lock()
	down := rp.down
	rp.mu.Unlock()
	if !down {
		sy.store.put("servers", rp.id, rp.entry("ready"))
	}
}

// waitReady waits until all gates are ready.
func (sy *system) waitReady() {
	for _, gt := range sy.gates {
		deadline := time.Now().Add(15 * time.Second)
		for !isReady(gt.ready) {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", gt.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of a process in MB of 1,000,000 bytes, or 0 if it has ended.
func (pr *process) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / 1e6
}

// request is a request of a client.
type request struct {
	method, host, path, id, key string
	timeout                     time.Duration
	header                      map[string]string
	body                        string
}

// answer is what a client got. Status is 0 without an answer.
type answer struct {
	status int
	header http.Header
	body   string
	took   time.Duration
	err    error
}

// send sends a request over a connection of its own; the client waits for wait.
func send(address string, rq request, wait time.Duration) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+address+rq.path, strings.NewReader(rq.body))
	check(err)
	hr.Host = rq.host
	hr.Header.Set("X-Request-Id", rq.id)
	hr.Header.Set("X-Deadline-Ms", strconv.FormatInt(rq.timeout.Milliseconds(), 10))
	if rq.key != "" {
		hr.Header.Set("X-Api-Key", rq.key)
	}
	for name, value := range rq.header {
		hr.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(hr)
	if err != nil {
		return answer{took: time.Since(began), err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), took: time.Since(began), err: err}
}

// Names of the small deployment.
const (
	host          = "shop.example"
	engineService = "kit-llm"
	plainService  = "franchise-app"
)

// tenant is a tenant of a configuration.
type tenant struct {
	name, key string
	isolated  bool
}

// config returns a configuration with a route of streams and one of plain requests that may run once.
func config(version int, tenants ...tenant) map[string]any {
	var list []map[string]any
	for _, tn := range tenants {
		list = append(list, map[string]any{"name": tn.name, "api-keys": []string{tn.key}, "priority": 1, "isolated": tn.isolated})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "part-fit", "host": host, "prefix": "/fit/", "kind": "streaming", "timeout-ms": 3000, "target-latency-ms": 500, "priority": 0,
				"service": engineService, "max-attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "target-gap-ms": 400},
			{"name": "build-guide", "host": host, "prefix": "/guide/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800, "priority": 1,
				"service": engineService, "max-attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "target-gap-ms": 400},
			{"name": "restock-order", "host": host, "prefix": "/order/", "kind": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2,
				"service": plainService, "max-attempts": 1, "anonymous": false, "sticky": false},
			{"name": "stock-read", "host": host, "prefix": "/stock/", "kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2,
				"service": plainService, "max-attempts": 2, "anonymous": false, "sticky": false},
		},
		"services": []map[string]any{
			{"name": engineService, "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64,
				"kv-capacity": 220943, "kv-token-bytes": 35136, "link-mbps": 550000.0, "moves": true, "backups": true, "stride": 6, "max-inflight": 12,
				"pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}}}},
			{"name": plainService, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": list,
	}
}

// startSmall starts a small deployment: a gate in each of three zones, model replicas with their tenders in each and a plain service.
func startSmall(sy *system, enginesInZone int, prepare func(rp *replica)) {
	zones := []string{"praha-a", "praha-b", "brno-c"}
	sy.startGates(zones...)
	for i := range enginesInZone * len(zones) {
		rp := newReplica(sy.record, fmt.Sprintf("i-model%d", i+1), engineService, zones[i%len(zones)], true, 64)
		if prepare != nil {
			prepare(rp)
		}
		sy.add(rp)
	}
	for i, zone := range zones {
		sy.add(newReplica(sy.record, fmt.Sprintf("i-plain%d", i+1), plainService, zone, false, 6))
	}
	for _, rp := range sy.replicas {
		if rp.engine {
			sy.startTender(rp)
		}
	}
	sy.waitReady()
	time.Sleep(3 * time.Second)
}
