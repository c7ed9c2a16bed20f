package gate

import (
	"fmt"
	"net/http"
	"strconv"

	"shallotcleat/io/call"
)

// output is the answer to a caller.
type output struct {
	writer http.ResponseWriter
	// started is set when a part of the answer has been sent.
	started bool
	// last is the number of the last event that was sent; it counts if numbered is set.
	last     int64
	numbered bool
	// kept is a server's failure that the caller gets if no other server answers.
	kept *keptAnswer
}

type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (ou *output) keep(status int, hd http.Header, body []byte) {
	ou.kept = &keptAnswer{status: status, header: hd, body: body}
}

// resumeFrom returns the id of the event after which the next sending goes on.
func (ou *output) resumeFrom(asked string) string {
	if ou.numbered {
		return strconv.FormatInt(ou.last, 10)
	}
	return asked
}

// connectionHeaders concern one connection only; the length is told anew.
var connectionHeaders = map[string]bool{
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
func IsHopByHopHeader(name string) bool { return connectionHeaders[name] }

// begin sends the header of a stream, unless it has been sent: a stream that goes on keeps its first header.
func (ou *output) begin(status int, hd http.Header) {
	if ou.started {
		return
	}
	ou.started = true
	ou.copyHeader(hd)
	ou.writer.WriteHeader(status)
}

func (ou *output) copyHeader(hd http.Header) {
	to := ou.writer.Header()
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
func (ou *output) event(an *call.Answer, event []byte) error {
	number, ok := eventID(event)
	if ok && ou.numbered && number <= ou.last {
		return nil
	}
	ou.begin(an.Status, an.Header)
	if ok {
		ou.last, ou.numbered = number, true
	}
	if _, err := ou.writer.Write(event); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := http.NewResponseController(ou.writer).Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// whole sends an answer that is no stream.
func (ou *output) whole(status int, hd http.Header, body []byte) {
	ou.started = true
	ou.copyHeader(hd)
	ou.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	ou.writer.WriteHeader(status)
	// A caller that has left gets nothing; its connection is closed by the server.
	_, _ = ou.writer.Write(body)
}
