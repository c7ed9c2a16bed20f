package server

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/reply"
)

// maxResponseBytes is the maximum size of a response body of a plain service.
const maxResponseBytes = 4 << 20

// Request is a request to a plain service.
type Request struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
	// IdempotencyKey is empty for a repeatable request.
	IdempotencyKey string
}

// Response is the complete response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainService is a client of a plain service.
type PlainService interface {
	// Do sends a request, at most once if it has an idempotency key. Its error is a *NotSentError or an *ExchangeError; an
	// error status of the response is not an error.
	Do(ctx context.Context, rq Request) (Response, error)
	// Ping returns an error if the service does not respond.
	Ping(ctx context.Context) error
}

// HTTPPlainService is a PlainService with an HTTP API.
type HTTPPlainService struct {
	baseURL string
	// atMostOnce sends the requests that must not be repeated, each on a new connection: net/http itself retries a
	// request with an Idempotency-Key header when a reused connection breaks, and the service may not know the key.
	atMostOnce *http.Client
	// repeatable sends all other requests, over reused connections.
	repeatable *http.Client
}

// maxIdleConns is the maximum number of idle connections to the service.
const maxIdleConns = 64

// NewHTTPPlainService returns a client of the service at a base URL.
func NewHTTPPlainService(baseURL string) *HTTPPlainService {
	reusing := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute,
		MaxResponseHeaderBytes: reply.MaxHeaderBytes}
	single := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: reply.MaxHeaderBytes}
	return &HTTPPlainService{
		baseURL:    baseURL,
		atMostOnce: &http.Client{Transport: client.NewTransport(single), CheckRedirect: noRedirect},
		repeatable: &http.Client{Transport: client.NewTransport(reusing), CheckRedirect: noRedirect},
	}
}

// noRedirect makes the client return a redirect instead of following it, which would send the request to another URL.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do implements PlainService.
func (hps *HTTPPlainService) Do(ctx context.Context, rq Request) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, rq.Method, hps.baseURL+rq.Path, bytes.NewReader(rq.Body))
	if err != nil {
		return Response{}, &NotSentError{cause: fmt.Errorf("create request: %w", err)}
	}
	sender := hps.repeatable
	if rq.IdempotencyKey != "" {
		sender = hps.atMostOnce
		httpRequest.GetBody = nil
	}
	httpRequest.Header.Set("X-Request-Id", rq.RequestID)
	if rq.ContentType != "" {
		httpRequest.Header.Set("Content-Type", rq.ContentType)
	}
	if rq.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", rq.IdempotencyKey)
	}
	httpResponse, err := sender.Do(httpRequest)
	if err != nil {
		return Response{}, classifyError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, verdict, err := reply.Read(httpResponse, maxResponseBytes)
	if err != nil {
		return Response{}, &ExchangeError{cause: err}
	}
	if verdict == whole.Doubtful && whole.Settle(hps.life(ctx)) != whole.Whole {
		return Response{}, &ExchangeError{cause: reply.ErrIncomplete}
	}
	return Response{Status: httpResponse.StatusCode, ContentType: httpResponse.Header.Get("Content-Type"), Body: body}, nil
}

// life returns whether the service still runs. A response that is no success may be that of a proxy in front of it.
func (hps *HTTPPlainService) life(ctx context.Context) whole.Life {
	if status, err := hps.checkHealth(ctx); err != nil || status/100 != 2 {
		return whole.Unknown{}
	}
	return whole.Running{}
}

// pingTimeout is the timeout of Ping.
const pingTimeout = time.Second

// Ping implements PlainService.
func (hps *HTTPPlainService) Ping(ctx context.Context) error {
	_, err := hps.checkHealth(ctx)
	return err
}

// checkHealth returns the status of a health check.
func (hps *HTTPPlainService) checkHealth(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, hps.baseURL+"/healthz", nil)
	if err != nil {
		return 0, fmt.Errorf("ping backend server: %w", err)
	}
	httpResponse, err := hps.repeatable.Do(httpRequest)
	if err != nil {
		return 0, fmt.Errorf("ping backend server: %w", err)
	}
	return httpResponse.StatusCode, httpResponse.Body.Close()
}
