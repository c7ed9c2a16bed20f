package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
)

// GuardedDial is a DialContext function for a net/http transport. Its connections fail at a response that checkOldHead rejects: net/http would pass on
// the lines between its chunks as content.
func GuardedDial(ctx context.Context, network, address string) (net.Conn, error) {
	var dl net.Dialer
	nc, err := dl.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	so := &socket{Conn: nc}
	return &guardedConn{socket: so, reader: bufio.NewReaderSize(so, bufferBytes)}, nil
}

// guardedConn is a connection whose first response is checked. One of a version without chunks is the last.
type guardedConn struct {
	*socket
	// reader and checked belong to the goroutine that reads.
	reader  *bufio.Reader
	checked bool
	// old is set once a response of a version without chunks has been received.
	old atomic.Bool
}

var errOldConnection = errors.New("the connection serves one request only, because of the version of its server")

// Read implements net.Conn.
func (gc *guardedConn) Read(buffer []byte) (int, error) {
	if !gc.checked {
		gc.checked = true
		// Errors of the connection come back when the rest is read.
		if err := checkOldHead(gc.reader); errors.Is(err, errChunksInOldVersion) || errors.Is(err, errOldHeadTooLong) {
			return 0, err
		}
		if version, err := gc.reader.Peek(len(firstChunkedVersion)); err == nil && string(version) < firstChunkedVersion {
			gc.old.Store(true)
		}
	}
	return gc.reader.Read(buffer)
}

// Write implements net.Conn. It fails before it writes anything, so that net/http sends the request over another connection.
func (gc *guardedConn) Write(text []byte) (int, error) {
	if gc.old.Load() {
		return 0, errOldConnection
	}
	return gc.socket.Write(text)
}
