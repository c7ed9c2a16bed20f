package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shallotcleat/io/link"
)

// Limits of connections.
const (
	// dialTimeout bounds the establishment of a connection; a VM that is powered off does not respond at all.
	dialTimeout = 350 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept unless the server announces a shorter time.
	maxIdleTime = 4 * time.Second
	// idleMargin is how long before the server's announced idle timeout a connection is no longer reused.
	idleMargin = 500 * time.Millisecond
	// userTimeoutMillis is how long sent data may stay unacknowledged before the kernel closes the connection.
	userTimeoutMillis = 4000
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 24
	// maxCarried is the number of requests after which a connection is closed, which bounds the memory for their keys.
	maxCarried  = 256
	bufferBytes = 4096
)

// tcpUserTimeoutOption is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeoutOption = 0x12

// Pool is a pool of idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	// mu guards idle, which holds the idle connections by address, the most recently used last.
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// conn is a connection; it serves one request at a time.
type conn struct {
	net *socket
	// limit bounds the bytes that reader takes from net; it is set for each header.
	limit   *readLimit
	reader  *bufio.Reader
	address string
	// expires is the time from which the idle connection must not be reused.
	expires  time.Time
	idleTime time.Duration
	// establishedAt is a time at which the connection was established.
	establishedAt time.Time
	// requests is the number of requests that were sent over the connection.
	requests int
	// carried holds the keys of the requests that were sent over the connection.
	carried []uint64
	// use is that by the last request.
	use ConnUse
}

// begin records that the connection is about to carry the request with the given key, which is zero without an id.
func (cn *conn) begin(key uint64) {
	cn.use = ConnUse{requests: cn.requests}
	if !cn.expires.IsZero() {
		cn.use.idle = time.Since(cn.expires.Add(-cn.idleTime))
	}
	cn.requests++
	if key != 0 {
		cn.carried = append(cn.carried, key)
	}
}

// takeIdle removes and returns an idle connection that has not carried the request with the given key, has not expired, was last used
// after usedAfter and was not closed by the server, or returns nil. It closes the others, except those that have carried the request.
func (pl *Pool) takeIdle(address string, usedAfter time.Time, key uint64) *conn {
	for {
		cn := pl.popIdle(address, key)
		if cn == nil {
			return nil
		}
		if time.Now().Before(cn.expires) && cn.expires.Add(-cn.idleTime).After(usedAfter) && cn.isQuiescent() {
			return cn
		}
		cn.close()
	}
}

// popIdle removes and returns the most recently used idle connection that has not carried the request with the given key, or nil.
func (pl *Pool) popIdle(address string, key uint64) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	idle := pl.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		if cn := idle[i]; !slices.Contains(cn.carried, key) {
			pl.idle[address] = slices.Delete(idle, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle returns a connection to the pool after a complete response, or closes it if it must carry no more requests.
func (pl *Pool) putIdle(cn *conn) {
	cn.expires = time.Now().Add(cn.idleTime)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle[cn.address]) >= maxIdlePerServer || len(cn.carried) >= maxCarried {
		cn.close()
		return
	}
	pl.idle[cn.address] = append(pl.idle[cn.address], cn)
}

// CloseExpired closes the idle connections that have expired.
func (pl *Pool) CloseExpired(now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for address, idle := range pl.idle {
		unexpired := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.expires) {
				unexpired = append(unexpired, cn)
			} else {
				cn.close()
			}
		}
		if len(unexpired) == 0 {
			delete(pl.idle, address)
		} else {
			pl.idle[address] = unexpired
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (pl *Pool) CloseIdle(address string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.idle[address] {
		cn.close()
	}
	delete(pl.idle, address)
}

func dial(ctx context.Context, address string) (*conn, error) {
	dl := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAlive: -1}
	nc, err := dl.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, link.NewDialError(address, err)
	}
	so := &socket{Conn: nc}
	limit := &readLimit{reader: so}
	return &conn{net: so, limit: limit, reader: bufio.NewReaderSize(limit, bufferBytes), address: address, idleTime: maxIdleTime,
		establishedAt: time.Now()}, nil
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		// Without the option, a lost peer is detected by the deadline of the request.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, userTimeoutMillis)
	})
}

// Probe reports whether a connection to an address can be established.
func Probe(ctx context.Context, address string) bool {
	cn, err := dial(ctx, address)
	if err != nil {
		return false
	}
	cn.close()
	return true
}

// RefusesConnections reports whether the VM at an address is up but no process listens there.
func RefusesConnections(ctx context.Context, address string) bool {
	cn, err := dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn.close()
	return false
}

// IsDisconnect reports whether an exchange failed since the server closed or reset the connection.
func IsDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// isQuiescent reports whether the peer has neither closed the connection nor sent data that belongs to no request.
func (cn *conn) isQuiescent() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	tc, ok := cn.net.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	quiescent := false
	err = rc.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiescent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiescent
}

// lastHeard returns when the kernel last received something from the peer, or a little earlier, and now if that is unknown.
func (cn *conn) lastHeard() time.Time {
	now := time.Now()
	tc, ok := cn.net.Conn.(*net.TCPConn)
	if !ok {
		return now
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return now
	}
	var age time.Duration
	_ = rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
		}
	})
	return now.Add(-age)
}

// close closes the connection. Errors are ignored, since no more data is sent.
func (cn *conn) close() { _ = cn.net.Close() }
