package gate

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/memory"
	"shallotcleat/core/pick"
	"shallotcleat/core/whole"
	"shallotcleat/io/client"
)

// maxEventBytes is the maximum size of an event of a stream.
const maxEventBytes = 1 << 20

// statusLinePrefix begins the header of a response, and no event: what a faulty server writes there belongs to no stream.
const statusLinePrefix = "HTTP/"

var errForeignHead = errors.New("another response begins in the stream")

// relayEvents relays the events of a stream as they arrive, each once it is complete.
func (at *attempt) relayEvents(requestCtx context.Context, resp *client.Response) (attemptResult, *answer.Error) {
	rq := at.rq
	events := resp.LineReader()
	defer at.handOver.close(requestCtx)
	var event []byte
	held := newEventMemory(at.gate.memory.Open(time.Now(), memory.Response, rq.response.interruptWrite))
	defer held.claim.Close()
	for {
		line, err := events.ReadSlice('\n')
		if err := held.growTo(len(event) + len(line)); err != nil {
			return at.endBroken(requestCtx, err)
		}
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			at.recordEnd(err)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) && at.handOver != nil {
			cause := err
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0 {
				cause = nil
			}
			if result, er, ended := at.relayedAll(requestCtx, resp, cause); ended {
				return result, er
			}
		}
		switch {
		case len(event) > maxEventBytes:
			return at.endBroken(requestCtx, errors.New("event exceeds the maximum size"))
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			begun := !at.firstEventAt.IsZero() || rq.response.resumeEventID(rq.info.LastEventID) != ""
			content := whole.NewEvents(begun, len(bytes.TrimSpace(event)) > 0)
			if err := at.checkWhole(requestCtx, resp, err, content); err != nil {
				return at.endBroken(requestCtx, err)
			}
			return at.endComplete(requestCtx, resp)
		case err != nil || !endsWithBlankLine(event):
			continue
		}
		if bytes.HasPrefix(event, []byte(statusLinePrefix)) {
			return at.endBroken(requestCtx, errForeignHead)
		}
		if len(bytes.TrimSpace(event)) > 0 {
			if !at.continues(event) {
				return at.endBroken(requestCtx, errNotContinued)
			}
			progress := hasField(event)
			if progress {
				at.recordFirstEvent()
			}
			at.recordPromptServed()
			// Comments alone begin no stream.
			if _, pinned := rq.call.SoftwareVersion(); progress || pinned {
				if err := at.checkVersion(requestCtx, resp); err != nil {
					return at.endBroken(requestCtx, err)
				}
			}
			held.beginWrite()
			if err := errors.Join(rq.response.writeEvent(at.answer, resp, event, progress), held.endWrite()); err != nil {
				at.pickAttempt.End(time.Now(), pick.Abandoned)
				return mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "write to caller: %v", err)
			}
			if progress && at.handOver != nil {
				at.handOver.eventRelayed(requestCtx)
			}
		}
		if event = event[:0]; cap(event) > freeEventBytes {
			event = nil
			held.free()
		}
	}
}

const (
	// streamBytes is what a stream counts for, so that a caller that does not read it can be disconnected when memory is short.
	streamBytes = 8 << 10
	// freeEventBytes is the size up to which an event does not count.
	freeEventBytes = 16 << 10
	// eventFactor is the memory of a long event for each of its bytes: the slice that grows, and the smaller ones that it has left.
	eventFactor = 3
)

// eventMemory is the memory of a stream and of its current event, if that is long.
type eventMemory struct {
	claim *memory.Claim
	bytes int
}

// newEventMemory returns the memory of a stream that has begun. If there is none, the stream, which may have run, goes on without it.
func newEventMemory(cl *memory.Claim) *eventMemory {
	em := &eventMemory{claim: cl}
	if cl.Grow(time.Now(), streamBytes) == nil {
		em.bytes = streamBytes
	}
	return em
}

// growTo claims memory for an event of a size.
func (em *eventMemory) growTo(size int) error {
	if size <= freeEventBytes || size <= em.bytes {
		return nil
	}
	if err := em.claim.Grow(time.Now(), int64(eventFactor*size-em.bytes)); err != nil {
		return fmt.Errorf("event of %d bytes: %w", size, err)
	}
	em.bytes = eventFactor * size
	return nil
}

// beginWrite begins to wait for the caller, which may be disconnected meanwhile.
func (em *eventMemory) beginWrite() {
	if em.bytes > 0 {
		em.claim.Wait(time.Now())
	}
}

// endWrite ends the wait for the caller.
func (em *eventMemory) endWrite() error {
	if em.bytes == 0 {
		return nil
	}
	return em.claim.Use()
}

func (em *eventMemory) free() {
	em.claim.ShrinkTo(streamBytes)
	em.bytes = min(em.bytes, streamBytes)
}

// endsWithBlankLine reports whether text that ends with a line end has an empty last line. The piece of a long line that ReadSlice
// returned last doesn't show that: it may be the line end alone.
func endsWithBlankLine(text []byte) bool {
	text = bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
	return len(text) == 0 || text[len(text)-1] == '\n'
}

// recordFirstEvent stops the watchdog and records the time to the first event of the attempt. Later calls have no effect.
func (at *attempt) recordFirstEvent() {
	at.watchdog.Stop()
	if at.firstEventAt.IsZero() {
		at.firstEventAt = time.Now()
	}
	at.pickAttempt.MarkFirstEvent(time.Now())
	at.rq.log.recordResponse(at, time.Since(at.rq.arrived))
}

// endComplete ends an attempt whose stream is complete, and sends the header of a stream without events.
func (at *attempt) endComplete(requestCtx context.Context, resp *client.Response) (attemptResult, *answer.Error) {
	if requestCtx.Err() != nil {
		return at.endBroken(requestCtx, requestCtx.Err())
	}
	at.recordFirstEvent()
	at.pickAttempt.End(time.Now(), pick.Served)
	at.recordDuration()
	at.recordAnswered(requestCtx, resp)
	at.rq.response.writeHeader(resp.Status, resp.Header)
	return responded, nil
}

// errNotContinued means that a server has begun a stream anew that it was to continue. Its events are those of another run, whatever their ids.
var errNotContinued = errors.New("the server has begun the stream anew")

// continues reports whether an event of the attempt follows what the caller has. Only the first one with an id shows that.
func (at *attempt) continues(event []byte) bool {
	if at.continuing {
		return true
	}
	id, ok := eventID(event)
	at.continuing = ok
	rs := &at.rq.response
	return !ok || !rs.hasEventID || id > rs.lastEventID
}

// hasField reports whether an event has a field; one of comments only is no sign of progress.
func hasField(event []byte) bool {
	// Splitting an event of many short lines would take more than ten times its size.
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the id of an event, and whether the event has a numeric id.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
