package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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
	rq      *request
	service config.Service
	method  string
	// path is as the caller escaped it, with the query.
	path        string
	contentType string
	key         string
}

// servePlain answers calls of plain services: lookups, which may be repeated, and orders, which may not.
func (en *Entry) servePlain(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request, pr httprouter.Params) *answer.Error {
	name := pr.ByName("service")
	sv, ok := rq.snapshot.Service(name)
	if !ok || sv.Kind() != config.KindPlain || !rq.workspace.Allows(name) {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "workspace %q has no service %q", rq.workspace.Name(), name)
	}
	call := &plainCall{
		rq:          rq,
		service:     sv,
		method:      hr.Method,
		path:        forwardPath(hr.URL, name),
		contentType: hr.Header.Get("Content-Type"),
		key:         hr.Header.Get("Idempotency-Key"),
	}
	if sv.AtMostOnce(hr.Method, pr.ByName("path")) {
		return en.serveOrder(ctx, call, wr)
	}
	return en.serveLookup(ctx, call, wr)
}

// forwardPath returns the path and query for the backend server as the caller escaped them: a path that is decoded here
// could be another one there, and pass for a call that may be repeated.
func forwardPath(called *url.URL, service string) string {
	out := strings.TrimPrefix(called.EscapedPath(), "/services/"+service)
	if called.RawQuery != "" {
		out += "?" + called.RawQuery
	}
	return out
}

// choosePlain returns the agent of a plain service with the shortest wait.
func (en *Entry) choosePlain(call *plainCall, refused map[string]bool) (string, bool) {
	ch, ok := en.choose(place.NewRequest(call.service.Name(), nil, 0, 1, 0, ""), refused)
	if !ok {
		return "", false
	}
	return ch.Server().Address(), true
}

// tryLookup sends a lookup to one agent.
func (en *Entry) tryLookup(ctx context.Context, call *plainCall, address string) (*wire.CallReply, *answer.Error) {
	en.rec.RecordEvent(call.rq.id, trace.RequestPlaced, "agent", address)
	wc := en.contextOf(call.rq)
	reply, err := en.pool.Agent(address).Call(ctx, &wire.SubmitRequest{
		Context:     wc,
		Service:     call.service.Name(),
		Method:      call.method,
		Path:        call.path,
		Body:        call.rq.body,
		ContentType: call.contentType,
		Check:       true,
		Share:       int32(call.rq.workspace.Share()),
	})
	if err != nil {
		_, er := en.unreached(ctx, address, err)
		return nil, er
	}
	en.heard(address, reply.GetStatus())
	switch {
	case reply.GetRefused() != nil:
		return nil, reply.GetRefused().ToError()
	case reply.GetFailed() != nil:
		en.board.Members().RecordFailure(time.Now(), address)
		return nil, reply.GetFailed().ToError()
	}
	en.billLookup(call, address, wc.GetTryId(), reply.GetStatus())
	return reply, nil
}

func writePlain(wr http.ResponseWriter, reply *wire.CallReply) {
	if reply.GetContentType() != "" {
		wr.Header().Set("Content-Type", reply.GetContentType())
	}
	wr.Header().Set("X-Outcome", string(answer.Done))
	wr.WriteHeader(int(reply.GetHttpStatus()))
	_, _ = wr.Write(reply.GetBody())
}
