package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"shallotcleat/core/answer"
	"shallotcleat/core/config"
	"shallotcleat/core/memory"
	"shallotcleat/io/intake"
	"shallotcleat/io/trace"
)

// request is an authenticated request of a caller. It runs under the configuration in force when it was received, unless
// adoptSnapshot moves it to a newer one.
type request struct {
	id         string
	snapshot   *config.Snapshot
	workspace  config.Workspace
	receivedAt time.Time
	deadline   time.Time
	// body is the body, whose memory belongs to bodyClaim.
	body      []byte
	bodyClaim *memory.Claim
	// mayHaveRun is set if the outcome of an attempt is unknown.
	mayHaveRun bool
}

// recordOutcome records whether an attempt that ended with an error may have run.
func (rq *request) recordOutcome(er *answer.Error) {
	rq.mayHaveRun = rq.mayHaveRun || er.Outcome() == answer.Unknown
}

// finalError returns the error to report to the caller: if an earlier attempt may have run, the outcome is unknown even if the last
// attempt was refused.
func (rq *request) finalError(er *answer.Error) *answer.Error {
	if er == nil || !rq.mayHaveRun || er.Outcome() != answer.NotRun {
		return er
	}
	return answer.NewError(er.Code(), answer.Unknown, er.RetryAfter(), "%s", er.Message())
}

// handler serves an authenticated request. It writes the response, or returns an error and writes nothing.
type handler func(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request, pr httprouter.Params) *answer.Error

