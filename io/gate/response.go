package gate

import (
	"fmt"
	"net/http"
	"strconv"

	"shallotcleat/io/call"
)

// output is the answer to a caller.
type response struct {
	writer http.ResponseWriter
	// started is set when a part of the answer has been sent.
	started bool
	// last is the number of the last event that was sent; it counts if numbered is set.
	lastEventID int64
	hasEventID  bool
	// kept is a server's failure that the caller gets if no other server answers.
	fallback *bufferedResponse
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (rs *response) setFallback(status int, hd http.Header, body []byte) {
	rs.fallback = &bufferedResponse{status: status, header: hd, body: body}
}

// resumeFrom returns the id of the event after which the next sending goes on.
func (rs *response) resumeEventID(asked string) string {
	if rs.hasEventID {
		return strconv.FormatInt(rs.lastEventID, 10)
	}
	return asked
}

// connectionHeaders concern one connection only; the length is told anew.
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

// IsConnectionHeader reports whether a header, in canonical form, concerns one connection only and is never forwarded.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }

// begin sends the header of a stream, unless it has been sent: a stream that goes on keeps its first header.
func (rs *response) writeHeader(status int, hd http.Header) {
	if rs.started {
		return
	}
	rs.started = true
	rs.copyHeader(hd)
	rs.writer.WriteHeader(status)
}

func (rs *response) copyHeader(hd http.Header) {
	to := rs.writer.Header()
	for name, values := range hd {
		if !IsHopByHopHeader(name) {
			to[name] = values
		}
	}
	if len(hd["Content-Type"]) == 0 {
		// A nil value keeps net/http from guessing a type.
		to["Content-Type"] = nil
	}
}

// event passes one event on. Events that the caller has already are passed over.
func (rs *response) writeEvent(an *call.Answer, event []byte) error {
	number, ok := eventID(event)
	if ok && rs.hasEventID && number <= rs.lastEventID {
		return nil
	}
	rs.writeHeader(an.Status, an.Header)
	if ok {
		rs.lastEventID, rs.hasEventID = number, true
	}
	if _, err := rs.writer.Write(event); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := http.NewResponseController(rs.writer).Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// whole sends an answer that is no stream.
func (rs *response) writeBuffered(status int, hd http.Header, body []byte) {
	rs.started = true
	rs.copyHeader(hd)
	rs.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rs.writer.WriteHeader(status)
	// A caller that has left gets nothing; its connection is closed by the server.
	_, _ = rs.writer.Write(body)
}
