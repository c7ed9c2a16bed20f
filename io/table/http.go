package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"shallotcleat/io/client"
	"shallotcleat/io/reply"
)

// callTimeout bounds one call. A slower table counts as unavailable, so that callers are refused without delay.
const callTimeout = 400 * time.Millisecond

// maxResponseBytes bounds a response body; a longer one is cut off and cannot be decoded.
const maxResponseBytes = 16 << 20

// HTTP is a Store that calls the table service with JSON over HTTP.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client of the table service at the base URL.
func NewHTTP(base string) *HTTP {
	transport := client.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: reply.MaxHeaderBytes})
	return &HTTP{base: base, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// CommitRequest is the body of POST /commit.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// CommitResponse is the body of a successful commit.
type CommitResponse struct {
	Versions []uint64 `json:"versions"`
}

// ReadRequest is the body of POST /read.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	Limit  int    `json:"limit"`
}

// CellsResponse is the body of a successful read or scan, and of a commit that fails with a conflict.
type CellsResponse struct {
	Cells []Cell `json:"cells"`
}

// Commit implements Store.
func (ht *HTTP) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	var resp CommitResponse
	if err := ht.call(ctx, "/commit", CommitRequest{Writes: writes}, &resp); err != nil {
		return nil, fmt.Errorf("commit %d writes: %w", len(writes), err)
	}
	if len(resp.Versions) != len(writes) {
		return nil, fmt.Errorf("commit %d writes: %w", len(writes), &UnavailableError{cause: fmt.Errorf("%w: %d versions", errIncomplete, len(resp.Versions))})
	}
	return resp.Versions, nil
}

// errIncomplete means that a response lacks what it must have. It says nothing about the table then.
var errIncomplete = errors.New("response of the table service is incomplete")

// cellsBody is a CellsResponse as it was received: Cells is nil if the response has none, not even an empty list.
type cellsBody struct {
	Cells json.RawMessage `json:"cells"`
}

// decode returns the cells.
func (cb cellsBody) decode() ([]Cell, error) {
	if cb.Cells == nil {
		return nil, &UnavailableError{cause: fmt.Errorf("%w: no cells", errIncomplete)}
	}
	var cells []Cell
	if err := json.Unmarshal(cb.Cells, &cells); err != nil {
		return nil, &UnavailableError{cause: fmt.Errorf("decode cells: %w", err)}
	}
	return cells, nil
}

// cells makes a call whose response holds cells.
func (ht *HTTP) cells(ctx context.Context, path string, body any) ([]Cell, error) {
	var received cellsBody
	if err := ht.call(ctx, path, body, &received); err != nil {
		return nil, err
	}
	return received.decode()
}

// Read implements Store.
func (ht *HTTP) Read(ctx context.Context, keys []string) ([]Cell, error) {
	cells, err := ht.cells(ctx, "/read", ReadRequest{Keys: keys})
	if err != nil {
		return nil, fmt.Errorf("read %d keys: %w", len(keys), err)
	}
	return cells, nil
}

// Scan implements Store.
func (ht *HTTP) Scan(ctx context.Context, prefix string, limit int) ([]Cell, error) {
	cells, err := ht.cells(ctx, "/scan", ScanRequest{Prefix: prefix, Limit: limit})
	if err != nil {
		return nil, fmt.Errorf("scan %q: %w", prefix, err)
	}
	return cells, nil
}

func (ht *HTTP) call(ctx context.Context, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, ht.base+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := ht.client.Do(rq)
	if err != nil {
		return &UnavailableError{cause: err}
	}
	defer func() { _ = rs.Body.Close() }()
	return decode(rs, out)
}

func decode(rs *http.Response, out any) error {
	switch rs.StatusCode {
	case http.StatusOK:
		if _, err := reply.Decode(rs, maxResponseBytes, out); err != nil {
			return &UnavailableError{cause: err}
		}
		return nil
	case http.StatusConflict:
		var received cellsBody
		if _, err := reply.Decode(rs, maxResponseBytes, &received); err != nil {
			return &UnavailableError{cause: err}
		}
		cells, err := received.decode()
		if err != nil {
			return err
		}
		return NewConflictError(cells)
	}
	return &UnavailableError{cause: errors.New(rs.Status)}
}
