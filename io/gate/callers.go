package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/memory"
	"shallotcleat/core/route"
	"shallotcleat/io/intake"
)

// Limits of callers that the configuration does not set.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
)

// Intervals and timeouts of the limits on callers' connections.
const (
	enforceInterval = 500 * time.Millisecond
	// headerMargin and idleMargin are added to the timeouts: callers keep them by their own clocks, and the network may delay what
	// they send. idleMargin also exceeds the time in which a change of the limits reaches callers and gates.
	headerMargin = 500 * time.Millisecond
	idleMargin   = 5 * time.Second
	// lastReadTimeout is the time for a last read after a timeout. It finds bytes that arrived while the process did not run.
	lastReadTimeout = 100 * time.Millisecond
	// rejectTimeout and maxRejectedBytes bound what is read of a rejected caller. A connection that is closed with unread bytes is
	// reset, and the caller might not receive the response.
	rejectTimeout    = 500 * time.Millisecond
	maxRejectedBytes = 256 << 10
)

// callerLimits returns the limits of callers by a routing table, which may be nil.
func callerLimits(tb *route.Table) route.Limits {
	var lm route.Limits
	if tb != nil {
		lm = tb.Limits()
	}
	if lm.MaxHeaderBytes <= 0 {
		lm.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if lm.MaxBodyBytes <= 0 {
		lm.MaxBodyBytes = defaultMaxBodyBytes
	}
	if lm.HeaderTimeout <= 0 {
		lm.HeaderTimeout = defaultHeaderTimeout
	}
	if lm.IdleTimeout <= 0 {
		lm.IdleTimeout = defaultIdleTimeout
	}
	return lm
}

// closeReason is why a limit closes a connection.
type closeReason string

const (
	closedIdle           closeReason = "idle"
	closedHeaderLate     closeReason = "header_timeout"
	closedHeaderTooLarge closeReason = "header_too_large"
	closedMemory         closeReason = "memory_short"
	closedDescriptors    closeReason = "descriptors_short"
)

// callerConns applies the limits in force to the callers' connections, because net/http reads its own limits without
// synchronization and does not apply a change to connections that are idle. The time for a body is not bounded here but by the
// request's deadline. It is safe for concurrent use.
type callerConns struct {
	limits func() route.Limits
	memory *memory.Budget
	now    func() time.Time
	log    *logrus.Entry
	// maxOpen is the number of connections for which there are descriptors, or zero if it is unknown.
	maxOpen int
	// evicted is the number of open connections that are being closed since descriptors are short.
	evicted atomic.Int64

	// mu guards the fields below. It is locked before that of a connection.
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// closed counts the connections closed since the last log entry, by reason.
	closed map[closeReason]int
	// idleTimeout is the latest idle timeout, in force since idleTimeoutSince.
	idleTimeout      time.Duration
	idleTimeoutSince time.Time
	// leaving is set once idle connections are closed because the process stops, lateHeaders once incomplete headers are refused for that.
	leaving, lateHeaders bool
}

func newCallerConns(limits func() route.Limits, bg *memory.Budget, maxOpen int, now func() time.Time, lg *logrus.Entry) *callerConns {
	return &callerConns{limits: limits, memory: bg, maxOpen: maxOpen, now: now, log: lg, open: make(map[*callerConn]struct{}), closed: make(map[closeReason]int)}
}

// listener returns a listener whose connections have the limits. Their http.Server must call stateChanged and must have no limits of
// its own on headers and idle connections.
func (ccs *callerConns) listener(lis net.Listener) net.Listener {
	return &callerListener{Listener: lis, conns: ccs}
}

// stateChanged is the ConnState function of the http.Server.
func (ccs *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cc.setPhase(phaseServing)
	case http.StateIdle:
		cc.setPhase(phaseIdle)
	}
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// withConn is the ConnContext function of the http.Server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// lingererOf returns the connection of a request with the given context, or nil if it is not one of TCP.
func lingererOf(ctx context.Context) lingerer {
	lg, _ := ctx.Value(connKey{}).(lingerer)
	return lg
}

// enforce ends the reads of connections that are over a timeout, and logs how many connections have been closed since its last call.
// A shorter idle timeout applies after idleMargin, since callers may not know it yet.
func (ccs *callerConns) enforce() {
	now, lm := ccs.now(), ccs.limits()
	ccs.mu.Lock()
	if ccs.idleTimeout != lm.IdleTimeout {
		ccs.idleTimeout, ccs.idleTimeoutSince = lm.IdleTimeout, now
	}
	idleSince := now.Add(-lm.IdleTimeout - idleMargin)
	if now.Sub(ccs.idleTimeoutSince) < idleMargin {
		idleSince = time.Time{}
	}
	headerSince := now.Add(-lm.HeaderTimeout - headerMargin)
	if ccs.leaving {
		idleSince = now
	}
	if ccs.lateHeaders {
		headerSince = now
	}
	for cc := range ccs.open {
		if err := cc.expire(idleSince, headerSince); err != nil {
			ccs.log.WithError(err).WithField("caller", cc.RemoteAddr().String()).Warn("cannot end the read of a caller's connection")
		}
	}
	closed := ccs.closed
	ccs.closed = make(map[closeReason]int)
	ccs.mu.Unlock()
	for reason, count := range closed {
		level := logrus.InfoLevel
		if reason == closedIdle {
			level = logrus.DebugLevel
		}
		ccs.log.WithFields(logrus.Fields{"event": "callers_closed", "reason": string(reason), "connections": count}).
			Log(level, "callers' connections closed by the limits")
	}
}

// add returns an accepted connection with limits, or closes it and returns nil if there is no memory or descriptor for it.
func (ccs *callerConns) add(tc *net.TCPConn) *callerConn {
	room := ccs.makeRoom()
	if room == noRoom {
		ccs.countClosed(closedDescriptors)
		_ = tc.Close()
		return nil
	}
	claim, err := intake.OpenConn(ccs.memory, func() {
		// Ends a read of a connection that is idle or receives a header. One that has ended needs no deadline.
		_ = tc.SetReadDeadline(time.Unix(0, 0))
	})
	if err != nil {
		ccs.countClosed(closedMemory)
		// The caller sees that the connection has ended; nothing was read of it.
		_ = tc.Close()
		return nil
	}
	cc := &callerConn{TCPConn: tc, conns: ccs, claim: claim, since: ccs.now(), refused: room == roomToRefuse}
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	ccs.open[cc] = struct{}{}
	if err := intake.BoundSocket(ccs.memory, tc, len(ccs.open)); err != nil {
		ccs.log.WithError(err).Debug("cannot bound the kernel's buffers of a caller's connection")
	}
	return cc
}

func (ccs *callerConns) remove(cc *callerConn) {
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	delete(ccs.open, cc)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.setEvicted(false)
}

func (ccs *callerConns) countClosed(reason closeReason) {
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	ccs.closed[reason]++
}

// callerListener is the listener of a callerConns.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener. Connections other than TCP have no limits.
func (cl *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := cl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if cc := cl.conns.add(tc); cc != nil {
			return cc, nil
		}
	}
}

