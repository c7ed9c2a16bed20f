package intake

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"shallotcleat/core/memory"
)

// Memory that connections count for in the budget.
const (
	// connBytes is that of a connection with its buffers and goroutine, and an ordinary header.
	connBytes = 16 << 10
	// freeHeaderBytes is the part of a header's memory that connBytes includes. Headers take headerByteFactor bytes for each byte and
	// headerLineBytes for each line: net/http holds them in a map. 62 KB of fields of 8 bytes took 1 MB.
	freeHeaderBytes  = 4 << 10
	headerByteFactor = 2
	headerLineBytes  = 128
	// maxSocketBytes and minSocketBytes bound the kernel's buffer for each direction of a connection; in between, all connections share a
	// part of 1/socketPart of the budget.
	maxSocketBytes = 128 << 10
	minSocketBytes = 16 << 10
	socketPart     = 4
)

// ConnClaim is the memory of a connection of an HTTP server and of the header that it receives. It is safe for concurrent use.
type ConnClaim struct {
	claim *memory.Claim

	// mu guards header, what was received of a header.
	mu     sync.Mutex
	header headerSize
}

// OpenConn returns the claim of a new idle connection, or memory.ErrShort. The function evict must end the pending read of the
// connection; it must not block.
func OpenConn(bg *memory.Budget, evict func()) (*ConnClaim, error) {
	cl := bg.Open(time.Now(), memory.Connection, evict)
	if err := cl.Grow(time.Now(), connBytes); err != nil {
		cl.Close()
		return nil, fmt.Errorf("new connection: %w", err)
	}
	cl.Wait(time.Now())
	return &ConnClaim{claim: cl}, nil
}

// AddHeader claims memory for a part of a header, or fails with memory.ErrShort.
func (cc *ConnClaim) AddHeader(part []byte) error {
	cc.mu.Lock()
	first := cc.header.bytes == 0
	more := cc.header.add(part)
	cc.mu.Unlock()
	now := time.Now()
	if first {
		cc.claim.Arrive(now, 0)
	}
	cc.claim.Progress(now, len(part))
	if more == 0 {
		return nil
	}
	if err := cc.claim.Grow(now, int64(more)); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	return nil
}

// Serve marks the connection as one whose request is served. If it was evicted right before, its next read fails.
func (cc *ConnClaim) Serve() { _ = cc.claim.Use() }

// Idle marks the connection as idle and frees the memory of the header.
func (cc *ConnClaim) Idle() {
	cc.mu.Lock()
	cc.header = headerSize{}
	cc.mu.Unlock()
	cc.claim.ShrinkTo(connBytes)
	cc.claim.Wait(time.Now())
}

// Evicted reports whether the connection is to be closed.
func (cc *ConnClaim) Evicted() bool { return cc.claim.Evicted() }

// Close frees the memory.
func (cc *ConnClaim) Close() { cc.claim.Close() }

// BoundSocket bounds the kernel's buffers of one of a number of connections.
func BoundSocket(bg *memory.Budget, tc *net.TCPConn, connections int) error {
	size := min(max(int(bg.Total())/socketPart/connections, minSocketBytes), maxSocketBytes)
	return errors.Join(tc.SetReadBuffer(size), tc.SetWriteBuffer(size))
}

// Listener accepts the connections of an HTTP server as far as the budget allows. The server must call StateChanged. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	budget *memory.Budget

	// mu guards open, the number of open connections.
	mu   sync.Mutex
	open int
}

// NewListener returns a listener whose connections have claims in a budget.
func NewListener(lis net.Listener, bg *memory.Budget) *Listener {
	return &Listener{Listener: lis, budget: bg}
}

// conn is a connection of a Listener.
type conn struct {
	*net.TCPConn
	listener *Listener
	claim    *ConnClaim
	close    sync.Once

	// mu guards serving, which is set from the end of a header to the end of the response.
	mu      sync.Mutex
	serving bool
}

// Accept implements net.Listener. It closes connections for which there is no memory, before anything is read of them.
func (ls *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		claim, err := OpenConn(ls.budget, func() { _ = tc.SetReadDeadline(time.Unix(1, 0)) })
		if err != nil {
			_ = tc.Close()
			continue
		}
		// Without bounds, the kernel still has its own.
		_ = BoundSocket(ls.budget, tc, ls.count(1))
		return &conn{TCPConn: tc, listener: ls, claim: claim}, nil
	}
}

// count adds to the number of open connections and returns it.
func (ls *Listener) count(change int) int {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.open += change
	return ls.open
}

// StateChanged is the ConnState function of the http.Server.
func StateChanged(nc net.Conn, state http.ConnState) {
	cn, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cn.setServing(true)
		cn.claim.Serve()
	case http.StateIdle:
		cn.setServing(false)
		cn.claim.Idle()
	}
}

func (cn *conn) setServing(serving bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.serving = serving
}

func (cn *conn) isServing() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.serving
}

// Read implements net.Conn. A header for which there is no memory ends the connection.
func (cn *conn) Read(buffer []byte) (int, error) {
	count, err := cn.TCPConn.Read(buffer)
	if count > 0 && !cn.isServing() {
		if err := cn.claim.AddHeader(buffer[:count]); err != nil {
			// net/http closes the connection on such errors without a response.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: cn.RemoteAddr(), Err: err}
		}
	}
	return count, err
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	cn.close.Do(func() { cn.claim.Close(); cn.listener.count(-1) })
	return cn.TCPConn.Close()
}
