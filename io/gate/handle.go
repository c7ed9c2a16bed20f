package gate

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/core/route"
)

// defaultTimeout bounds requests whose caller and route name no time.
const defaultTimeout = time.Minute

// maxRank is the least urgent rank that servers know.
const maxRank = 9

// request is one request of a caller; the goroutine of its handler owns it. It keeps the one configuration that it began
// with.
type request struct {
	asked     RequestInfo
	table     *route.Table
	route     *route.Route
	service   *route.Service
	workspace *route.Workspace
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	arrived   time.Time
	deadline  time.Time
	call      pick.Call

	// excluded are the servers that the request is not sent to again.
	excluded map[string]bool
	// runs counts the servers on which the request may have run.
	runs  int
	sends int
	out   output
	// log collects what the request's line of the log says.
	log requestLog
}

// requestLog is what the log tells of a request beside its identity.
type requestLog struct {
	server  string
	version uint64
	held    int
	source  string
	first   time.Duration
	// expected is the time to the first event as it was expected of the server.
	expected time.Duration
}

// handle serves one request of a caller.
func (gt *Gate) handle(wr http.ResponseWriter, hr *http.Request) {
	rq := &request{
		method:  hr.Method,
		target:  hr.RequestURI,
		host:    hr.Host,
		header:  hr.Header,
		arrived: time.Now(),
		asked:   gt.opts.Dialect.DecodeRequest(hr.Header),
		out:     output{writer: wr},
	}
	if gt.lastCalls.Load() {
		wr.Header().Set("Connection", "close")
	}
	er := gt.admit(rq, hr)
	if er == nil {
		er = gt.readBody(rq, wr, hr)
	}
	if er == nil {
		er = gt.run(hr.Context(), rq)
	}
	gt.finish(hr.Context(), rq, er)
}

// admit finds the route, the workspace and the service of a request, or the reason why it may not go on.
func (gt *Gate) admit(rq *request, hr *http.Request) *answer.Error {
	rq.table = gt.table.Load()
	if rq.table == nil {
		return answer.NewError(answer.NotConfigured, answer.NotRun, configRetryAfter, "no configuration is known yet")
	}
	if rq.asked.RequestID == "" || !strings.HasPrefix(rq.target, "/") {
		return answer.NewError(answer.BadRequest, answer.NotRun, 0, "the request has no id or no path")
	}
	if rq.route = rq.table.Match(hostName(rq.host), hr.URL.EscapedPath()); rq.route == nil {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "no route")
	}
	if rq.workspace = rq.table.Authenticate(rq.route, rq.asked.APIKey); rq.workspace == nil {
		return answer.NewError(answer.Unauthorized, answer.NotRun, 0, "no workspace has this key")
	}
	name := rq.route.Service(rq.asked.RequestID)
	if rq.service = rq.table.Service(name); rq.service == nil {
		return answer.NewError(answer.NoServer, answer.NotRun, serverRetryAfter, "no service %q", name)
	}
	limit := defaultTimeout
	if tm := rq.route.Timeout(); tm > 0 {
		limit = tm
	}
	if rq.asked.Timeout > 0 {
		limit = min(limit, rq.asked.Timeout)
	}
	rq.deadline = rq.arrived.Add(limit)
	return nil
}

// hostName returns a host without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// readBody reads the whole body before the request is sent on, so that a server never waits for a slow caller.
func (gt *Gate) readBody(rq *request, wr http.ResponseWriter, hr *http.Request) *answer.Error {
	limit := rq.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = bodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, hr.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer.NewError(answer.TooLarge, answer.NotRun, 0, "the body has more than %d bytes", limit)
	case err != nil:
		return answer.NewError(answer.BadRequest, answer.NotRun, 0, "the body can't be read: %v", err)
	}
	rq.body = body
	model := ""
	if rq.service.IsEngine() {
		model = rq.asked.Model
	}
	rq.call = pick.NewCall(rq.service.Name(), model, wall(rq.workspace), rq.asked.PromptParts, rq.asked.PromptTokens, rq.route.AtMostOnce()).
		WithRank(rq.workspace.Priority(rq.route)).WithOutput(rq.asked.ExpectedTokens)
	rq.excluded = make(map[string]bool)
	return nil
}

// wall returns what keeps the cached parts of an isolated workspace apart from those of others.
func wall(ws *route.Workspace) string {
	if ws.Isolated() {
		return ws.Name()
	}
	return ""
}
