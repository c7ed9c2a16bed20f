package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"shallotcleat/core/answer"
	"shallotcleat/core/config"
	"shallotcleat/io/trace"
)

// request is one call of a caller after the checks at the edge; it keeps the one configuration that it began with.
type request struct {
	id        string
	snapshot  *config.Snapshot
	workspace config.Workspace
	arrived   time.Time
	deadline  time.Time
	body      []byte
	// mayHaveRun is set when a sending ended without a word on whether it ran.
	mayHaveRun bool
}

// note keeps in mind that a sending which ended with an error may have run.
func (rq *request) note(er *answer.Error) {
	rq.mayHaveRun = rq.mayHaveRun || er.Outcome() == answer.Unknown
}

// finalError returns the error that the caller may be told: a last refusal is no proof that nothing ran, if an earlier sending
// of the same request may have.
func (rq *request) finalError(er *answer.Error) *answer.Error {
	if er == nil || !rq.mayHaveRun || er.Outcome() != answer.NotRun {
		return er
	}
	return answer.NewError(er.Code(), answer.Unknown, er.RetryAfter(), "%s", er.Message())
}

// handle serves a request whose caller is known.
type handle func(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request, pr httprouter.Params) *answer.Error

func (en *Entry) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/completions", en.guard(en.serveModel))
	router.POST("/v1/chat/completions", en.guard(en.serveModel))
	router.GET("/v1/streams", en.guard(en.serveResume))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:service/*path", en.guard(en.servePlain))
	}
	router.GET("/healthz", func(wr http.ResponseWriter, _ *http.Request, _ httprouter.Params) {})
	router.GET("/readyz", en.serveReady)
	return router
}

func (en *Entry) serveReady(wr http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if en.leaving.Load() {
		http.Error(wr, "leaving", http.StatusServiceUnavailable)
		return
	}
	if en.board.Snapshot() == nil {
		http.Error(wr, "no configuration yet", http.StatusServiceUnavailable)
	}
}

// guard checks a request at the edge and answers its error if it has one.
func (en *Entry) guard(next handle) httprouter.Handle {
	return func(wr http.ResponseWriter, hr *http.Request, pr httprouter.Params) {
		rq, er := en.admit(wr, hr)
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

// admit returns the request with an id in any case, and the reason why it may not go on, or nil.
func (en *Entry) admit(wr http.ResponseWriter, hr *http.Request) (*request, *answer.Error) {
	now := time.Now()
	rq := &request{id: uuid.Must(uuid.NewV7()).String(), arrived: now, deadline: now.Add(time.Minute)}
	wr.Header().Set("X-Request-Id", rq.id)
	rq.snapshot = en.board.Snapshot()
	if rq.snapshot == nil {
		return rq, answer.NewError(answer.NotConfigured, answer.NotRun, time.Second, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return rq, answer.NewError(answer.Unauthorized, answer.NotRun, 0, "the header Authorization: Bearer KEY is missing")
	}
	if rq.workspace, ok = rq.snapshot.Authenticate(key); !ok {
		return rq, answer.NewError(answer.Unauthorized, answer.NotRun, 0, "no workspace has this key")
	}
	rq.deadline = now.Add(rq.snapshot.Preset().Timeout())
	en.rec.RecordEvent(rq.id, trace.RequestReceived, "workspace", rq.workspace.Name(), "path", hr.URL.Path, "method", hr.Method,
		"epoch", strconv.FormatUint(rq.snapshot.Epoch(), 10), "preset", rq.snapshot.Preset().Name())
	body, err := io.ReadAll(http.MaxBytesReader(wr, hr.Body, en.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rq, answer.NewError(answer.BodyTooLarge, answer.NotRun, 0, "the body has more than %d bytes", en.opts.MaxBodyBytes)
	case err != nil:
		return rq, answer.NewError(answer.BadRequest, answer.NotRun, 0, "the body can't be read: %v", err)
	}
	rq.body = body
	return rq, nil
}

// errorBody is the JSON of an error.
type errorBody struct {
	Error errorShape `json:"error"`
}

type errorShape struct {
	Code      answer.Code    `json:"code"`
	Message   string         `json:"message"`
	Outcome   answer.Outcome `json:"outcome"`
	RequestID string         `json:"request_id"`
}

func errorOf(rq *request, er *answer.Error) errorBody {
	return errorBody{Error: errorShape{Code: er.Code(), Message: er.Message(), Outcome: er.Outcome(), RequestID: rq.id}}
}

// statuses are the HTTP statuses of errors; all other codes are 503.
var statuses = map[answer.Code]int{
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
	status, ok := statuses[er.Code()]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if er.RetryAfter() > 0 {
		seconds := int((er.RetryAfter() + time.Second - 1) / time.Second)
		wr.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	wr.Header().Set("X-Outcome", string(er.Outcome()))
	writeJSON(wr, status, errorOf(rq, er))
	en.rec.CountRefusal(string(er.Code()))
	en.noteAnswer(rq, string(er.Outcome()), "code", string(er.Code()), "message", er.Message())
}

func (en *Entry) noteAnswer(rq *request, outcome string, fields ...string) {
	en.rec.CountAnswer(outcome)
	fields = append(fields, "outcome", outcome, "elapsed", time.Since(rq.arrived).String())
	en.rec.RecordEvent(rq.id, trace.RequestAnswered, fields...)
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}
