package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment.
const (
	stable    = 3 * time.Second
	grace     = 8 * time.Second
	modelName = "model-a"
	// restartDelay is the time after which the platform starts a process that has ended again.
	restartDelay = 500 * time.Millisecond
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run the case:", err)
		exit(exitCannotRun)
	}
}

// role is a role of the deploy file.
type role struct {
	command []string
	env     map[string]string
}

// readRoles reads the roles, with their commands and settings, from the deploy file.
func readRoles(path string) map[string]*role {
	file, err := os.Open(path)
	check(err)
	defer func() { _ = file.Close() }()
	roles := make(map[string]*role)
	section := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			section = strings.TrimSuffix(name, "]")
			if !strings.Contains(section, ".") {
				roles[section] = &role{env: make(map[string]string)}
			}
			continue
		}
		key, value, ok := strings.Cut(line, " = ")
		if !ok || section == "" {
			continue
		}
		value = strings.Trim(value, `"`)
		if name, isEnv := strings.CutSuffix(section, ".env"); isEnv {
			roles[name].env[key] = value
		} else if key == "run" {
			roles[section].command = strings.Fields(value)
		}
	}
	return roles
}

// process is a gate or tender that runs as a process of its own.
type process struct {
	run      *run
	role     *role
	settings map[string]string

	mu      sync.Mutex
	command *exec.Cmd
	// startedAt is when the process was last started, or zero while it does not run.
	startedAt time.Time
	ended     chan struct{}
	// misses is how many readiness checks in a row have failed.
	misses int
}

// settingsOf returns the settings of the platform that the deploy file names, except those of the process itself.
func (rn *run) settings() map[string]string {
	return map[string]string{
		"platform.address": rn.store.address, "bounds.grace-s": "8", "bounds.budget-window-s": "10", "bounds.retry-budget-ratio": "0.2",
		"bounds.budget-slack": "56", "bounds.version-ms": "6000", "bounds.stable-ms": "3000", "bounds.config-apply-ms": "2000",
		"bounds.drain-ms": "2000", "limits.cpu-share": "0.304", "limits.memory-mb": "284", "seeds": strings.Join(rn.seeds, ","),
	}
}

