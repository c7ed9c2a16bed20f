package fake

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"shallotcleat/io/vmlist"
)

// ObjectStore is an in-memory object store.
type ObjectStore struct {
	// mu guards the fields below.
	mu     sync.Mutex
	values map[string][]byte
	down   bool
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{values: make(map[string][]byte)} }

// SetDown sets whether the store fails all requests with status 503.
func (ost *ObjectStore) SetDown(down bool) {
	ost.mu.Lock()
	defer ost.mu.Unlock()
	ost.down = down
}

// ServeHTTP implements the protocol of package object.
func (ost *ObjectStore) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	name := strings.TrimPrefix(rq.URL.Path, "/objects/")
	value, err := io.ReadAll(rq.Body)
	ost.mu.Lock()
	defer ost.mu.Unlock()
	if ost.down || err != nil {
		http.Error(wr, "down", http.StatusServiceUnavailable)
		return
	}
	if rq.Method == http.MethodPut {
		ost.values[name] = value
		return
	}
	if name == "" {
		writeJSON(wr, http.StatusOK, namesWithPrefix(ost.values, rq.URL.Query().Get("prefix")))
		return
	}
	stored, ok := ost.values[name]
	if !ok {
		http.NotFound(wr, rq)
		return
	}
	_, _ = wr.Write(stored)
}

// namesWithPrefix returns the names that begin with a prefix, sorted.
func namesWithPrefix(values map[string][]byte, prefix string) []string {
	names := slices.Sorted(maps.Keys(values))
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, prefix) })
}

// VMList is a fake of the platform's list of VMs. The zero value is an empty list.
type VMList struct {
	// mu guards the fields below.
	mu      sync.Mutex
	list    []vmlist.VM
	version int
}

// Set replaces the list and changes its ETag. The caller must not modify the slice afterwards.
func (vl *VMList) Set(list []vmlist.VM) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.list = list
	vl.version++
}

// ServeHTTP implements the protocol of package vmlist.
func (vl *VMList) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	vl.mu.Lock()
	list, etag := vl.list, fmt.Sprintf("%q", strconv.Itoa(vl.version))
	vl.mu.Unlock()
	wr.Header().Set("ETag", etag)
	if rq.Header.Get("If-None-Match") == etag {
		wr.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(wr, http.StatusOK, list)
}
