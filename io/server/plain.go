package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answerLimit bounds the answer of a plain service in bytes.
const answerLimit = 4 << 20

// Request is one call of a plain service.
type Request struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	RequestID      string
	IdempotencyKey string
}

// Response is the whole answer of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainService is a plain service.
type PlainService interface {
	// Do makes one call; it fails with an *NotSentError or a *ExchangeError, and it never sends a call twice.
	Do(ctx context.Context, call Request) (Response, error)
	// Ping reports whether the service answers.
	Ping(ctx context.Context) error
}

// HTTPPlainService is a PlainService behind HTTP.
type HTTPPlainService struct {
	base string
	// once makes calls that may not be repeated, each on a connection of its own: net/http sends a call with an
	// Idempotency-Key header again by itself when a reused connection breaks, and the service may not know the key.
	once *http.Client
	// repeatable makes all other calls, on connections that are kept.
	repeatable *http.Client
}

// idlePerServer bounds the kept connections to a service.
const idlePerServer = 64

// NewHTTPPlainService returns the client of the service at a base URL.
func NewHTTPPlainService(base string) *HTTPPlainService {
	kept := &http.Transport{MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: time.Minute}
	return &HTTPPlainService{
		base:       base,
		once:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: noRedirect},
		repeatable: &http.Client{Transport: kept, CheckRedirect: noRedirect},
	}
}

// noRedirect keeps the client from sending a call to a second place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do implements PlainService.
func (hps *HTTPPlainService) Do(ctx context.Context, call Request) (Response, error) {
	rq, err := http.NewRequestWithContext(ctx, call.Method, hps.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, &NotSentError{cause: fmt.Errorf("make request: %w", err)}
	}
	client := hps.repeatable
	if call.IdempotencyKey != "" {
		client = hps.once
		rq.GetBody = nil
	}
	rq.Header.Set("X-Request-Id", call.RequestID)
	if call.ContentType != "" {
		rq.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		rq.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return Response{}, callError(err)
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rs.Body, answerLimit+1))
	if err != nil {
		return Response{}, &ExchangeError{cause: err}
	}
	if len(body) > answerLimit {
		return Response{}, &ExchangeError{cause: fmt.Errorf("the answer has more than %d bytes", answerLimit)}
	}
	return Response{Status: rs.StatusCode, ContentType: rs.Header.Get("Content-Type"), Body: body}, nil
}

// pingTimeout bounds the check that a service answers.
const pingTimeout = time.Second

// Ping implements PlainService.
func (hps *HTTPPlainService) Ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, hps.base+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	rs, err := hps.repeatable.Do(rq)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	return rs.Body.Close()
}
