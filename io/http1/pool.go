package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"shallotcleat/io/link"
)

// Limits of connections.
const (
	// dialLimit bounds the time to a connection; a VM that has no power answers nothing.
	dialLimit = 350 * time.Millisecond
	// idleLimit is how long a connection is kept unused unless the server tells a shorter time.
	idleLimit = 4 * time.Second
	// idleMargin is how long before the server's own limit a connection is no longer used.
	idleMargin = 500 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, in milliseconds, before the system gives a connection up.
	userTimeout = 4000
	// idlePerServer bounds the kept connections to one server.
	idlePerServer = 24
	bufferSize    = 4096
)

// tcpUserTimeout is the number of the option TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// Pool keeps connections to backend servers; its methods may be called from any goroutine.
type Pool struct {
	// mu guards idle, which holds the connections of an address, the one used last at the end.
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// conn is a connection on which one call is under way at a time.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	address string
	// expires is when the connection may no longer be reused.
	expires time.Time
	idle    time.Duration
	// calls counts the answers that were read.
	calls int
}

// take returns a kept connection that was used after a time and that the server has not closed, or nil.
func (pl *Pool) take(address string, usedAfter time.Time) *conn {
	for {
		cn := pl.pop(address)
		if cn == nil {
			return nil
		}
		if time.Now().Before(cn.expires) && cn.expires.Add(-cn.idle).After(usedAfter) && cn.isQuiet() {
			return cn
		}
		cn.close()
	}
}

func (pl *Pool) pop(address string) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	kept := pl.idle[address]
	if len(kept) == 0 {
		return nil
	}
	cn := kept[len(kept)-1]
	pl.idle[address] = kept[:len(kept)-1]
	return cn
}

// keep takes a connection back after a complete answer.
func (pl *Pool) keep(cn *conn) {
	cn.expires = time.Now().Add(cn.idle)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle[cn.address]) >= idlePerServer {
		cn.close()
		return
	}
	pl.idle[cn.address] = append(pl.idle[cn.address], cn)
}

// CloseExpired closes the connections that may no longer be reused.
func (pl *Pool) CloseExpired(now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for address, kept := range pl.idle {
		live := kept[:0]
		for _, cn := range kept {
			if now.Before(cn.expires) {
				live = append(live, cn)
			} else {
				cn.close()
			}
		}
		if len(live) == 0 {
			delete(pl.idle, address)
		} else {
			pl.idle[address] = live
		}
	}
}

// CloseIdle closes the kept connections to an address.
func (pl *Pool) CloseIdle(address string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.idle[address] {
		cn.close()
	}
	delete(pl.idle, address)
}

func dial(ctx context.Context, address string) (*conn, error) {
	dl := net.Dialer{Timeout: dialLimit, Control: setUserTimeout, KeepAlive: -1}
	nc, err := dl.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, link.NewDialError(address, err)
	}
	return &conn{net: nc, reader: bufio.NewReaderSize(nc, bufferSize), address: address, idle: idleLimit}, nil
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		// Without the option a lost peer is noticed by the deadline of the call.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeout)
	})
}

// Probe reports whether a connection to an address can be made.
func Probe(ctx context.Context, address string) bool {
	cn, err := dial(ctx, address)
	if err != nil {
		return false
	}
	cn.close()
	return true
}

// isQuiet reports whether the peer has neither closed the connection nor sent bytes that no call waits for.
func (cn *conn) isQuiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	tc, ok := cn.net.(*net.TCPConn)
	if !ok {
		return true
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// close closes the connection; that it fails changes nothing, since nothing more is sent.
func (cn *conn) close() { _ = cn.net.Close() }
