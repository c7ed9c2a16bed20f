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

// resumeToken is what the id of an SSE event tells: the agent that keeps the stream, so that any entry can go on, and the
// event's sequence number.
type resumeToken struct {
	Agent       string `json:"a"`
	Incarnation uint64 `json:"i"`
	Stream      string `json:"s"`

	seq uint64
}

// prefix returns the part of the ids that all events of the stream share; the sequence number follows it.
func (rt resumeToken) prefix() string {
	text, _ := json.Marshal(rt)
	return base64.RawURLEncoding.EncodeToString(text) + "."
}

func decodeToken(id string) (resumeToken, *answer.Error) {
	var rt resumeToken
	prefix, number, _ := strings.Cut(id, ".")
	text, err := base64.RawURLEncoding.DecodeString(prefix)
	if err == nil {
		err = json.Unmarshal(text, &rt)
	}
	if err == nil {
		rt.seq, err = strconv.ParseUint(number, 10, 64)
	}
	if err != nil {
		return rt, badRequest("Last-Event-ID is not the id of an event of this service")
	}
	return rt, nil
}

// serveResume answers GET /v1/streams: the rest of the stream that Last-Event-ID names. Without the call's body the
// answer can't go on elsewhere when its engine fails.
func (en *Entry) serveResume(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request, _ httprouter.Params) *answer.Error {
	call := &modelCall{rq: rq, prompt: &prompt{}, refused: make(map[string]bool)}
	call.out = newOutput(wr, rq, call, true)
	vd, er := en.follow(ctx, call, hr.Header.Get("Last-Event-ID"))
	if vd == tryDone {
		er = nil
	}
	return en.endModel(ctx, call, er)
}

// resume answers a call that is sent again with the id of the last event that the caller got.
func (en *Entry) resume(ctx context.Context, call *modelCall, last string) *answer.Error {
	vd, er := en.follow(ctx, call, last)
	if vd == tryDone {
		return nil
	}
	if vd != tryBroken || ctx.Err() != nil {
		return er
	}
	return en.runModel(ctx, call)
}

// follow relays a stream that another entry, or another connection, began. All its frames are read, so that the text
// is at hand if the answer has to go on elsewhere; the caller gets those after its last event.
func (en *Entry) follow(ctx context.Context, call *modelCall, last string) (verdict, *answer.Error) {
	rt, er := decodeToken(last)
	if er != nil {
		return tryFinal, er
	}
	if _, ok := en.board.Members().View().Server(rt.Agent); !ok {
		return tryFinal, answer.NewError(answer.NotResumable, answer.Unknown, 0, "the stream's agent is not there any more")
	}
	rl := &relay{entry: en, call: call, address: rt.Agent, incarnation: rt.Incarnation, streamID: rt.Stream, skip: rt.seq}
	in, ok := rl.resume(ctx)
	if !ok {
		return tryFinal, answer.NewError(answer.NotResumable, answer.Unknown, 0, "the stream's agent does not answer")
	}
	vd, er := rl.run(ctx, in)
	if vd == tryRefused {
		return tryFinal, er
	}
	return vd, er
}