// connPhase is what a connection waits for.
type connPhase uint8

const (
	// phaseIdle is the time before the first byte of a request.
	phaseIdle connPhase = iota
	phaseHeader
	// phaseServing is the time from the end of a header to the end of the response.
	phaseServing
)

// callerConn is a connection of a caller. Before phaseServing, only the goroutine of its http.Server reads it.
type callerConn struct {
	*net.TCPConn
	conns *callerConns
	// claim is the memory of the connection and of its header.
	claim *intake.ConnClaim

	// mu guards the fields below.
	mu    sync.Mutex
	since time.Time
	// headerBytes is the number of bytes read since the connection became idle; net/http may have read the first byte of the header
	// before.
	headerBytes int
	phase       connPhase
	// expired is set if the connection is over a timeout; its read deadline is then past.
	expired bool
	// lateRead is set once a part of a header has been read after the timeout; no more is read of it.
	lateRead bool
	// evicted is set if the connection was idle when its descriptor was needed; its read deadline is then past.
	evicted bool
	// refused is set if there was no descriptor to serve the connection when it was accepted. It does not change.
	refused bool
}

func (cc *callerConn) setPhase(phase connPhase) {
	now := cc.conns.now()
	switch phase {
	case phaseServing:
		cc.claim.Serve()
	case phaseIdle:
		cc.claim.Idle()
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.phase, cc.since, cc.headerBytes, cc.expired, cc.lateRead = phase, now, 0, false, false
}

// expire ends the read of the connection if it has been idle since before idleSince or its header began before headerSince. It does so
// again in each call, because net/http may have removed the read deadline meanwhile.
func (cc *callerConn) expire(idleSince, headerSince time.Time) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch {
	case cc.phase == phaseIdle && cc.since.Before(idleSince), cc.phase == phaseHeader && cc.since.Before(headerSince):
		cc.expired = true
		return cc.SetReadDeadline(time.Unix(0, 0))
	}
	return nil
}

