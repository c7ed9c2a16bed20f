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

// Call is one call of a plain service.
type Call struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	RequestID      string
	IdempotencyKey string
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Plain is a plain service.
type Plain interface {
	// Do makes one call; it fails with an *UnreachedError or a *BrokenError, and it never sends a call twice.
	Do(ctx context.Context, call Call) (Reply, error)
	// Ping reports whether the service answers.
	Ping(ctx context.Context) error
}

// HTTPPlain is a Plain behind HTTP.
type HTTPPlain struct {
	base string
	// once makes calls that may not be repeated, each on a connection of its own: net/http sends a call with an
	// Idempotency-Key header again by itself when a reused connection breaks, and the service may not know the key.
	once *http.Client
	// repeatable makes all other calls, on connections that are kept.
	repeatable *http.Client
}

// idlePerServer bounds the kept connections to a service.
const idlePerServer = 64

// NewHTTPPlain returns the client of the service at a base URL.
func NewHTTPPlain(base string) *HTTPPlain {
	kept := &http.Transport{MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: time.Minute}
	return &HTTPPlain{
		base:       base,
		once:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: noRedirect},
		repeatable: &http.Client{Transport: kept, CheckRedirect: noRedirect},
	}
}

// noRedirect keeps the client from sending a call to a second place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do implements Plain.
func (hp *HTTPPlain) Do(ctx context.Context, call Call) (Reply, error) {
	rq, err := http.NewRequestWithContext(ctx, call.Method, hp.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, &UnreachedError{cause: fmt.Errorf("make request: %w", err)}
	}
	client := hp.repeatable
	if call.IdempotencyKey != "" {
		client = hp.once
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
		return Reply{}, callError(err)
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rs.Body, answerLimit+1))
	if err != nil {
		return Reply{}, &BrokenError{cause: err}
	}
	if len(body) > answerLimit {
		return Reply{}, &BrokenError{cause: fmt.Errorf("the answer has more than %d bytes", answerLimit)}
	}
	return Reply{Status: rs.StatusCode, ContentType: rs.Header.Get("Content-Type"), Body: body}, nil
}

// pingTimeout bounds the check that a service answers.
const pingTimeout = time.Second

// Ping implements Plain.
func (hp *HTTPPlain) Ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, hp.base+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	rs, err := hp.repeatable.Do(rq)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	return rs.Body.Close()
}
