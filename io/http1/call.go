package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// asyncBody is the length from which a body is sent beside the reading of the answer, since a server may answer before it has
// read a long body.
const asyncBody = 8 << 10

// freshUse is how lately a kept connection must have been used for a call that may run at most once: the server may close a
// connection as the call is sent, and it would not be known whether the call has run.
const freshUse = 1500 * time.Millisecond

// Request is a call as it goes to the server.
type Request struct {
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce says that the call may run at most once.
	AtMostOnce bool
	// Matches reports whether an answer with these headers is that of the call.
	Matches func(http.Header) bool
}

// ExchangeError says that the connection or the answer was broken after the call was sent; the call may have run.
type ExchangeError struct {
	address string
	cause   error
}

// Error returns the address and the cause.
func (be *ExchangeError) Error() string {
	return fmt.Sprintf("answer of %s broken: %v", be.address, be.cause)
}

// Unwrap returns the cause.
func (be *ExchangeError) Unwrap() error { return be.cause }

// Response is the response to a call; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Framed says that the answer tells its own end, so that a closed connection does not look like one.
	Framed bool

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	reader  *bufio.Reader
	whole   bool
	reuse   bool
	release func() bool
	written <-chan error
}

// Do sends a call once and returns the answer as soon as its header has come. It fails with *link.DialError, if no byte of the call was
// taken, or *ExchangeError. The answer's body ends with an error when the context does.
func (pl *Pool) Do(ctx context.Context, address string, rq *Request) (*Response, error) {
	usedAfter := time.Time{}
	if rq.AtMostOnce {
		usedAfter = time.Now().Add(-freshUse)
	}
	cn := pl.take(address, usedAfter)
	if cn == nil {
		var err error
		if cn, err = dial(ctx, address); err != nil {
			return nil, err
		}
	}
	// The past deadline ends reads and writes that are under way.
	release := context.AfterFunc(ctx, func() { _ = cn.net.SetDeadline(time.Unix(1, 0)) })
	an, err := pl.exchange(cn, rq)
	if err != nil {
		release()
		cn.close()
		return nil, err
	}
	an.release = release
	return an, nil
}

func (pl *Pool) exchange(cn *conn, rq *Request) (*Response, error) {
	written := make(chan error, 1)
	if len(rq.Body) > asyncBody {
		go func() { written <- rq.write(cn) }()
	} else if err := rq.write(cn); err != nil {
		return nil, &ExchangeError{address: cn.address, cause: err}
	} else {
		written <- nil
	}
	for {
		rs, err := http.ReadResponse(cn.reader, &http.Request{Method: rq.Method})
		if err != nil {
			return nil, &ExchangeError{address: cn.address, cause: err}
		}
		if rs.StatusCode < 200 {
			continue
		}
		if rq.Matches != nil && !rq.Matches(rs.Header) {
			// A late second answer to an earlier call; this call's own one follows.
			if _, err := io.Copy(io.Discard, io.LimitReader(rs.Body, skipLimit)); err != nil || rs.Close {
				return nil, &ExchangeError{address: cn.address, cause: errOtherAnswer}
			}
			cn.calls++
			if cn.calls > maxSkipped+1 {
				return nil, &ExchangeError{address: cn.address, cause: errOtherAnswer}
			}
			continue
		}
		cn.calls = 0
		cn.noteIdle(rs.Header)
		return &Response{
			Status: rs.StatusCode,
			Header: rs.Header,
			Framed: rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0,
			pool:   pl,
			conn:   cn,
			body:   rs.Body,
			// A server that refuses a long request may not have read its body, and may close the connection for that.
			reuse:   !rs.Close && (len(rq.Body) <= asyncBody || rs.StatusCode < http.StatusMultipleChoices),
			written: written,
		}, nil
	}
}

// Limits of answers to other calls that are passed over.
const (
	skipLimit  = 1 << 20
	maxSkipped = 2
)

var errOtherAnswer = errors.New("the answer belongs to another call")

// write sends the call in one piece, so that a small one leaves in one packet.
func (rq *Request) write(cn *conn) error {
	var head strings.Builder
	head.Grow(512)
	head.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	if len(rq.Body) > 0 || (rq.Method != http.MethodGet && rq.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	if err := rq.Header.Write(&head); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	head.WriteString("\r\n")
	message := append([]byte(head.String()), rq.Body...)
	if _, err := cn.net.Write(message); err != nil {
		return fmt.Errorf("write call: %w", err)
	}
	return nil
}

// noteIdle takes the server's word on how long it keeps an unused connection.
func (cn *conn) noteIdle(hd http.Header) {
	for _, item := range strings.Split(hd.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			continue
		}
		cn.idle = max(min(idleLimit, time.Duration(seconds)*time.Second-idleMargin), 0)
	}
}

// Read reads the answer's body; it ends with io.EOF only if the body is complete.
func (an *Response) Read(buffer []byte) (int, error) {
	count, err := an.body.Read(buffer)
	if err == io.EOF {
		an.whole = true
		return count, io.EOF
	}
	if err != nil {
		return count, &ExchangeError{address: an.conn.address, cause: err}
	}
	return count, nil
}

// LineReader returns a reader of the body that is meant for its lines.
func (an *Response) LineReader() *bufio.Reader {
	if an.reader == nil {
		an.reader = bufio.NewReaderSize(an, bufferSize)
	}
	return an.reader
}

// ReadAll returns the whole body, of a length that is bounded.
func (an *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(an, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, &ExchangeError{address: an.conn.address, cause: errors.New("the body is too long")}
	}
	return body, nil
}

// Close keeps the connection for the next call if the answer was read whole and nothing else came, and closes it otherwise;
// a server that still works on the call notices that.
func (an *Response) Close() {
	live := an.release()
	sent := false
	select {
	case err := <-an.written:
		sent = err == nil
	default:
	}
	if !live || !an.whole || !an.reuse || !an.Framed || !sent || an.conn.reader.Buffered() > 0 {
		an.conn.close()
		return
	}
	an.pool.keep(an.conn)
}