// Read implements net.Conn. Within a header it reads at most up to the limit: all bytes read until then belong to the header, which is
// too large if more are needed.
func (cc *callerConn) Read(buffer []byte) (int, error) {
	maxBytes := cc.conns.limits().MaxHeaderBytes
	cc.mu.Lock()
	phase, lateRead := cc.phase, cc.lateRead
	room := max(maxBytes-cc.headerBytes, 0)
	cc.mu.Unlock()
	switch {
	case phase == phaseServing:
		return cc.TCPConn.Read(buffer)
	case room == 0:
		return 0, cc.reject(closedHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge)
	case lateRead:
		return 0, cc.reject(closedHeaderLate, http.StatusRequestTimeout)
	}
	buffer = buffer[:min(len(buffer), room)]
	count, err := cc.TCPConn.Read(buffer)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && cc.claim.Evicted() && phase == phaseHeader:
		return 0, cc.reject(closedMemory, http.StatusServiceUnavailable)
	case timedOut && cc.claim.Evicted():
		cc.conns.countClosed(closedMemory)
		return 0, err
	case timedOut:
		last := lastReadTimeout
		if cc.isEvicted() {
			last = evictReadTimeout
		}
		if err = cc.SetReadDeadline(time.Now().Add(last)); err == nil {
			count, err = cc.TCPConn.Read(buffer)
		}
	}
	switch {
	case count > 0 && cc.refused:
		return 0, cc.reject(closedDescriptors, http.StatusServiceUnavailable)
	case count > 0 && cc.claim.AddHeader(buffer[:count]) != nil:
		return 0, cc.reject(closedMemory, http.StatusServiceUnavailable)
	}
	switch {
	case count > 0:
		return count, cc.recordHeaderBytes(count, timedOut)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return 0, err
	case phase == phaseHeader:
		return 0, cc.reject(closedHeaderLate, http.StatusRequestTimeout)
	}
	reason := closedIdle
	if cc.isEvicted() {
		reason = closedDescriptors
	}
	cc.conns.countClosed(reason)
	return 0, err
}

// recordHeaderBytes records that a part of a header was read; timedOut is set if that was the last read after a timeout. A connection
// that has expired as idle is read on; one that has expired in its header may end the header with this part.
func (cc *callerConn) recordHeaderBytes(count int, timedOut bool) error {
	now := cc.conns.now()
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.headerBytes += count
	hasDeadline := timedOut || cc.expired || cc.evicted
	if cc.phase == phaseIdle {
		// A request has come in time.
		cc.setEvicted(false)
		cc.phase, cc.since, cc.expired = phaseHeader, now, false
	} else {
		cc.lateRead = timedOut
	}
	if !hasDeadline {
		return nil
	}
	return cc.SetReadDeadline(time.Time{})
}

// reject sends a response, whose body is the reason, to a caller whose header is over a limit, and returns the error of the read.
func (cc *callerConn) reject(reason closeReason, status int) error {
	cc.conns.countClosed(reason)
	cc.setPhase(phaseServing)
	err := cc.SetDeadline(time.Now().Add(rejectTimeout))
	if err == nil {
		retryAfter := ""
		if status == http.StatusServiceUnavailable {
			retryAfter = fmt.Sprintf("Retry-After: %.2f\r\n", memoryRetryAfter.Seconds()*(1+retryAfterJitter*rand.Float64()))
		}
		_, err = fmt.Fprintf(cc.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
			"%sConnection: close\r\n\r\n%s\n", status, http.StatusText(status), len(reason)+1, retryAfter, reason)
	}
	if err == nil {
		err = cc.CloseWrite()
	}
	if err == nil {
		_, err = io.CopyN(io.Discard, cc.TCPConn, maxRejectedBytes)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		cc.conns.log.WithError(err).WithField("reason", string(reason)).Debug("a rejected caller did not end its connection")
	}
	// net/http responds to other types of errors itself.
	return &net.OpError{Op: "read", Net: "tcp", Addr: cc.RemoteAddr(), Err: errors.New(string(reason))}
}

// Close implements net.Conn.
func (cc *callerConn) Close() error {
	cc.conns.remove(cc)
	cc.claim.Close()
	return cc.TCPConn.Close()
}
