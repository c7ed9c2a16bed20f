package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/whole"
)

// asyncBodyBytes is the body length above which the request is written concurrently with reading the response, since a server
// may respond before it has read a long body.
const asyncBodyBytes = 8 << 10

// maxIdleAtMostOnce is the maximum idle time of a pooled connection that is reused for an at-most-once request: if the server
// closes an idle connection while the request is being sent, it is unknown whether the request ran.
const maxIdleAtMostOnce = 1500 * time.Millisecond

// Request is a request to a backend server.
type Request struct {
	// ID identifies the request in the responses of servers, which may send a copy of an earlier response late. No connection carries an
	// ID twice, so that such a copy never matches a request that waits; without an ID, any connection is used.
	ID     string
	Method string
	// Target is the path with its query, escaped as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	// Body is the body in pieces, which stay unchanged until it was sent.
	Body [][]byte
	// AtMostOnce is set if the request must not run more than once; it is then sent only over a new or recently used connection.
	AtMostOnce bool
	// Fresh is set if the request is sent over a connection of its own, which carries no other request.
	Fresh bool
	// Permit is called right before the request is written; if it returns an error, Do fails with a *NotSentError. Nil permits.
	Permit func() error
	// Carried, unless it is nil, is called with the use of the connection once the request is about to be written, and again if responses to
	// other requests came before its own.
	Carried func(ConnUse)
	// HeadArrived, unless it is nil, is called with each part of a header that arrives, also of interim responses and of responses to other
	// requests. Its error ends the exchange.
	HeadArrived func(part []byte) error
	// Matches reports whether a response with this header belongs to the request; nil accepts every response.
	Matches func(http.Header) bool
}

// bodyLen returns the length of the body in bytes.
func (rq *Request) bodyLen() int {
	length := 0
	for _, piece := range rq.Body {
		length += len(piece)
	}
	return length
}

// ConnUse describes how a connection was used before it carried a request, and by that request.
type ConnUse struct {
	idle     time.Duration
	requests int
	skipped  int
}

// Idle returns how long the connection was idle before the request; it is zero for a new connection.
func (cu ConnUse) Idle() time.Duration { return cu.idle }

// Requests returns how many requests the connection carried before.
func (cu ConnUse) Requests() int { return cu.requests }

// Skipped returns how many responses to other requests came before the response to the request.
func (cu ConnUse) Skipped() int { return cu.skipped }

// ExchangeError means that the exchange failed after the connection was established; the request may have run.
type ExchangeError struct {
	address string
	cause   error
}

// Error returns the address and the cause.
func (ee *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s: %v", ee.address, ee.cause)
}

// Unwrap returns the cause.
func (ee *ExchangeError) Unwrap() error { return ee.cause }

// NotSentError means that no byte of the request was sent.
type NotSentError struct{ cause error }

// Error implements error.
func (nse *NotSentError) Error() string { return "request not sent: " + nse.cause.Error() }

// Unwrap returns the cause.
func (nse *NotSentError) Unwrap() error { return nse.cause }

// Response is the response to a request. The caller must close it. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Framing is what marks the end of the body. With whole.Connection, a truncated body looks complete.
	Framing whole.Framing

	pool   *Pool
	conn   *conn
	body   io.ReadCloser
	reader *bufio.Reader
	// complete is set once the body was read to its end.
	complete bool
	// reusable is set if the connection may serve another request after a complete response.
	reusable bool
	// stopCancel detaches the connection from the request's context; it returns false if the context is already done.
	stopCancel func() bool
	// writeResult receives the result of writing the request.
	writeResult <-chan error
}

// Do sends a request once and returns the response as soon as its header was received. It fails with *link.DialError if no
// connection was established and with *NotSentError if Permit failed, so that no byte of the request was sent in both cases, and
// with *ExchangeError otherwise. Reading the body fails
// once the context is done.
func (pl *Pool) Do(ctx context.Context, address string, rq *Request) (*Response, error) {
	usedAfter := time.Time{}
	if rq.AtMostOnce {
		usedAfter = time.Now().Add(-maxIdleAtMostOnce)
	}
	var key uint64
	if rq.ID != "" {
		key = xxhash.Sum64String(rq.ID)
	}
	var cn *conn
	if !rq.Fresh {
		cn = pl.takeIdle(address, usedAfter, key)
	}
	if cn == nil {
		var err error
		if cn, err = dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if rq.Permit != nil {
		if err := rq.Permit(); err != nil {
			cn.close()
			return nil, &NotSentError{cause: err}
		}
	}
	cn.begin(key)
	rq.reportUse(cn)
	// A deadline in the past interrupts pending reads and writes.
	stopCancel := context.AfterFunc(ctx, func() { _ = cn.net.SetDeadline(past) })
	rs, err := pl.exchange(cn, rq)
	if err != nil {
		stopCancel()
		cn.close()
		return nil, err
	}
	rs.stopCancel = stopCancel
	return rs, nil
}

func (pl *Pool) exchange(cn *conn, rq *Request) (*Response, error) {
	writeResult := make(chan error, 1)
	if rq.bodyLen() > asyncBodyBytes {
		go func() { writeResult <- rq.write(cn) }()
	} else if err := rq.write(cn); err != nil {
		return nil, &ExchangeError{address: cn.address, cause: err}
	} else {
		writeResult <- nil
	}
	if err := cn.beginHead(rq); err != nil {
		return nil, &ExchangeError{address: cn.address, cause: err}
	}
	for {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: rq.Method})
		if err != nil && cn.limit.failure != nil && !errors.Is(err, cn.limit.failure) {
			// A header that was cut off is malformed, too.
			err = fmt.Errorf("%w (%w)", err, cn.limit.failure)
		}
		if err != nil {
			return nil, &ExchangeError{address: cn.address, cause: err}
		}
		if resp.StatusCode < 200 {
			continue
		}
		cn.limit.beginBody()
		if rq.Matches != nil && !rq.Matches(resp.Header) {
			// The server sent a late second response to an earlier request; the response to this request follows it.
			usable := cn.skip(resp)
			rq.reportUse(cn)
			if !usable {
				return nil, &ExchangeError{address: cn.address, cause: errUnmatchedResponse}
			}
			if err := cn.beginHead(rq); err != nil {
				return nil, &ExchangeError{address: cn.address, cause: err}
			}
			continue
		}
		cn.applyKeepAlive(resp.Header)
		framing := whole.FramingOf(resp.ContentLength, len(resp.TransferEncoding) > 0)
		// A server that rejects a long request may not have read its body, and may then close the connection.
		reusable := !rq.Fresh && !resp.Close && framing != whole.Connection && (rq.bodyLen() <= asyncBodyBytes || resp.StatusCode < http.StatusMultipleChoices)
		if rq.Method == http.MethodHead {
			// There is no body, whatever the header says.
			framing = whole.Length
		}
		return &Response{
			Status:      resp.StatusCode,
			Header:      resp.Header,
			Framing:     framing,
			pool:        pl,
			conn:        cn,
			body:        resp.Body,
			reusable:    reusable,
			writeResult: writeResult,
		}, nil
	}
}

