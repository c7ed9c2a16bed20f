package intake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/memory"
)

const (
	// peerMessageFactor is the memory of a message for each of its bytes: the reader's buffer, the packet, and the decoded message. The
	// former two are kept as long as the connection, at the size of its longest message.
	peerMessageFactor = 3
	// freeMessageBytes is the part of a message that connBytes includes.
	freeMessageBytes = 4 << 10
)

// ServePeers serves RPCs like drpcserver.Server.Serve, except that connections and the messages that they receive have claims in a
// budget. Handlers of long requests must call UsePeer.
func ServePeers(ctx context.Context, srv *drpcserver.Server, lis net.Listener, bg *memory.Budget) error {
	tracker := drpcctx.NewTracker(ctx)
	defer tracker.Wait()
	defer tracker.Cancel()
	tracker.Run(func(ctx context.Context) {
		<-ctx.Done()
		_ = lis.Close()
	})
	for {
		accepted, err := lis.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		pc := &peerConn{Conn: accepted}
		pc.claim = bg.Open(time.Now(), memory.Connection, func() { _ = accepted.SetReadDeadline(time.Unix(1, 0)) })
		if err := pc.claim.Grow(time.Now(), connBytes); err != nil {
			_ = pc.Close()
			continue
		}
		pc.claim.Wait(time.Now())
		tracker.Run(func(ctx context.Context) {
			defer func() { _ = pc.Close() }()
			// Its error is that of the connection, which the other process sees, too.
			_ = srv.ServeOne(drpcctx.WithTransport(ctx, pc), pc)
		})
	}
}

// UsePeer marks the connection of a handler's context as one whose request runs, until done is called, so that it is not closed.
func UsePeer(ctx context.Context) (done func()) {
	transport, _ := drpcctx.Transport(ctx)
	pc, ok := transport.(*peerConn)
	if !ok {
		return func() {}
	}
	pc.setServing(true)
	return func() { pc.setServing(false) }
}

// peerConn is a connection of another process. It receives one message at a time and replies to it.
type peerConn struct {
	net.Conn
	claim *memory.Claim

	// mu guards the fields below.
	mu sync.Mutex
	// received is the size of the message so far, and claimed the part of the claim for the longest one.
	received, claimed int
	serving           bool
}

func (pc *peerConn) setServing(serving bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.serving, pc.received = serving, 0
	if serving {
		// If it was evicted right before, its next read fails.
		_ = pc.claim.Use()
	} else {
		pc.claim.Wait(time.Now())
	}
}

// Read implements net.Conn. A message for which there is no memory ends the connection.
func (pc *peerConn) Read(buffer []byte) (int, error) {
	count, err := pc.Conn.Read(buffer)
	if count > 0 {
		if err := pc.receive(count); err != nil {
			return 0, err
		}
	}
	return count, err
}

// receive claims the memory of a part of a message. What is received while a request runs belongs to no message that is kept.
func (pc *peerConn) receive(count int) error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	now := time.Now()
	if !pc.serving && pc.received == 0 {
		pc.claim.Arrive(now, 0)
	}
	pc.received += count
	pc.claim.Progress(now, count)
	more := peerMessageFactor*(pc.received-freeMessageBytes) - pc.claimed
	if more <= 0 {
		return nil
	}
	if err := pc.claim.Grow(now, int64(more)); err != nil {
		return fmt.Errorf("message of %d bytes or more: %w", pc.received, err)
	}
	pc.claimed += more
	return nil
}

// Write implements net.Conn. A reply ends the message.
func (pc *peerConn) Write(text []byte) (int, error) {
	pc.mu.Lock()
	pc.received = 0
	if !pc.serving {
		pc.claim.Wait(time.Now())
	}
	pc.mu.Unlock()
	return pc.Conn.Write(text)
}

// Close implements net.Conn.
func (pc *peerConn) Close() error {
	pc.claim.Close()
	return pc.Conn.Close()
}
