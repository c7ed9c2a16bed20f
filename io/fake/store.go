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

// ObjectStore is an object store in memory.
type ObjectStore struct {
	// mu guards the fields below.
	mu     sync.Mutex
	values map[string][]byte
	down   bool
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{values: make(map[string][]byte)} }

// SetDown makes the store fail all calls, or serve again.
func (ob *ObjectStore) SetDown(down bool) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.down = down
}

// ServeHTTP serves the protocol of package object.
func (ob *ObjectStore) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	name := strings.TrimPrefix(rq.URL.Path, "/objects/")
	value, err := io.ReadAll(rq.Body)
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.down || err != nil {
		http.Error(wr, "down", http.StatusServiceUnavailable)
		return
	}
	if rq.Method == http.MethodPut {
		ob.values[name] = value
		return
	}
	if name == "" {
		writeJSON(wr, http.StatusOK, namesWith(ob.values, rq.URL.Query().Get("prefix")))
		return
	}
	stored, ok := ob.values[name]
	if !ok {
		http.NotFound(wr, rq)
		return
	}
	_, _ = wr.Write(stored)
}

// namesWith returns the sorted names that begin with a prefix.
func namesWith(values map[string][]byte, prefix string) []string {
	names := slices.Sorted(maps.Keys(values))
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, prefix) })
}

// VMList is the platform's list of VMs.
type VMList struct {
	// mu guards the list.
	mu      sync.Mutex
	list    []vmlist.VM
	version int
}

// Set replaces the list.
func (vs *VMList) Set(list []vmlist.VM) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	vs.list = list
	vs.version++
}

// ServeHTTP serves the protocol of package vmlist.
func (vs *VMList) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	vs.mu.Lock()
	list, tag := vs.list, fmt.Sprintf("%q", strconv.Itoa(vs.version))
	vs.mu.Unlock()
	wr.Header().Set("ETag", tag)
	if rq.Header.Get("If-None-Match") == tag {
		wr.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(wr, http.StatusOK, list)
}
