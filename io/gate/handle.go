package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/fleet"
	"shallotcleat/core/memory"
	"shallotcleat/core/pick"
	"shallotcleat/core/route"
	"shallotcleat/core/runs"
	"shallotcleat/io/client"
	"shallotcleat/io/intake"
)

// defaultTimeout applies to requests whose caller and route set no timeout.
const defaultTimeout = time.Minute

// maxPriority is the lowest priority that servers support.
const maxPriority = 9

// request is the state of one request of a caller; the handler's goroutine owns it. It uses the same routing table throughout,
// even if the configuration changes meanwhile, except for the scope of its call: each attempt that begins anew has that of the newest one.
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
	// body is the body in pieces, whose memory belongs to bodyClaim.
	body      [][]byte
	bodyClaim *memory.Claim
	arrived   time.Time
	deadline  time.Time
	call      pick.Call
	// bodyLate is set if the body was incomplete at its deadline. net/http then cancels the request's context, as if the caller had
	// disconnected.
	bodyLate bool
	// key identifies the request when its caller repeats it under another id; it is zero before the body was read.
	key uint64
	// suspectKeys are the keys under which the request may be blamed for crashes; trial is set if it is sent in spite of a rule about them.
	suspectKeys []uint64
	trial       bool

	// quotaAmount is what the request was admitted for of its workspace's limit.
	quotaAmount float64
	// excluded holds the ids of the servers to which the request is not sent again.
	excluded map[string]bool
	// possibleRuns is the number of servers on which the request may have run; sends is the number of attempts.
	possibleRuns int
	sends        int
	// beyondShare is set if the request is beyond the fair share of its workspace while servers are full.
	beyondShare bool
	response    response
	// began is the moment at which the stream of the response began at a server, unless the server certainly was then the run that it was taken for.
	began *runs.Moment
	// originUnresolved is set if no entry stated the version of the run at which the stream began.
	originUnresolved bool
	// moved is the run of the request that was handed over, or was to be, and nil before.
	moved *movedRun
	// log collects fields of the log entry of the request.
	log requestLog
}

// requestLog describes the last attempt whose response began, except for timeToFirstEvent.
type requestLog struct {
	serverID string
	// connUse is the use of the connection of the last attempt, unless none was established.
	connUse *client.ConnUse
	// softwareVersion is that of the server.
	softwareVersion string
	// answers describes the answers of all attempts.
	answers       []*answerLog
	weightVersion uint64
	// cacheSalt is the text under which the engine of the last attempt reads and makes cached parts of the prompt, or "".
	cacheSalt     string
	cachedParts   int
	cacheSourceID string
	// zoneExit is why the last attempt went to another zone, or "".
	zoneExit string
	// timeToFirstEvent is the time from the arrival of the request to the first event of any attempt, or to a complete response
	// that is not a stream.
	timeToFirstEvent time.Duration
	// expectedTimeToFirstEvent is the time to the first event that was expected when the server was chosen.
	expectedTimeToFirstEvent time.Duration
}

// addAnswer adds the answer of a new attempt at a server.
func (rl *requestLog) addAnswer(sv *fleet.Server) *answerLog {
	al := &answerLog{server: sv}
	rl.answers = append(rl.answers, al)
	return al
}

// isResumed reports whether the caller takes up a stream.
func (rq *request) isResumed() bool {
	return rq.route != nil && rq.route.Stream() && (rq.info.Resumes != "" || rq.info.LastEventID != "")
}

// handle serves a request of a caller from admission to the log entry.
func (gt *Gate) handle(wr http.ResponseWriter, hr *http.Request) {
	rq := &request{
		method:   hr.Method,
		target:   hr.RequestURI,
		host:     hr.Host,
		header:   hr.Header,
		arrived:  time.Now(),
		info:     gt.opts.Dialect.DecodeRequest(hr.Header),
		response: response{writer: wr, unframed: !hr.ProtoAtLeast(1, 1), conn: lingererOf(hr.Context())},
	}
	if gt.closeConnections.Load() {
		wr.Header().Set("Connection", "close")
	}
	intake.CloseAfterOldRequest(wr, hr)
	defer rq.release()
	er := gt.admit(rq, hr)
	if er == nil {
		er = gt.claimQuota(hr.Context(), rq)
	}
	gt.limitBodyTime(rq, wr, hr)
	if er == nil {
		er = gt.readBody(rq, wr, hr)
	}
	if er == nil {
		er = gt.run(hr.Context(), rq)
	}
	gt.finish(hr.Context(), rq, er)
}

// release frees the memory that the request holds.
func (rq *request) release() {
	if rq.bodyClaim != nil {
		rq.bodyClaim.Close()
	}
	rq.response.release()
}

