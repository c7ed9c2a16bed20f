// Command standin plays the review's cases: it starts gates and tenders as processes, with the commands and settings of the deploy file, between
// stand-ins of the platform's store, of backend servers and of clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// run is one run of a case.
type run struct {
	root      string
	temporary string
	// trouble is set unless the case runs without its disruption.
	trouble bool
	began   time.Time
	roles   map[string]*role
	store   *store

	zones    []string
	seeds    []string
	gates    []*process
	tenders  []*process
	replicas []*replica

	mu     sync.Mutex
	record *os.File
	runs   map[string][]string
	// misrouted describes the runs at services to which no route leads the request; only the case of reused addresses looks at it.
	misrouted []string
}

// current is the run in progress, for exit.
var current *run

// exit ends all processes that were started, and the program.
func exit(code int) {
	if current != nil {
		current.stopAll()
		if code != exitCannotRun && os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(current.temporary)
		}
	}
	os.Exit(code)
}

// recordf writes a line to the record of the run.
func (rn *run) recordf(format string, args ...any) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	_, _ = fmt.Fprintf(rn.record, "%8.3f "+format+"\n", append([]any{time.Since(rn.began).Seconds()}, args...)...)
}

// resultf writes a line to the record and to the standard output.
func (rn *run) resultf(format string, args ...any) {
	rn.recordf("result: "+format, args...)
	fmt.Printf(format+"\n", args...)
}

// countRun records that a replica began to work on a request.
func (rn *run) countRun(requestID, replicaID string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.runs[requestID] = append(rn.runs[requestID], replicaID)
}

func (rn *run) runsOf(requestID string) []string {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.runs[requestID]
}

// cases holds the cases by name; each returns whether the rule was broken.
var cases = make(map[string]func(rn *run) bool)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitCannotRun)
	}
	root, err := filepath.Abs(os.Args[2])
	check(err)
	rn := &run{root: root, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), runs: make(map[string][]string), zones: []string{"zone-a", "zone-b", "zone-c"}}
	rn.temporary, err = os.MkdirTemp("", "review-")
	check(err)
	rn.record, err = os.Create(os.Args[3])
	check(err)
	current = rn
	time.AfterFunc(116*time.Second, func() { check(fmt.Errorf("the case takes too long")) })
	rn.roles = readRoles(filepath.Join(root, "deploy", "system.toml"))
	rn.store = newStore()
	if cases[os.Args[1]](rn) {
		rn.resultf("the rule was broken")
		exit(exitBroken)
	}
	rn.resultf("the rule held")
	exit(exitHeld)
}
