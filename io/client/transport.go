package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"shallotcleat/core/head"
	"shallotcleat/core/whole"
)

// Transport is a net/http transport for answers of servers: its connections fail at what is not the head of an answer, which net/http would pass on
// as one, and end in good order only if no write has failed.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that connects and pools as base does, which must not be used otherwise any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		return &headConn{socket: &socket{Conn: nc}}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (tr *Transport) RoundTrip(hr *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(hr.Context(), &httptrace.ClientTrace{GotConn: beginAnswer})
	return tr.base.RoundTrip(hr.WithContext(ctx))
}

// CloseIdleConnections closes the connections that carry no request.
func (tr *Transport) CloseIdleConnections() { tr.base.CloseIdleConnections() }

// beginAnswer is called when net/http is about to send a request over a connection, and has read the answer to the request before it.
func beginAnswer(info httptrace.GotConnInfo) {
	if hc, ok := info.Conn.(*headConn); ok {
		hc.begun.Store(true)
		hc.wrote.Store(false)
	}
}

// headConn is a connection of a Transport.
type headConn struct {
	*socket
	// begun is set when a request is about to be sent, so that what is read next is the head of its answer.
	begun atomic.Bool
	// head scans that head; it belongs to the goroutine that reads.
	head head.Scanner
	// old is set once an answer of a version without chunks has been received.
	old atomic.Bool
	// wrote is set once a part of the request has been written.
	wrote atomic.Bool
}

var errOldConnection = errors.New("the connection serves one request only, because of the version of its server")

// Read implements net.Conn.
func (hc *headConn) Read(buffer []byte) (int, error) {
	count, err := hc.socket.Read(buffer)
	if count > 0 && hc.begun.Swap(false) {
		hc.head = head.Scanner{}
	}
	if err := hc.head.Scan(buffer[:count]); err != nil {
		return 0, fmt.Errorf("read header: %w", err)
	}
	if hc.head.Done() && !hc.head.HasTransferCodings() {
		hc.old.Store(true)
	}
	return count, err
}

// Write implements net.Conn. It fails only before a part of the request has been written, so that net/http may send the request over another connection.
// Later, net/http would throw away an answer that came before the error, and the end of the connection tells reading of the error if no answer did.
func (hc *headConn) Write(text []byte) (int, error) {
	if hc.old.Load() {
		return 0, errOldConnection
	}
	count, err := hc.socket.Write(text)
	switch EndingOf(err).(type) {
	case whole.Reset, whole.Silent, whole.Interrupted:
		if count > 0 || hc.wrote.Load() {
			return len(text), nil
		}
	}
	if count > 0 {
		hc.wrote.Store(true)
	}
	return count, err
}
