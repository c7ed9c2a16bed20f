package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"

	"shallotcleat/io/local"
)

// The crowd and the bounds of the floods of entries and agents.
const (
	floodMemoryMB   = 88
	floodBodyBytes  = 4 << 20
	maxFloodFiles   = 400
	floodCrowd      = 80
	floodSendTime   = 4 * time.Second
	floodSettleTime = 1500 * time.Millisecond
	longReplyBytes  = 3 << 20
	floodTimeout    = 20 * time.Second
)

// floodedCluster is an entry process and an agent process of a plain service, each of which is told the memory of the smallest front VM.
type floodedCluster struct {
	*cluster

	mu    sync.Mutex
	conns []net.Conn
}

// newFloodedCluster starts the processes from a program that is built without the race detector. The functions serve those requests to the plain
// service for which they return true.
func newFloodedCluster(t *testing.T, serve ...func(http.ResponseWriter, *http.Request) bool) *floodedCluster {
	t.Helper()
	t.Setenv("SHALLOTCLEAT_MEMORY", strconv.Itoa(floodMemoryMB))
	cl := newEmptyCluster(t)
	cl.program = filepath.Join(t.TempDir(), "shallotcleat")
	if out, err := exec.Command("go", "build", "-o", cl.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	long := bytes.Repeat([]byte("r"), longReplyBytes)
	service := http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		_, _ = io.Copy(io.Discard, hr.Body)
		for _, handle := range serve {
			if handle(wr, hr) {
				return
			}
		}
		if strings.HasPrefix(hr.URL.Path, "/long") {
			_, _ = wr.Write(long)
		}
	})
	cl.plainAgents = append(cl.plainAgents, cl.startAgent("stock", "--plain", service))
	cl.entries = append(cl.entries, cl.startEntry())
	fc := &floodedCluster{cluster: cl}
	t.Cleanup(fc.closeAll)
	if err := local.WaitReady(t.Context(), cl.entryAddresses[0], floodTimeout); err != nil {
		t.Fatal(err)
	}
	fc.checkAnswered(t, "before the flood", 5)
	return fc
}

// flood opens connections to an address that each call write at the same time.
func (fc *floodedCluster) flood(address string, write func(conn net.Conn, number int)) {
	var wg sync.WaitGroup
	for number := range floodCrowd {
		wg.Go(func() {
			dl := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
				// A small receive buffer keeps the kernel from taking whole responses.
				return rc.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
			}}
			conn, err := dl.Dial("tcp", address)
			if err != nil {
				return
			}
			fc.mu.Lock()
			fc.conns = append(fc.conns, conn)
			fc.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(floodSendTime))
			write(conn, number)
		})
	}
	wg.Wait()
	time.Sleep(floodSettleTime)
}

func (fc *floodedCluster) closeAll() {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	for _, conn := range fc.conns {
		_ = conn.Close()
	}
	fc.conns = nil
}

// checkAnswered checks that an ordinary request with a body of a size is served; it is repeated as long as it is refused.
func (fc *floodedCluster) checkAnswered(t *testing.T, when string, size int) {
	t.Helper()
	statuses := make(map[int]int)
	for deadline := time.Now().Add(floodTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		rp, err := local.NewCaller(fc.entryAddresses[0], callerKey).Do(t.Context(), http.MethodPut, "/services/stock/items/sand",
			bytes.Repeat([]byte("b"), size))
		switch {
		case err != nil:
			statuses[0]++
		case rp.Status == http.StatusOK:
			return
		default:
			statuses[rp.Status]++
		}
	}
	t.Fatalf("no request of %d bytes is served %s: requests by status %v", size, when, statuses)
}

// check checks the processes during the flood and after its end.
func (fc *floodedCluster) check(t *testing.T) {
	t.Helper()
	fc.checkAnswered(t, "during the flood", 5)
	fc.checkProcesses(t, "during the flood")
	fc.closeAll()
	fc.checkAnswered(t, "after the flood", 5)
	fc.checkAnswered(t, "after the flood", floodBodyBytes-1000)
	fc.checkProcesses(t, "after the flood")
}

func (fc *floodedCluster) checkProcesses(t *testing.T, when string) {
	t.Helper()
	processes := map[string]*exec.Cmd{"entry": fc.entries[0], "agent": fc.plainAgents[0]}
	for _, cmd := range fc.modelAgents {
		processes["model agent"] = cmd
	}
	for name, cmd := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
		if err != nil {
			t.Fatalf("%s: the %s has ended: %v", when, name, err)
		}
		_, rest, found := strings.Cut(string(text), "VmHWM:")
		if !found {
			t.Fatalf("%s: the %s has ended", when, name)
		}
		kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
		if err != nil {
			t.Fatal(err)
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		peak := kilobytes << 10
		t.Logf("%s: %s: peak resident memory %d MB, %d open files", when, name, peak/1_000_000, len(files))
		if peak > floodMemoryMB*1_000_000 {
			t.Errorf("%s: %s: peak resident memory %d MB, of %d MB", when, name, peak/1_000_000, floodMemoryMB)
		}
		if len(files) > maxFloodFiles {
			t.Errorf("%s: %s: %d open files", when, name, len(files))
		}
	}
}

// entryHead returns a header to which fields may be added; it is not complete.
func entryHead(method, path string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n", method, path, callerKey)
}

// Bodies of legal size, announced or in chunks, that stop short of their end do not use up the memory of an entry.
func TestEntryFloodOfBodies(t *testing.T) {
	fc := newFloodedCluster(t)
	piece := bytes.Repeat([]byte("b"), 64<<10)
	fc.flood(fc.entryAddresses[0], func(conn net.Conn, number int) {
		_, _ = conn.Write(entryHead(http.MethodPost, "/v1/completions"))
		if number%2 == 0 {
			_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", floodBodyBytes)
		} else {
			_, _ = fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", floodBodyBytes)
		}
		for range floodBodyBytes/len(piece) - 1 {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	})
	fc.check(t)
}

// Complete long bodies at once do not use up the memory of an entry and an agent.
func TestEntryFloodOfCompleteBodies(t *testing.T) {
	fc := newFloodedCluster(t)
	body := bytes.Repeat([]byte("b"), floodBodyBytes-1000)
	fc.flood(fc.entryAddresses[0], func(conn net.Conn, _ int) {
		_, _ = conn.Write(entryHead(http.MethodPut, "/services/stock/items/sand"))
		_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", len(body))
		_, _ = conn.Write(body)
	})
	fc.check(t)
}

// Callers that do not read their long responses do not use up the memory of an entry.
func TestEntryFloodOfSlowReaders(t *testing.T) {
	fc := newFloodedCluster(t)
	fc.flood(fc.entryAddresses[0], func(conn net.Conn, number int) {
		time.Sleep(time.Duration(number) * 40 * time.Millisecond)
		_, _ = conn.Write(append(entryHead(http.MethodGet, "/services/stock/long"), "\r\n"...))
	})
	fc.check(t)
}

// Messages of legal size that stop short of their end do not use up the memory of an agent.
func TestAgentFloodOfMessages(t *testing.T) {
	fc := newFloodedCluster(t)
	message := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: bytes.Repeat([]byte("b"), floodBodyBytes),
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true})
	fc.flood(fc.plainAgents[0].Args[3], func(conn net.Conn, _ int) {
		_, _ = conn.Write(message[:len(message)-1])
	})
	fc.check(t)
}