// admit sets the route, workspace, service and deadline of a request, or returns the reason for a rejection.
func (gt *Gate) admit(rq *request, hr *http.Request) *answer.Error {
	rq.routes = gt.routes.Load()
	if rq.routes == nil {
		return answer.NewError(answer.NotConfigured, answer.NotRun, configRetryAfter, "no configuration loaded")
	}
	if rq.info.RequestID == "" || !strings.HasPrefix(rq.target, "/") {
		return answer.NewError(answer.BadRequest, answer.NotRun, 0, "request without an id or a path")
	}
	if rq.route = rq.routes.Match(hostName(rq.host), hr.URL.EscapedPath()); rq.route == nil {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "no route matches")
	}
	if rq.workspace = rq.routes.Authenticate(rq.route, rq.info.APIKey); rq.workspace == nil {
		return answer.NewError(answer.Unauthorized, answer.NotRun, 0, "no workspace has this API key")
	}
	// The service of a resumed stream is set again once it is known where the stream began.
	name := rq.route.Service(rq.streamID())
	if rq.service = rq.routes.Service(name); rq.service == nil {
		return answer.NewError(answer.NoBackendServer, answer.NotRun, serverRetryAfter, "unknown service %q", name)
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

// hostName returns a host without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// limitBodyTime bounds how long a caller may take for the body: until the deadline of the request. Of a request that is not admitted,
// the body is only read so that the connection can be reused; the header timeout bounds that.
func (gt *Gate) limitBodyTime(rq *request, wr http.ResponseWriter, hr *http.Request) {
	if hr.ContentLength == 0 {
		return
	}
	deadline := rq.deadline
	if deadline.IsZero() {
		deadline = rq.arrived.Add(callerLimits(rq.routes).HeaderTimeout)
	}
	// net/http removes the read deadline once the body has been read.
	if err := http.NewResponseController(wr).SetReadDeadline(deadline); err != nil {
		gt.log.WithError(err).WithField("request_id", rq.info.RequestID).Warn("cannot bound the time for a request body")
	}
}

// readBody reads the whole body before the first attempt, so that a slow caller never occupies a server. It then sets the call of
// the request.
func (gt *Gate) readBody(rq *request, wr http.ResponseWriter, hr *http.Request) *answer.Error {
	maxBytes := callerLimits(rq.routes).MaxBodyBytes
	if hr.ContentLength != 0 {
		defer context.AfterFunc(gt.cut, func() {
			// A connection that has ended needs no deadline.
			_ = http.NewResponseController(wr).SetReadDeadline(time.Unix(1, 0))
		})()
	}
	data, err := intake.ReadBody(gt.memory, wr, hr, maxBytes)
	rq.bodyClaim = data.Claim()
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return answer.NewError(answer.BodyTooLarge, answer.NotRun, 0, "request body larger than %d bytes", maxBytes)
	case errors.Is(err, memory.ErrShort):
		// An evicted body was interrupted by a read deadline, like a late one.
		rq.bodyLate = true
		return answer.NewError(answer.MemoryShort, answer.NotRun, memoryRetryAfter, "request body: %v", err)
	case errors.Is(err, os.ErrDeadlineExceeded) && gt.cut.Err() != nil:
		rq.bodyLate = true
		return answer.NewError(answer.Leaving, answer.NotRun, leavingRetryAfter, "request body incomplete at the end of the graceful stop")
	case errors.Is(err, os.ErrDeadlineExceeded):
		rq.bodyLate = true
		return answer.NewError(answer.DeadlineExceeded, answer.NotRun, 0, "request body incomplete at the deadline")
	case err != nil:
		return answer.NewError(answer.BadRequest, answer.NotRun, 0, "read request body: %v", err)
	}
	rq.body = data.Pieces()
	rq.key = requestKey(rq)
	rq.excluded = make(map[string]bool)
	rq.setService(rq.service)
	return nil
}

// setService sets the service of a request whose body was read, and what depends on it.
func (rq *request) setService(sv *route.Service) {
	rq.service = sv
	model := ""
	if sv.IsEngine() {
		model = rq.info.Model
	}
	rq.call = pick.NewCall(sv.Name(), model, rq.routes.Scope(rq.workspace), rq.info.PromptParts, rq.info.PromptTokens,
		rq.route.AtMostOnce()).WithPriority(rq.workspace.Priority(rq.route)).WithOutput(rq.info.ExpectedTokens).
		WithRequest(rq.info.RequestID, len(rq.body))
	if rq.route.Resumable() {
		rq.call = rq.call.Resumable()
	}
	rq.suspectKeys = suspectKeys(rq.key, model, rq.info.PromptParts)
}

// updateScope gives the call of a request the scope that its workspace has in the routing table that is in force.
func (rq *request) updateScope(tb *route.Table) {
	if sc := tb.Scope(rq.workspace); sc != rq.call.Scope() {
		rq.call = rq.call.WithScope(sc, rq.info.PromptParts)
	}
}
