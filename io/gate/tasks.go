package gate

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// tasks are the calls that a part of the gate makes in the background. Handlers may still want to start one while the gate ends, when nothing may be
// added to what it waits for.
type tasks struct {
	running conc.WaitGroup

	// mu guards isClosed.
	mu       sync.Mutex
	isClosed bool
}

// start runs fn in the background and returns true, or returns false once the tasks are closed.
func (ts *tasks) start(fn func()) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.isClosed {
		return false
	}
	ts.running.Go(fn)
	return true
}

// close waits for the running tasks; later ones are not started.
func (ts *tasks) close() {
	ts.mu.Lock()
	ts.isClosed = true
	ts.mu.Unlock()
	ts.running.Wait()
}
