package gate

import (
	"slices"
	"time"
)

// Bounds on callers' connections when descriptors are short.
const (
	// evictedPart is the part of the connections that are closed at once, the longest idle ones first, when there is no room for another one.
	// Looking for them takes time for each connection, so that many are closed for one search.
	evictedPart = 16
	// refusedPart is the part by which connections may exceed their number so that their callers get an answer.
	refusedPart = 16
	// evictReadTimeout is the time for a last read of such a connection, which finds a request that has just arrived.
	evictReadTimeout = 5 * time.Millisecond
)

// connRoom says what there are descriptors for.
type connRoom int

const (
	roomToServe connRoom = iota
	// roomToRefuse means that requests of another connection can only be refused.
	roomToRefuse
	noRoom
)

// makeRoom returns the room for another connection. If there is none, it closes those that have been idle for the longest time, but none with a
// request; they leave within evictReadTimeout.
func (ccs *callerConns) makeRoom() connRoom {
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	if ccs.maxOpen <= 0 || ccs.staying() < ccs.maxOpen {
		return roomToServe
	}
	type idleConn struct {
		conn  *callerConn
		since time.Time
	}
	var idle []idleConn
	for cc := range ccs.open {
		if since, ok := cc.idleSince(); ok {
			idle = append(idle, idleConn{cc, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, ic := range idle[:min(len(idle), max(ccs.maxOpen/evictedPart, 1))] {
		ic.conn.evict()
	}
	switch staying := ccs.staying(); {
	case staying < ccs.maxOpen:
		return roomToServe
	case staying < ccs.maxOpen+ccs.maxOpen/refusedPart:
		return roomToRefuse
	}
	return noRoom
}

// staying returns the number of open connections that are not being closed since descriptors are short. The caller holds mu.
func (ccs *callerConns) staying() int { return len(ccs.open) - int(ccs.evicted.Load()) }

// idleSince returns since when the connection has been idle; ok is false if it is not, or is being closed.
func (cc *callerConn) idleSince() (since time.Time, ok bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.since, cc.phase == phaseIdle && !cc.evicted
}

// evict ends the read of the connection if it is idle.
func (cc *callerConn) evict() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.phase != phaseIdle || cc.evicted {
		return
	}
	cc.setEvicted(true)
	if err := cc.SetReadDeadline(time.Unix(0, 0)); err != nil {
		// It has been closed.
		cc.conns.log.WithError(err).Debug("cannot end the read of an idle connection")
	}
}

// setEvicted sets whether the connection is being closed for its descriptor. The caller holds mu.
func (cc *callerConn) setEvicted(evicted bool) {
	switch {
	case evicted && !cc.evicted:
		cc.conns.evicted.Add(1)
	case !evicted && cc.evicted:
		cc.conns.evicted.Add(-1)
	}
	cc.evicted = evicted
}

func (cc *callerConn) isEvicted() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.evicted
}
