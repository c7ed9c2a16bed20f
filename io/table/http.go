package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

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
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: reply.MaxHeaderBytes}
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
	return resp.Versions, nil
}

// Read implements Store.
func (ht *HTTP) Read(ctx context.Context, keys []string) ([]Cell, error) {
	var resp CellsResponse
	if err := ht.call(ctx, "/read", ReadRequest{Keys: keys}, &resp); err != nil {
		return nil, fmt.Errorf("read %d keys: %w", len(keys), err)
	}
	return resp.Cells, nil
}

// Scan implements Store.
func (ht *HTTP) Scan(ctx context.Context, prefix string, limit int) ([]Cell, error) {
	var resp CellsResponse
	if err := ht.call(ctx, "/scan", ScanRequest{Prefix: prefix, Limit: limit}, &resp); err != nil {
		return nil, fmt.Errorf("scan %q: %w", prefix, err)
	}
	return resp.Cells, nil
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
		var cells CellsResponse
		if _, err := reply.Decode(rs, maxResponseBytes, &cells); err != nil {
			return &UnavailableError{cause: err}
		}
		return NewConflictError(cells.Cells)
	}
	return &UnavailableError{cause: errors.New(rs.Status)}
}
