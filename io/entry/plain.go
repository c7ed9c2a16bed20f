package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"shallotcleat/core/answer"
	"shallotcleat/core/config"
	"shallotcleat/core/place"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

func itoa(number int) string { return strconv.Itoa(number) }

// plainCall is one call of a plain service.
type plainCall struct {
	rq          *request
	service     config.Service
	method      string
	path        string
	contentType string
	key         string
}

// servePlain answers calls of plain services: lookups, which may be repeated, and orders, which may not.
func (en *Entry) servePlain(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request, pr httprouter.Params) *answer.Error {
	name := pr.ByName("service")
	sv, ok := rq.snapshot.Service(name)
	if !ok || sv.Kind() != config.Plain || !rq.workspace.Allows(name) {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "workspace %q has no service %q", rq.workspace.Name(), name)
	}
	path := pr.ByName("path")
	call := &plainCall{
		rq:          rq,
		service:     sv,
		method:      hr.Method,
		path:        path,
		contentType: hr.Header.Get("Content-Type"),
		key:         hr.Header.Get("Idempotency-Key"),
	}
	if sv.Once(hr.Method, path) {
		return en.serveOrder(ctx, call, wr)
	}
	if hr.URL.RawQuery != "" {
		call.path += "?" + hr.URL.RawQuery
	}
	return en.serveLookup(ctx, call, wr)
}

// plainAnswer is a plain service's answer.
type plainAnswer struct {
	accepted *wire.Accepted
	status   *wire.Status
	body     []byte
	end      *wire.End
}

// serveLookup runs a call that may be repeated, at another agent if one refuses or fails.
func (en *Entry) serveLookup(ctx context.Context, call *plainCall, wr http.ResponseWriter) *answer.Error {
	last := answer.NewError(answer.NoServer, answer.NotRun, refusedRetryAfter, "no backend server of %q takes work", call.service.Name())
	en.budget.Tried()
	refused := make(map[string]bool)
	for try := range maxTries {
		if try > 0 && !en.budget.Take() {
			return last
		}
		address, ok := en.choosePlain(call, refused)
		if !ok {
			return last
		}
		got, er := en.tryLookup(ctx, call, address)
		if er == nil {
			en.billLookup(call, address, got)
			writePlain(wr, got)
			en.noteAnswer(call.rq, string(answer.Done))
			return nil
		}
		last = er
		if ctx.Err() != nil {
			return answer.NewError(answer.Expired, answer.Unknown, refusedRetryAfter, "the request's time is over")
		}
		if er.Code() == answer.StaleEpoch {
			en.catchUp(ctx, address)
			if er := en.rebind(call.rq); er != nil {
				return er
			}
			continue
		}
		refused[address] = true
	}
	return last
}

// choosePlain returns the agent of a plain service with the shortest wait.
func (en *Entry) choosePlain(call *plainCall, refused map[string]bool) (string, bool) {
	rq := place.NewRequest(call.service.Name(), nil, 0, 1, 0, "")
	view := en.board.Members().View()
	for _, ch := range en.chooser.Rank(time.Now(), view, rq, len(refused)+1) {
		if address := ch.Server().Address(); !refused[address] {
			return address, true
		}
	}
	return "", false
}

func (en *Entry) tryLookup(ctx context.Context, call *plainCall, address string) (plainAnswer, *answer.Error) {
	en.rec.Note(call.rq.id, trace.Placed, "agent", address)
	in, err := en.pool.Agent(address).Submit(ctx, &wire.SubmitRequest{
		Context:     en.contextOf(call.rq),
		Service:     call.service.Name(),
		Method:      call.method,
		Path:        call.path,
		Body:        call.rq.body,
		ContentType: call.contentType,
		Check:       true,
		Share:       int32(call.rq.workspace.Share()),
	})
	if err != nil {
		_, er := en.unreached(address, err)
		return plainAnswer{}, er
	}
	defer func() { _ = in.Close() }()
	return en.collect(in, address)
}

// collect reads a plain service's answer.
func (en *Entry) collect(in frames, address string) (plainAnswer, *answer.Error) {
	var got plainAnswer
	for {
		fr, err := in.Recv()
		if err != nil {
			_, er := en.unreached(address, err)
			return got, er
		}
		en.heard(address, fr.GetStatus())
		switch kind := fr.GetKind().(type) {
		case *wire.Frame_Accepted:
			got.accepted, got.status = kind.Accepted, fr.GetStatus()
		case *wire.Frame_Refused:
			return got, kind.Refused.ToError()
		case *wire.Frame_Failed:
			en.board.Members().Failed(time.Now(), address)
			return got, kind.Failed.ToError()
		case *wire.Frame_Chunk:
			got.body = append(got.body, kind.Chunk.GetData()...)
		case *wire.Frame_End:
			got.end = kind.End
			return got, nil
		}
	}
}

func writePlain(wr http.ResponseWriter, got plainAnswer) {
	if got.end.GetContentType() != "" {
		wr.Header().Set("Content-Type", got.end.GetContentType())
	}
	wr.Header().Set("X-Outcome", string(answer.Done))
	wr.WriteHeader(int(got.end.GetHttpStatus()))
	_, _ = wr.Write(got.body)
}