// start starts the process with the command and settings of the deploy file.
func (pr *process) start() {
	cm := exec.Command(filepath.Join(pr.run.root, pr.role.command[0]), pr.role.command[1:]...)
	cm.Dir = pr.run.root
	cm.Env = []string{"PATH=" + os.Getenv("PATH")}
	for name, template := range pr.role.env {
		for key, value := range pr.settings {
			template = strings.ReplaceAll(template, "{{"+key+"}}", value)
		}
		if name == "SHALLOTCLEAT_METRICS" {
			// Machines have addresses of their own; here they share one, so that each process has a port of its own.
			template = freeAddress()
		}
		if strings.Contains(template, "{{") {
			check(fmt.Errorf("no value for the setting %s = %s", name, template))
		}
		cm.Env = append(cm.Env, name+"="+template)
	}
	name := pr.settings["node-name"]
	out, err := os.OpenFile(filepath.Join(pr.run.temporary, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cm.Stdout, cm.Stderr = out, out
	cm.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cm.Start())
	_ = out.Close()
	ended := make(chan struct{})
	pr.mu.Lock()
	pr.command, pr.startedAt, pr.ended, pr.misses = cm, time.Now(), ended, 2
	pr.mu.Unlock()
	pr.run.recordf("started %s pid=%d", name, cm.Process.Pid)
	go func() {
		_ = cm.Wait()
		pr.mu.Lock()
		pr.startedAt = time.Time{}
		pr.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the process.
func (pr *process) signal(sig syscall.Signal) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.command != nil && !pr.startedAt.IsZero() {
		pr.run.recordf("signal %s to %s", sig, pr.settings["node-name"])
		_ = pr.command.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (pr *process) kill() {
	pr.signal(syscall.SIGKILL)
	pr.wait()
}

func (pr *process) wait() {
	pr.mu.Lock()
	ended := pr.ended
	pr.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (pr *process) terminate() {
	pr.signal(syscall.SIGTERM)
	pr.mu.Lock()
	ended := pr.ended
	pr.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		pr.kill()
	}
}

// inTouch reports whether the process has run for the whole time before a moment that the rules require. Nothing else that would put it out of touch
// happens in the cases that use it.
func (pr *process) inTouch(at time.Time) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return !pr.startedAt.IsZero() && at.Sub(pr.startedAt) >= stable
}

// Ports are taken from a range that systems do not use for outgoing connections.
const (
	firstPort = 14_000
	portCount = 16_000
)

// freeAddress returns a loopback address with a port that is free and was not returned before.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if lis, err := net.Listen("tcp", address); err == nil && !usedAddresses[address] {
			usedAddresses[address] = true
			check(lis.Close())
			return address
		} else if err == nil {
			_ = lis.Close()
		}
	}
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses = make(map[string]bool)

// addGate adds a front machine with a gate.
func (rn *run) addGate(zone string) *process {
	name := fmt.Sprintf("front-%s-%d", zone, len(rn.gates)+1)
	pr := &process{run: rn, role: rn.roles["gate"], settings: map[string]string{"node-name": name, "zone": zone, "ip": "127.0.0.1",
		"listen.front": freeAddress(), "listen.ready": freeAddress(), "listen.control": freeAddress()}}
	rn.gates = append(rn.gates, pr)
	if len(rn.seeds) < 3 {
		rn.seeds = append(rn.seeds, pr.settings["listen.control"])
	}
	return pr
}

// addEngine adds a side machine with a model engine and its tender.
func (rn *run) addEngine(id, service, zone string) *replica {
	rp := newReplica(rn, id, service, zone, true)
	rn.tenders = append(rn.tenders, &process{run: rn, role: rn.roles["tender"], settings: map[string]string{"node-name": "side-" + zone + "-" + id,
		"zone": zone, "ip": "127.0.0.1", "app": rp.address, "service": service}})
	return rp
}

// startAll starts all processes and waits until the gates are ready and in touch.
func (rn *run) startAll() {
	for _, pr := range append(append([]*process{}, rn.gates...), rn.tenders...) {
		for key, value := range rn.settings() {
			if pr.settings[key] == "" {
				pr.settings[key] = value
			}
		}
		pr.settings["limits.memory-mb"] = map[bool]string{true: "284", false: "216"}[pr.role == rn.roles["gate"]]
		pr.start()
	}
	go rn.checkReadiness()
	deadline := time.Now().Add(20 * time.Second)
	for _, pr := range rn.gates {
		for !pr.isReady() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", pr.settings["node-name"]))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(stable + time.Second)
}

func (pr *process) isReady() bool {
	rs, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + pr.settings["listen.ready"] + "/readyz")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// checkReadiness checks the gates once a second, as the platform's load balancer does.
func (rn *run) checkReadiness() {
	for {
		for _, pr := range rn.gates {
			go func() {
				ready := pr.isReady()
				pr.mu.Lock()
				defer pr.mu.Unlock()
				if ready {
					pr.misses = 0
				} else {
					pr.misses++
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// gateFor returns the gate to which the load balancer forwards a new connection of a client: one of the client's zone by a hash of the client, unless
// none of the zone's gates is in rotation. If fewer than half of them are, it uses all.
func (rn *run) gateFor(zone string, hash int) *process {
	for _, candidate := range append([]string{zone}, rn.zones...) {
		var all, in []*process
		for _, pr := range rn.gates {
			if pr.settings["zone"] != candidate {
				continue
			}
			all = append(all, pr)
			pr.mu.Lock()
			if pr.misses < 2 {
				in = append(in, pr)
			}
			pr.mu.Unlock()
		}
		switch {
		case len(in) == 0:
			continue
		case 2*len(in) < len(all):
			in = all
		}
		return in[hash%len(in)]
	}
	return rn.gates[hash%len(rn.gates)]
}

// stopAll ends all processes that the run has started.
func (rn *run) stopAll() {
	for _, pr := range append(append([]*process{}, rn.gates...), rn.tenders...) {
		pr.mu.Lock()
		isRunning := pr.command != nil && !pr.startedAt.IsZero()
		pr.mu.Unlock()
		if isRunning {
			pr.kill()
		}
	}
}
