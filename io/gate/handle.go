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
const maxPriority = 9

// request is one request of a caller; the goroutine of its handler owns it. It keeps the one configuration that it began
// with.
type request struct {
	info      RequestInfo
	routes    *route.Table
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
	possibleRuns int
	sends        int
	response     response
	// log collects what the request's line of the log says.
	log requestLog
}

// requestLog is what the log tells of a request beside its identity.
type requestLog struct {
	serverID      string
	weightVersion uint64
	cachedParts   int
	cacheSourceID string
	firstEvent    time.Duration
	// expected is the time to the first event as it was expected of the server.
	expectedFirstEvent time.Duration
}

// handle serves one request of a caller.
func (gt *Gate) handle(wr http.ResponseWriter, hr *http.Request) {
	rq := &request{
		method:   hr.Method,
		target:   hr.RequestURI,
		host:     hr.Host,
		header:   hr.Header,
		arrived:  time.Now(),
		info:     gt.opts.Dialect.DecodeRequest(hr.Header),
		response: response{writer: wr},
	}
	if gt.closeConnections.Load() {
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
	rq.routes = gt.routes.Load()
	if rq.routes == nil {
		return answer.NewError(answer.NotConfigured, answer.NotRun, configRetryAfter, "no configuration is known yet")
	}
	if rq.info.RequestID == "" || !strings.HasPrefix(rq.target, "/") {
		return answer.NewError(answer.BadRequest, answer.NotRun, 0, "the request has no id or no path")
	}
	if rq.route = rq.routes.Match(hostName(rq.host), hr.URL.EscapedPath()); rq.route == nil {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "no route")
	}
	if rq.workspace = rq.routes.Authenticate(rq.route, rq.info.APIKey); rq.workspace == nil {
		return answer.NewError(answer.Unauthorized, answer.NotRun, 0, "no workspace has this key")
	}
	name := rq.route.Service(rq.info.RequestID)
	if rq.service = rq.routes.Service(name); rq.service == nil {
		return answer.NewError(answer.NoServer, answer.NotRun, serverRetryAfter, "no service %q", name)
	}
	timeout := defaultTimeout
	if routeTimeout := rq.route.Timeout(); routeTimeout > 0 {
		timeout = routeTimeout
	}
	if rq.info.Timeout > 0 {
		timeout = min(timeout, rq.info.Timeout)
	}
	rq.deadline = rq.arrived.Add(timeout)
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
	timeout := rq.routes.Limits().MaxBodyBytes
	if timeout <= 0 {
		timeout = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, hr.Body, timeout))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer.NewError(answer.TooLarge, answer.NotRun, 0, "the body has more than %d bytes", timeout)
	case err != nil:
		return answer.NewError(answer.BadRequest, answer.NotRun, 0, "the body can't be read: %v", err)
	}
	rq.body = body
	model := ""
	if rq.service.IsEngine() {
		model = rq.info.Model
	}
	rq.call = pick.NewCall(rq.service.Name(), model, cacheScope(rq.workspace), rq.info.PromptParts, rq.info.PromptTokens, rq.route.AtMostOnce()).
		WithRank(rq.workspace.Priority(rq.route)).WithOutput(rq.info.ExpectedTokens)
	rq.excluded = make(map[string]bool)
	return nil
}

// wall returns what keeps the cached parts of an isolated workspace apart from those of others.
func cacheScope(ws *route.Workspace) string {
	if ws.Isolated() {
		return ws.Name()
	}
	return ""
}
