package gate

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/io/call"
)

// eventLimit bounds one event of a stream.
const maxEventBytes = 1 << 20

// relay passes the events of a stream on as they come, each whole.
func (at *attempt) relayEvents(parent context.Context, an *call.Answer) (attemptResult, *answer.Error) {
	rq := at.rq
	events := an.Events()
	var event []byte
	for {
		line, err := events.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes:
			return at.endBroken(parent, errors.New("an event is too long"))
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0:
			return at.endComplete(parent, an)
		case errors.Is(err, io.EOF):
			return at.endBroken(parent, errTruncatedEvent)
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return at.endBroken(parent, err)
		case err != nil || len(bytes.TrimRight(line, "\r\n")) > 0:
			continue
		}
		if len(bytes.TrimSpace(event)) > 0 {
			at.recordFirstEvent()
			if err := rq.response.writeEvent(an, event); err != nil {
				at.picked.End(time.Now(), pick.Abandoned)
				return maybeExecuted, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "the caller does not read: %v", err)
			}
		}
		event = event[:0]
	}
}

// begun notes the first event of the sending.
func (at *attempt) recordFirstEvent() {
	at.watchdog.Stop()
	at.picked.Begin(time.Now())
	at.rq.log.recordResponse(at, time.Since(at.rq.arrived))
}

// complete ends a stream that came whole.
func (at *attempt) endComplete(parent context.Context, an *call.Answer) (attemptResult, *answer.Error) {
	if parent.Err() != nil {
		return at.endBroken(parent, parent.Err())
	}
	at.recordFirstEvent()
	at.picked.End(time.Now(), pick.Served)
	at.rq.response.writeHeader(an.Status, an.Header)
	return answered, nil
}

// eventID returns the id of an event and whether it has one that is a number.
func eventID(event []byte) (int64, bool) {
	for _, line := range strings.Split(string(event), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			number, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			return number, err == nil
		}
	}
	return 0, false
}
