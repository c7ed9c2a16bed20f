package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// callTimeout bounds one call.
const callTimeout = 2 * time.Second

// maxSize bounds a list in bytes.
const maxListBytes = 16 << 20

// Role tells what runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one machine as the platform lists it.
type VM struct {
	// Address is the host and port of the process of the system on the VM.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    Role   `json:"role"`
	// Service is the service of the backend server on the VM; it is empty for entries.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Answer is one answer of the platform.
type Response struct {
	// VMs is the list; it is empty if it has not changed.
	VMs []VM
	// Changed tells whether the list differs from the last one that this client got.
	Changed bool
	// Size is the length of the answer in bytes.
	Size int
}

// List returns the VMs as the platform sees them.
type Lister interface {
	List(ctx context.Context) (Response, error)
}

// HTTP is a List behind GET /vms. It sends the entity tag of the last list, so that a platform that knows tags answers an
// unchanged list with a few bytes.
type HTTP struct {
	base   string
	client *http.Client

	// mu guards the tag.
	mu   sync.Mutex
	etag string
}

// NewHTTP returns the client of the list at a base URL.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// VMs implements List.
func (ht *HTTP) List(ctx context.Context) (Response, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, ht.base+"/vms", nil)
	if err != nil {
		return Response{}, fmt.Errorf("list VMs: %w", err)
	}
	ht.mu.Lock()
	defer ht.mu.Unlock()
	if ht.etag != "" {
		rq.Header.Set("If-None-Match", ht.etag)
	}
	rs, err := ht.client.Do(rq)
	if err != nil {
		return Response{}, fmt.Errorf("list VMs: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	switch rs.StatusCode {
	case http.StatusNotModified:
		return Response{}, nil
	case http.StatusOK:
	default:
		return Response{}, fmt.Errorf("list VMs: %s", rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxListBytes))
	if err != nil {
		return Response{}, fmt.Errorf("list VMs: %w", err)
	}
	resp := Response{Changed: true, Size: len(data)}
	if err := json.Unmarshal(data, &resp.VMs); err != nil {
		return Response{}, fmt.Errorf("list VMs: decode: %w", err)
	}
	ht.etag = rs.Header.Get("ETag")
	return resp, nil
}
