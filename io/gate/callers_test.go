package gate

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"shallotcleat/core/memory"
	"shallotcleat/core/route"
	"shallotcleat/io/logs"
)

// connTest is a connection whose limits and clock a test controls. Nothing reads it but the test.
type connTest struct {
	now    time.Time
	limits route.Limits
	conns  *callerConns
	conn   *callerConn
	caller net.Conn
}

func newConnTest(t *testing.T) *connTest {
	lg, err := logs.New(io.Discard, "debug", "gate")
	if err != nil {
		t.Fatal(err)
	}
	ct := &connTest{now: time.Unix(1000, 0), limits: route.Limits{MaxHeaderBytes: 1000, HeaderTimeout: 10 * time.Second, IdleTimeout: 100 * time.Second}}
	ct.conns = newCallerConns(func() route.Limits { return ct.limits }, memory.NewBudget(512_000_000), 0,
		func() time.Time { return ct.now }, lg)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	if ct.caller, err = net.Dial("tcp", lis.Addr().String()); err != nil {
		t.Fatal(err)
	}
	conn, err := ct.conns.listener(lis).Accept()
	if err != nil {
		t.Fatal(err)
	}
	ct.conn = conn.(*callerConn)
	ct.conns.enforce()
	t.Cleanup(func() { _ = ct.caller.Close(); _ = ct.conn.Close() })
	return ct
}

// advance advances the clock and checks the connection; it returns whether the connection is over a limit.
func (ct *connTest) advance(span time.Duration) bool {
	ct.now = ct.now.Add(span)
	ct.conns.enforce()
	return ct.conn.expired
}

// send sends text of the caller and returns what the gate reads.
func (ct *connTest) send(text string) (string, error) {
	_, _ = io.WriteString(ct.caller, text)
	buffer := make([]byte, 4096)
	count, err := ct.conn.Read(buffer)
	return string(buffer[:count]), err
}

// The idle timeout in force when it is checked decides, with its margin, however it has changed since the connection became idle. A
// shorter one applies once callers know it.
func TestIdleTimeoutChanges(t *testing.T) {
	ct := newConnTest(t)
	for i, step := range []struct {
		limit   time.Duration
		advance time.Duration
		want    bool
	}{
		{100 * time.Second, 80 * time.Second, false},
		{100 * time.Second, 20*time.Second + idleMargin, false},
		{time.Hour, time.Second, false},
		{time.Hour, 48 * time.Minute, false},
		{time.Second, 0, false},
		{time.Second, idleMargin - 1, false},
		{time.Second, 1, true},
	} {
		ct.limits.IdleTimeout = step.limit
		if got := ct.advance(step.advance); got != step.want {
			t.Errorf("step %d: over the limit is %v, want %v", i, got, step.want)
		}
	}
	if _, err := ct.conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || ct.conns.closed[closedIdle] != 1 {
		t.Errorf("got %v, closed connections %v", err, ct.conns.closed)
	}
}

// A request whose bytes arrive before its idle connection is closed is read, also if the process did not run meanwhile. The same is
// true of the rest of a header, but once: a caller that goes on to send a header in pieces is rejected.
func TestRequestAtTimeoutIsRead(t *testing.T) {
	ct := newConnTest(t)
	if !ct.advance(106 * time.Second) {
		t.Fatal("an idle connection is not over its limit")
	}
	if got, err := ct.send("POST"); got != "POST" || err != nil || ct.conn.expired {
		t.Errorf("idle: read %q, %v", got, err)
	}
	if ct.advance(10*time.Second+headerMargin) || !ct.advance(1) {
		t.Error("the header timeout does not run from the first byte")
	}
	if got, err := ct.send(" /x"); got != " /x" || err != nil {
		t.Errorf("header: read %q, %v", got, err)
	}
	_, err := ct.send(" HTTP")
	_ = ct.conn.Close()
	response, _ := io.ReadAll(ct.caller)
	if err == nil || !strings.HasPrefix(string(response), "HTTP/1.1 408 ") || ct.conns.closed[closedHeaderLate] != 1 {
		t.Errorf("got %v, response %q, closed connections %v", err, response, ct.conns.closed)
	}
	if len(ct.conns.open) != 0 {
		t.Error("a closed connection is still known")
	}
}

// Guards against gates that take no new connection since callers keep all descriptors (RECOVER): the connections that have been idle for the
// longest time are closed, but none with a request. If all have one, requests of some more are refused, and others see their connection end.
func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	const maxOpen = 64
	ct := newConnTest(t)
	ct.conns.maxOpen = maxOpen
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepting := ct.conns.listener(lis)
	t.Cleanup(func() { _ = lis.Close() })
	dial := func() net.Conn {
		caller, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close() })
		return caller
	}
	accept := func() *callerConn {
		conn, err := accepting.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn.(*callerConn)
	}
	conns := []*callerConn{ct.conn}
	ct.conn.setPhase(phaseServing)
	for len(conns) < maxOpen {
		ct.now = ct.now.Add(time.Second)
		dial()
		conns = append(conns, accept())
	}
	dial()
	newest := accept()
	if conns[0].evicted || newest.refused {
		t.Errorf("the connection with a request was closed: %t, the new one is refused: %t", conns[0].evicted, newest.refused)
	}
	for i, cc := range conns[1:] {
		if want := i < maxOpen/evictedPart; cc.evicted != want {
			t.Errorf("connection %d, which was idle for %d s: closed %t, want %t", i+1, maxOpen-i, cc.evicted, want)
		}
		if cc.evicted {
			if _, err := cc.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("read of a connection that is closed for its descriptor: %v", err)
			}
			_ = cc.Close()
		}
	}
	// All connections have a request now.
	for cc := range ct.conns.open {
		cc.setPhase(phaseServing)
	}
	for len(ct.conns.open) < maxOpen {
		dial()
		accept().setPhase(phaseServing)
	}
	caller := dial()
	late := accept()
	if !late.refused {
		t.Error("a connection beyond the descriptors is served")
	}
	go func() { _, _ = late.Read(make([]byte, 100)) }()
	_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	answer := make([]byte, 400)
	count, err := caller.Read(answer)
	if err != nil || !strings.HasPrefix(string(answer[:count]), "HTTP/1.1 503 ") || !strings.Contains(string(answer[:count]), "Retry-After: ") {
		t.Errorf("got %q, %v", answer[:count], err)
	}
	// The connections beyond those that are refused are closed at once.
	for len(ct.conns.open) < maxOpen+maxOpen/refusedPart {
		dial()
		accept().setPhase(phaseServing)
	}
	caller = dial()
	go func() {
		// Returns when the listener is closed.
		_, _ = accepting.Accept()
	}()
	_ = caller.SetReadDeadline(time.Now().Add(testReadTimeout))
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection for which there is no descriptor was not closed: %v", err)
	}
}

// testReadTimeout bounds a read that is expected to fail at once.
const testReadTimeout = 5 * time.Second
