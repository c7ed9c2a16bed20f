package entry

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"shallotcleat/core/answer"
)

// resumeToken is the content of an SSE event id: the agent that holds the stream, its incarnation and the stream's id, so that any
// entry can resume it, and the event's sequence number.
type resumeToken struct {
	Agent       string `json:"a"`
	Incarnation uint64 `json:"i"`
	Stream      string `json:"s"`

	seq uint64
}

// prefix returns the common prefix of the stream's event ids; the sequence number is appended to it.
func (rt resumeToken) prefix() string {
	encoded, _ := json.Marshal(rt)
	return base64.RawURLEncoding.EncodeToString(encoded) + "."
}

func decodeResumeToken(id string) (resumeToken, *answer.Error) {
	var rt resumeToken
	encoded, seqText, _ := strings.Cut(id, ".")
	decoded, err := base64.RawURLEncoding.DecodeString(encoded)
	if err == nil {
		err = json.Unmarshal(decoded, &rt)
	}
	if err == nil {
		rt.seq, err = strconv.ParseUint(seqText, 10, 64)
	}
	if err != nil {
		return rt, badRequest("header Last-Event-ID: not an event id of this service")
	}
	return rt, nil
}

// serveResume serves GET /v1/streams: the events after the one named by Last-Event-ID. If the engine fails, the response cannot be
// continued at another server, since the body of the call is not known.
func (en *Entry) serveResume(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request,
	_ httprouter.Params) *answer.Error {
	call := &modelCall{rq: rq, prompt: &prompt{}, excluded: make(map[string]bool)}
	defer en.beginResponse(call, wr, true)()
	result, er := en.relayExisting(ctx, call, hr.Header.Get("Last-Event-ID"))
	if result == attemptDone {
		er = nil
	}
	return en.finishModel(ctx, call, er)
}

// resumeModel serves a call that is retried with the id of the last event that the caller received.
func (en *Entry) resumeModel(ctx context.Context, call *modelCall, lastEventID string) *answer.Error {
	result, er := en.relayExisting(ctx, call, lastEventID)
	if result == attemptDone || call.finishAtLimit() {
		return nil
	}
	if result != attemptIncomplete || ctx.Err() != nil {
		return er
	}
	return en.runModel(ctx, call)
}

// relayExisting relays a stream that was begun by another entry or over another connection. It reads all frames, so that the text
// is known if the response must be continued at another server, and relays those after the caller's last event.
func (en *Entry) relayExisting(ctx context.Context, call *modelCall, lastEventID string) (attemptResult, *answer.Error) {
	rt, er := decodeResumeToken(lastEventID)
	if er != nil {
		return attemptFinal, er
	}
	if _, ok := en.board.Members().View().Server(rt.Agent); !ok {
		return attemptFinal, answer.NewError(answer.NotResumable, answer.Unknown, 0, "the agent of the stream is not a known server")
	}
	rl := &relay{entry: en, call: call, address: rt.Agent, incarnation: rt.Incarnation, streamID: rt.Stream, skipThrough: rt.seq}
	stream, ok := rl.resume(ctx)
	if !ok {
		return attemptFinal, answer.NewError(answer.NotResumable, answer.Unknown, 0, "the agent of the stream is unreachable")
	}
	result, er := rl.run(ctx, stream)
	if result == attemptRefused {
		return attemptFinal, er
	}
	return result, er
}
