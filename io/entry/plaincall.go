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
	"shallotcleat/core/memory"
	"shallotcleat/core/place"
	"shallotcleat/io/intake"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

func itoa(number int) string { return strconv.Itoa(number) }

// plainCall is a call of a plain service.
type plainCall struct {
	rq      *request
	service config.Service
	method  string
	// path is the path with the query, escaped as the caller wrote it.
	path           string
	contentType    string
	idempotencyKey string
}

// servePlain serves calls of plain services: lookups, which may be retried, and orders, which must run at most once.
func (en *Entry) servePlain(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request,
	pr httprouter.Params) *answer.Error {
	name := pr.ByName("service")
	sv, ok := rq.snapshot.Service(name)
	if !ok || sv.Kind() != config.KindPlain || !rq.workspace.Allows(name) {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "workspace %q has no service %q", rq.workspace.Name(), name)
	}
	call := &plainCall{
		rq:             rq,
		service:        sv,
		method:         hr.Method,
		path:           forwardPath(hr.URL, name),
		contentType:    hr.Header.Get("Content-Type"),
		idempotencyKey: hr.Header.Get("Idempotency-Key"),
	}
	if sv.AtMostOnce(hr.Method, pr.ByName("path")) {
		return en.serveOrder(ctx, call, wr)
	}
	return en.serveLookup(ctx, call, wr)
}

// forwardPath returns the path and query for the backend server, escaped as the caller wrote them. If the path were decoded here,
// the server could interpret it differently, and an order could pass for a lookup.
func forwardPath(callURL *url.URL, service string) string {
	target := strings.TrimPrefix(callURL.EscapedPath(), "/services/"+service)
	if callURL.RawQuery != "" {
		target += "?" + callURL.RawQuery
	}
	return target
}

// choosePlain returns the address of the agent with the lowest cost that is not excluded. The cost of a plain call is the expected
// wait and the delay to another zone.
func (en *Entry) choosePlain(call *plainCall, excluded map[string]bool) (string, bool) {
	ch, ok := en.chooseServer(place.NewRequest(call.service.Name(), nil, 0, 1, 0, ""), excluded)
	if !ok {
		return "", false
	}
	return ch.Server().Address(), true
}

// attemptLookup sends a lookup to one agent.
func (en *Entry) attemptLookup(ctx context.Context, call *plainCall, address string) (*wire.CallReply, *answer.Error) {
	en.rec.RecordEvent(call.rq.id, trace.RequestPlaced, "agent", address)
	wireCtx := en.wireContext(call.rq)
	reply, err := en.pool.Agent(address).Call(ctx, &wire.SubmitRequest{
		Context:     wireCtx,
		Service:     call.service.Name(),
		Method:      call.method,
		Path:        call.path,
		Body:        call.rq.body,
		ContentType: call.contentType,
		Check:       true,
		Share:       int32(call.rq.workspace.Share()),
	})
	if err != nil {
		_, er := en.endUnreachable(ctx, address, err)
		return nil, er
	}
	en.recordStatus(address, reply.GetStatus())
	switch {
	case reply.GetRefused() != nil:
		return nil, reply.GetRefused().ToError()
	case reply.GetFailed() != nil:
		en.board.Members().RecordFailure(time.Now(), address)
		return nil, reply.GetFailed().ToError()
	}
	en.addLookupUsage(call, address, wireCtx.GetTryId(), reply.GetStatus())
	return reply, nil
}

// writeReply writes the reply of a lookup. A caller that reads it slowly is disconnected when memory is short. If there is none for the
// reply, the lookup has failed; it has run.
func (en *Entry) writeReply(wr http.ResponseWriter, reply *wire.CallReply) *answer.Error {
	cl := en.claimResponse(wr)
	defer cl.Close()
	if err := cl.Grow(time.Now(), int64(len(reply.GetBody()))); err != nil {
		return answer.NewError(answer.ServerFailed, answer.Unknown, 0, "reply of %d bytes: %v", len(reply.GetBody()), err)
	}
	if reply.GetContentType() != "" {
		wr.Header().Set("Content-Type", reply.GetContentType())
	}
	wr.Header().Set("X-Outcome", string(answer.Done))
	setLength(wr, len(reply.GetBody()))
	wr.WriteHeader(int(reply.GetHttpStatus()))
	intake.WriteSlowly(cl, wr, reply.GetBody())
	return nil
}

// setLength sets the length in bytes of a body. Without one, a caller with HTTP/1.0 could not tell a body that was cut off from a whole one. There
// may be no body by the status or the method.
func setLength(wr http.ResponseWriter, length int) {
	if length > 0 {
		wr.Header().Set("Content-Length", itoa(length))
	}
}

// claimResponse returns a claim for a response. When it is evicted, a pending write to the caller ends, and the connection with it.
func (en *Entry) claimResponse(wr http.ResponseWriter) *memory.Claim {
	controller := http.NewResponseController(wr)
	return en.memory.Open(time.Now(), memory.Response, func() { _ = controller.SetWriteDeadline(time.Unix(1, 0)) })
}
