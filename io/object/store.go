package object

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// callTimeout bounds one call.
const callTimeout = 2 * time.Second

// maxSize bounds one object in bytes.
const maxObjectBytes = 64 << 20

// Store keeps immutable objects.
type Store interface {
	// Put stores an object; storing the same one again does no harm.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns an object, or a *MissingError if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the sorted names that begin with a prefix.
	List(ctx context.Context, prefix string) ([]string, error)
}

// MissingError says that there is no object with a name.
type NotFoundError struct {
	name string
}

// Error returns the missing object's name.
func (ne *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", ne.name) }

// HTTP is a Store behind PUT and GET.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns the client of the object store at a base URL.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// Put implements Store.
func (ht *HTTP) Put(ctx context.Context, name string, value []byte) error {
	rs, err := ht.call(ctx, http.MethodPut, url.PathEscape(name), bytes.NewReader(value))
	if err != nil {
		return fmt.Errorf("put object %q: %w", name, err)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("put object %q: %s", name, rs.Status)
	}
	return nil
}

// Get implements Store.
func (ht *HTTP) Get(ctx context.Context, name string) ([]byte, error) {
	rs, err := ht.call(ctx, http.MethodGet, url.PathEscape(name), nil)
	if err != nil {
		return nil, fmt.Errorf("get object %q: %w", name, err)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode == http.StatusNotFound {
		return nil, &NotFoundError{name: name}
	}
	if rs.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get object %q: %s", name, rs.Status)
	}
	value, err := io.ReadAll(io.LimitReader(rs.Body, maxObjectBytes))
	if err != nil {
		return nil, fmt.Errorf("get object %q: %w", name, err)
	}
	return value, nil
}

// List implements Store.
func (ht *HTTP) List(ctx context.Context, prefix string) ([]string, error) {
	rs, err := ht.call(ctx, http.MethodGet, "?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, fmt.Errorf("list objects: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list objects: %s", rs.Status)
	}
	var names []string
	if err := json.NewDecoder(rs.Body).Decode(&names); err != nil {
		return nil, fmt.Errorf("list objects: decode: %w", err)
	}
	return names, nil
}

func (ht *HTTP) call(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, ht.base+"/objects/"+path, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	rs, err := ht.client.Do(rq)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	return rs, nil
}
