package object

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/reply"
)

// callTimeout bounds one call.
const callTimeout = 2 * time.Second

// maxObjectBytes bounds one object in bytes.
const maxObjectBytes = 64 << 20

// Store stores immutable objects.
type Store interface {
	// Put stores an object. Storing the same value under the same name again is allowed.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns the value of an object. It fails with a *NotFoundError if the object does not exist, and with an *IncompleteError if it may be
	// incomplete.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	name string
}

// Error returns a message with the name of the object.
func (ne *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", ne.name) }

// IncompleteError reports that an object was received, but may be incomplete, since it has no length and its store no longer responds.
type IncompleteError struct {
	name     string
	received []byte
}

// Error returns a message with the name of the object.
func (ie *IncompleteError) Error() string {
	return fmt.Sprintf("object %q: %v", ie.name, reply.ErrIncomplete)
}

// Unwrap returns reply.ErrIncomplete.
func (ie *IncompleteError) Unwrap() error { return reply.ErrIncomplete }

// Received returns what was received, for callers that know how the whole object looks.
func (ie *IncompleteError) Received() []byte { return ie.received }

// HTTP is a Store that calls the object store with PUT and GET requests.
type HTTP struct {
	base   string
	client *http.Client
	// maxBytes is the maximum size of an object that Get returns.
	maxBytes int64
}

// NewHTTP returns a client of the object store at the base URL.
func NewHTTP(base string) *HTTP {
	transport := client.NewTransport(&http.Transport{MaxResponseHeaderBytes: reply.MaxHeaderBytes})
	return &HTTP{base: base, client: &http.Client{Timeout: callTimeout, Transport: transport}, maxBytes: maxObjectBytes}
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
	value, verdict, err := reply.Read(rs, ht.maxBytes)
	if err == nil && verdict == whole.Doubtful && whole.Settle(ht.life(ctx, name)) != whole.Whole {
		err = &IncompleteError{name: name, received: value}
	}
	if err != nil {
		return nil, fmt.Errorf("get object %q: %w", name, err)
	}
	return value, nil
}

// life returns whether the object store still runs after it sent an object with the given name.
func (ht *HTTP) life(ctx context.Context, name string) whole.Life {
	if _, err := ht.List(ctx, name); err != nil {
		return whole.Unknown{}
	}
	return whole.Running{}
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
	if _, err := reply.Decode(rs, maxObjectBytes, &names); err != nil {
		return nil, fmt.Errorf("list objects: %w", err)
	}
	return names, nil
}

func (ht *HTTP) call(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, ht.base+"/objects/"+path, body)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	rs, err := ht.client.Do(rq)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return rs, nil
}
