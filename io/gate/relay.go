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
const eventLimit = 1 << 20

// relay passes the events of a stream on as they come, each whole.
func (se *sending) relay(parent context.Context, an *call.Answer) (ending, *answer.Error) {
	rq := se.rq
	events := an.Events()
	var event []byte
	for {
		line, err := events.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > eventLimit:
			return se.broken(parent, errors.New("an event is too long"))
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0:
			return se.complete(parent, an)
		case errors.Is(err, io.EOF):
			return se.broken(parent, errPartialEvent)
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return se.broken(parent, err)
		case err != nil || len(bytes.TrimRight(line, "\r\n")) > 0:
			continue
		}
		if len(bytes.TrimSpace(event)) > 0 {
			se.begun()
			if err := rq.out.event(an, event); err != nil {
				se.sent.End(time.Now(), pick.Abandoned)
				return mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "the caller does not read: %v", err)
			}
		}
		event = event[:0]
	}
}

// begun notes the first event of the sending.
func (se *sending) begun() {
	se.watch.Stop()
	se.sent.Begin(time.Now())
	se.rq.log.note(se, time.Since(se.rq.arrived))
}

// complete ends a stream that came whole.
func (se *sending) complete(parent context.Context, an *call.Answer) (ending, *answer.Error) {
	if parent.Err() != nil {
		return se.broken(parent, parent.Err())
	}
	se.begun()
	se.sent.End(time.Now(), pick.Served)
	se.rq.out.begin(an.Status, an.Header)
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
