package gate

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"shallotcleat/io/client"
	"shallotcleat/io/intake"
)

// response is the response to a caller.
type response struct {
	writer http.ResponseWriter
	// unframed is set if the caller's version of HTTP has no chunks, so that a stream ends with the connection.
	unframed bool
	// conn is the caller's connection, or nil if it is not one of TCP. resetsAtEnd is set while closing it resets it.
	conn        lingerer
	resetsAtEnd bool
	// started is set once a part of the response has been sent.
	started bool
	// lastEventID is the numeric id of the last event that was sent; it is valid if hasEventID is set.
	lastEventID int64
	hasEventID  bool
	// progressAt is when the last event with a field came that the caller did not have, and longestPause the longest time between two of them.
	progressAt   time.Time
	longestPause time.Duration
	// events is the number of these events.
	events int
	// fallback is the error response of a server, sent to the caller if no other server responds.
	fallback *bufferedResponse
}

type bufferedResponse struct {
	status int
	header http.Header
	body   *intake.Data
	// head is the memory of header.
	head *intake.Header
}

// setFallback keeps an error response in place of an earlier one.
func (rs *response) setFallback(status int, hd http.Header, body *intake.Data, head *intake.Header) {
	rs.release()
	rs.fallback = &bufferedResponse{status: status, header: hd, body: body, head: head}
}

// release frees the memory of the fallback.
func (rs *response) release() {
	if rs.fallback != nil {
		freeBody(rs.fallback.body)
		rs.fallback.head.Close()
		rs.fallback = nil
	}
}

// writeFallback sends the fallback.
func (rs *response) writeFallback() {
	rs.writeBuffered(rs.fallback.status, rs.fallback.header, rs.fallback.body)
}

// freeBody frees a response body that is no longer used.
func freeBody(body *intake.Data) {
	body.Recycle()
	body.Claim().Close()
}

// resumeEventID returns the id of the event after which the next attempt continues; requested is the id that the caller sent.
func (rs *response) resumeEventID(requested string) string {
	if rs.hasEventID {
		return strconv.FormatInt(rs.lastEventID, 10)
	}
	return requested
}

// continueAfter sets the id of the last event that the caller has from an earlier response, if it is numeric: a server may ignore it and begin
// the stream anew.
func (rs *response) continueAfter(requested string) {
	id, err := strconv.ParseInt(requested, 10, 64)
	if err == nil && strconv.FormatInt(id, 10) == requested {
		rs.lastEventID, rs.hasEventID = id, true
	}
}

// hopByHopHeaders apply to a single connection. Content-Length is included because it is set separately for each message.
var hopByHopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Transfer-Encoding": true,
	"Te":                true,
	"Trailer":           true,
	"Upgrade":           true,
	"Content-Length":    true,
}

// IsHopByHopHeader reports whether a header, in canonical form, applies to a single connection and is never forwarded.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }

// writeHeader sends the header of a stream unless one has been sent: a stream that another server continues keeps its first
// header.
func (rs *response) writeHeader(status int, hd http.Header) {
	if rs.started {
		return
	}
	rs.started = true
	rs.resetAtEnd(true)
	rs.copyHeader(hd)
	rs.writer.WriteHeader(status)
}

// lingerer is a connection whose end can be chosen, as that of net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// Values of SetLinger: closing resets the connection, also when the kernel closes it because the process has ended, or ends it in good order.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// resetAtEnd chooses how the caller's connection ends if the end of a stream is that of its connection: with a reset until the stream is complete,
// since the kernel closes the connections of a killed process in good order.
func (rs *response) resetAtEnd(resets bool) {
	if !rs.unframed || rs.conn == nil || rs.resetsAtEnd == resets {
		return
	}
	seconds := lingerDefault
	if resets {
		seconds = lingerReset
	}
	// The call fails only if the connection has ended.
	rs.resetsAtEnd = rs.conn.SetLinger(seconds) == nil && resets
}

func (rs *response) copyHeader(hd http.Header) {
	dst := rs.writer.Header()
	for name, values := range hd {
		if !IsHopByHopHeader(name) {
			dst[name] = values
		}
	}
	if len(hd["Content-Type"]) == 0 {
		// A nil value keeps net/http from detecting a content type.
		dst["Content-Type"] = nil
	}
}

// writeEvent relays one event of the answer that al describes. It skips events that the caller already has. An event without progress has comments only.
func (rs *response) writeEvent(al *answerLog, resp *client.Response, event []byte, progress bool) error {
	id, ok := eventID(event)
	if ok && rs.hasEventID && id <= rs.lastEventID {
		return nil
	}
	if progress {
		rs.recordProgress(time.Now())
	}
	rs.writeHeader(resp.Status, resp.Header)
	if ok {
		rs.lastEventID, rs.hasEventID = id, true
	}
	if _, err := rs.writer.Write(event); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := http.NewResponseController(rs.writer).Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	al.recordEvent(id, ok)
	return nil
}

// recordProgress records that an event was relayed to the caller.
func (rs *response) recordProgress(now time.Time) {
	if !rs.progressAt.IsZero() {
		rs.longestPause = max(rs.longestPause, now.Sub(rs.progressAt))
	}
	rs.progressAt = now
	rs.events++
}

// reset resets the caller's connection if a broken stream would look complete at its end.
func (rs *response) reset() error {
	if !rs.unframed || !rs.started {
		return nil
	}
	conn, _, err := http.NewResponseController(rs.writer).Hijack()
	if err != nil {
		return fmt.Errorf("take over connection: %w", err)
	}
	if lg, ok := conn.(lingerer); ok {
		if err := lg.SetLinger(lingerReset); err != nil {
			return errors.Join(fmt.Errorf("set linger: %w", err), conn.Close())
		}
	}
	return conn.Close()
}

// writeBuffered sends a response that is not a stream. A caller that reads it slowly is disconnected when memory is short.
func (rs *response) writeBuffered(status int, hd http.Header, body *intake.Data) {
	rs.started = true
	rs.copyHeader(hd)
	rs.writer.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	rs.writer.WriteHeader(status)
	// The error is ignored: net/http closes the connection of a caller that has disconnected.
	_, _ = body.WriteTo(rs.writer)
}

// interruptWrite ends a pending write to the caller, and the connection with it.
func (rs *response) interruptWrite() {
	// A connection that has ended needs no deadline.
	_ = http.NewResponseController(rs.writer).SetWriteDeadline(time.Unix(1, 0))
}