// beginHead prepares to read the header of a response to a request, of which a part may have come together with the response before it.
func (cn *conn) beginHead(rq *Request) error {
	// Peek returns what is buffered without reading.
	buffered, err := cn.reader.Peek(cn.reader.Buffered())
	if err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	if err := cn.limit.beginHead(buffered, rq.HeadArrived); err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	return nil
}

// skip reads an unmatched response to its end and reports whether the connection may still be used: the response was not too long,
// and not too many were skipped for the request.
func (cn *conn) skip(resp *http.Response) bool {
	cn.use.skipped++
	if resp.Close || cn.use.skipped > maxSkippedResponses {
		return false
	}
	count, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	return err == nil && count <= maxSkippedBodyBytes
}

// Limits of skipped responses to other requests.
const (
	maxSkippedBodyBytes = 1 << 20
	maxSkippedResponses = 2
)

var errUnmatchedResponse = errors.New("response belongs to another request")

// reportUse calls Carried.
func (rq *Request) reportUse(cn *conn) {
	if rq.Carried != nil {
		rq.Carried(cn.use)
	}
}

// write sends header and body together, so that a small request fits one packet.
func (rq *Request) write(cn *conn) error {
	var head strings.Builder
	head.Grow(512)
	head.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	length := rq.bodyLen()
	if length > 0 || (rq.Method != http.MethodGet && rq.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	if err := rq.Header.Write(&head); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	head.WriteString("\r\n")
	return cn.net.writeAll(append(net.Buffers{[]byte(head.String())}, rq.Body...))
}

// applyKeepAlive sets the connection's idle time from the timeout parameter of the server's Keep-Alive header.
func (cn *conn) applyKeepAlive(hd http.Header) {
	for parameter := range strings.SplitSeq(hd.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			continue
		}
		cn.idleTime = max(min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin), 0)
	}
}

// Read reads the body. It returns io.EOF at the end of the body and an *ExchangeError if reading fails. With the framing
// whole.Connection, a truncated body looks complete.
func (rs *Response) Read(buffer []byte) (int, error) {
	count, err := rs.body.Read(buffer)
	if err == io.EOF {
		rs.complete = true
		return count, io.EOF
	}
	if err != nil {
		return count, &ExchangeError{address: rs.conn.address, cause: err}
	}
	return count, nil
}

// LastHeard returns when the kernel last received something of the response; reading it may have come later. The response must not be closed.
func (rs *Response) LastHeard() time.Time { return rs.conn.lastHeard() }

// EstablishedAt returns when the connection of the response was established.
func (rs *Response) EstablishedAt() time.Time { return rs.conn.establishedAt }

// LineReader returns a buffered reader of the body, for reading line by line; every call returns the same reader.
func (rs *Response) LineReader() *bufio.Reader {
	if rs.reader == nil {
		rs.reader = bufio.NewReaderSize(rs, bufferBytes)
	}
	return rs.reader
}

// Drain reads the rest of the body and ignores it, so that Close can return the connection to the pool. If that takes longer than
// timeout or more than limit bytes, it stops, and Close closes the connection.
func (rs *Response) Drain(limit int64, timeout time.Duration) error {
	if err := rs.conn.net.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return &ExchangeError{address: rs.conn.address, cause: err}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(rs, limit)); err != nil {
		return fmt.Errorf("drain body: %w", err)
	}
	if err := rs.conn.net.SetReadDeadline(time.Time{}); err != nil {
		rs.reusable = false
		return &ExchangeError{address: rs.conn.address, cause: err}
	}
	return nil
}

// Discard makes Close close the connection, since its server sent an answer that is not whole, although its framing says so: it may be about to end.
func (rs *Response) Discard() { rs.reusable = false }

// Close returns the connection to the pool if it may be reused, the whole response was read and nothing follows it. Otherwise it
// closes the connection, so that a server that is still processing the request notices the cancellation.
func (rs *Response) Close() {
	stopped := rs.stopCancel()
	written := false
	select {
	case err := <-rs.writeResult:
		written = err == nil
	default:
	}
	if !stopped || !rs.complete || !rs.reusable || !written || rs.conn.reader.Buffered() > 0 {
		rs.conn.close()
		return
	}
	rs.pool.putIdle(rs.conn)
}
