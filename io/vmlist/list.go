package vmlist

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotcleat/io/client"
	"shallotcleat/io/reply"
)

// callTimeout bounds one call.
const callTimeout = 2 * time.Second

// maxListBytes bounds a list in bytes.
const maxListBytes = 16 << 20

// Role is the kind of process that runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one machine as the platform lists it.
type VM struct {
	// Address is the host and port of the entry or agent on the VM.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    Role   `json:"role"`
	// Service is the service of the backend server on the VM; it is empty for entries.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Response is the result of one request for the list.
type Response struct {
	// VMs is the list; it is empty if Changed is false.
	VMs []VM
	// Changed reports whether the list differs from the last one that this client received.
	Changed bool
	// Size is the length of the response body in bytes.
	Size int
}

// Lister returns the platform's current list of VMs.
type Lister interface {
	List(ctx context.Context) (Response, error)
}

// HTTP is a Lister that calls GET /vms. It sends the entity tag of the last list, so that a platform that supports tags can
// respond to a request for an unchanged list with a few bytes.
type HTTP struct {
	base   string
	client *http.Client

	// mu guards etag and is held during requests.
	mu   sync.Mutex
	etag string
}

// NewHTTP returns a client of the VM list at the base URL.
func NewHTTP(base string) *HTTP {
	transport := client.NewTransport(&http.Transport{MaxResponseHeaderBytes: reply.MaxHeaderBytes})
	return &HTTP{base: base, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// List implements Lister.
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
	resp := Response{Changed: true}
	if resp.Size, err = reply.Decode(rs, maxListBytes, &resp.VMs); err != nil {
		return Response{}, fmt.Errorf("list VMs: %w", err)
	}
	ht.etag = rs.Header.Get("ETag")
	return resp, nil
}