func (en *Entry) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/completions", en.withRequest(en.serveModel))
	router.POST("/v1/chat/completions", en.withRequest(en.serveModel))
	router.GET("/v1/streams", en.withRequest(en.serveResume))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:service/*path", en.withRequest(en.servePlain))
	}
	router.GET("/healthz", func(wr http.ResponseWriter, _ *http.Request, _ httprouter.Params) {})
	router.GET("/readyz", en.serveReady)
	return router
}

func (en *Entry) serveReady(wr http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if en.stopping.Load() {
		http.Error(wr, "leaving", http.StatusServiceUnavailable)
		return
	}
	if en.board.Snapshot() == nil {
		http.Error(wr, "no configuration yet", http.StatusServiceUnavailable)
	}
}

// withRequest returns a handle that authenticates a request, calls next with a context that ends at the request's deadline, and
// writes the error of either.
func (en *Entry) withRequest(next handler) httprouter.Handle {
	return func(wr http.ResponseWriter, hr *http.Request, pr httprouter.Params) {
		rq, er := en.newRequest(wr, hr)
		defer rq.release()
		if er == nil {
			ctx, cancel := context.WithDeadline(hr.Context(), rq.deadline)
			defer cancel()
			er = next(ctx, rq, wr, hr, pr)
		}
		if er != nil {
			en.writeError(wr, rq, er)
		}
	}
}

// newRequest authenticates a request and reads its body. The returned request is never nil and always has an id, also with an
// error.
func (en *Entry) newRequest(wr http.ResponseWriter, hr *http.Request) (*request, *answer.Error) {
	now := time.Now()
	rq := &request{id: uuid.Must(uuid.NewV7()).String(), receivedAt: now, deadline: now.Add(time.Minute)}
	wr.Header().Set("X-Request-Id", rq.id)
	intake.CloseAfterOldRequest(wr, hr)
	rq.snapshot = en.board.Snapshot()
	if rq.snapshot == nil {
		return rq, answer.NewError(answer.NotConfigured, answer.NotRun, time.Second, "the entry has no configuration yet")
	}
	key, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return rq, answer.NewError(answer.Unauthorized, answer.NotRun, 0, "missing header Authorization: Bearer KEY")
	}
	if rq.workspace, ok = rq.snapshot.Authenticate(key); !ok {
		return rq, answer.NewError(answer.Unauthorized, answer.NotRun, 0, "no workspace has this API key")
	}
	rq.deadline = now.Add(rq.snapshot.Preset().Timeout())
	en.rec.RecordEvent(rq.id, trace.RequestReceived, "workspace", rq.workspace.Name(), "path", hr.URL.Path, "method", hr.Method,
		"epoch", strconv.FormatUint(rq.snapshot.Epoch(), 10), "preset", rq.snapshot.Preset().Name())
	data, err := intake.ReadBody(en.memory, wr, hr, en.opts.MaxBodyBytes)
	rq.bodyClaim = data.Claim()
	if err == nil {
		rq.body, err = data.Join()
	}
	if err == nil {
		err = rq.bodyClaim.Grow(time.Now(), int64(bodyCopies*len(rq.body)))
	}
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return rq, answer.NewError(answer.BodyTooLarge, answer.NotRun, 0,
			"the request body exceeds the limit of %d bytes", en.opts.MaxBodyBytes)
	case errors.Is(err, memory.ErrShort):
		return rq, answer.NewError(answer.MemoryShort, answer.NotRun, time.Second, "read request body: %v", err)
	case err != nil:
		return rq, answer.NewError(answer.BadRequest, answer.NotRun, 0, "read request body: %v", err)
	}
	return rq, nil
}

// bodyCopies is the number of further copies of a body that count as memory held: its prompt, and the message to the agent.
const bodyCopies = 1

// release frees the memory that the request holds.
func (rq *request) release() {
	if rq.bodyClaim != nil {
		rq.bodyClaim.Close()
	}
}

// errorResponse is the JSON encoding of an error.
type errorResponse struct {
	Error errorJSON `json:"error"`
}

type errorJSON struct {
	Code      answer.Code    `json:"code"`
	Message   string         `json:"message"`
	Outcome   answer.Outcome `json:"outcome"`
	RequestID string         `json:"request_id"`
}

func newErrorResponse(rq *request, er *answer.Error) errorResponse {
	return errorResponse{Error: errorJSON{Code: er.Code(), Message: er.Message(), Outcome: er.Outcome(), RequestID: rq.id}}
}

// httpStatuses are the HTTP status codes of error codes; all other error codes are reported as 503.
var httpStatuses = map[answer.Code]int{
	answer.BadRequest:             http.StatusBadRequest,
	answer.IdempotencyKeyRequired: http.StatusBadRequest,
	answer.Unauthorized:           http.StatusUnauthorized,
	answer.NotFound:               http.StatusNotFound,
	answer.IdempotencyKeyReused:   http.StatusUnprocessableEntity,
	answer.BodyTooLarge:           http.StatusRequestEntityTooLarge,
	answer.Overloaded:             http.StatusTooManyRequests,
	answer.DeadlineExceeded:       http.StatusGatewayTimeout,
	answer.ServerFailed:           http.StatusBadGateway,
	answer.NotResumable:           http.StatusGone,
	answer.StreamBroken:           http.StatusBadGateway,
	answer.NotConfigured:          http.StatusServiceUnavailable,
}

func (en *Entry) writeError(wr http.ResponseWriter, rq *request, er *answer.Error) {
	status, ok := httpStatuses[er.Code()]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if er.RetryAfter() > 0 {
		seconds := int((er.RetryAfter() + time.Second - 1) / time.Second)
		wr.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	wr.Header().Set("X-Outcome", string(er.Outcome()))
	writeJSON(wr, status, newErrorResponse(rq, er))
	en.rec.CountRefusal(string(er.Code()))
	en.recordResponse(rq, string(er.Outcome()), "code", string(er.Code()), "message", er.Message())
}

func (en *Entry) recordResponse(rq *request, outcome string, fields ...string) {
	en.rec.CountAnswer(outcome)
	fields = append(fields, "outcome", outcome, "elapsed", time.Since(rq.receivedAt).String())
	en.rec.RecordEvent(rq.id, trace.RequestAnswered, fields...)
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}
