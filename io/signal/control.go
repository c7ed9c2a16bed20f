package signal

import (
	"context"
	"os"
	"os/signal"
	"sync"
)

// maxHeld bounds the reports that wait for a subscriber.
const maxHeld = 16

// The caught signals by their actions. A signal is dropped while another one waits in its channel, so that stop signals have their own: no series of
// others hides one. Nothing receives from discarded, since catching SIGPIPE suffices to make writes fail instead.
var (
	stops     = make(chan os.Signal, 1)
	ignored   = make(chan os.Signal, 1)
	discarded = make(chan os.Signal, 1)
)

// catch takes over the signals of a serving process. Nothing gives them back.
var catch = sync.OnceFunc(func() {
	for sig, action := range actions {
		switch action.(type) {
		case Stop:
			signal.Notify(stops, sig)
		case Ignore:
			signal.Notify(ignored, sig)
		case Discard:
			signal.Notify(discarded, sig)
		}
	}
})

// Packages that import little are initialized first, so that signals are caught before most of the program starts.
func init() {
	if len(os.Args) > 1 && IsServing(os.Args[1]) {
		catch()
	}
}

// Report is a signal that the process received.
type Report struct {
	signal os.Signal
	begins bool
}

// Signal returns the signal.
func (rp Report) Signal() os.Signal { return rp.signal }

// BeginsStop reports whether the signal begins the graceful stop.
func (rp Report) BeginsStop() bool { return rp.begins }

// Control takes the signals of a serving process.
type Control struct {
	ctx  context.Context
	stop context.CancelFunc
	end  chan struct{}
	done chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// report is the subscriber, or nil; held are the reports that wait for one.
	report func(Report)
	held   []Report
}

// Start begins to take signals, those caught since the start of the process first. The caller must call Close.
func Start() *Control {
	catch()
	ct := &Control{end: make(chan struct{}), done: make(chan struct{})}
	ct.ctx, ct.stop = context.WithCancel(context.Background())
	go ct.run()
	return ct
}

// Context returns a context that is done once a signal has begun the graceful stop.
func (ct *Control) Context() context.Context { return ct.ctx }

// Done returns a channel that is closed when the control has ended.
func (ct *Control) Done() <-chan struct{} { return ct.done }

// Close ends the reports and the context. Signals stay caught, since the process still has to end.
func (ct *Control) Close() {
	close(ct.end)
	<-ct.done
	ct.stop()
}

// Subscribe lets fn get all reports, also those of signals that came before. Calls do not overlap; fn must not block.
func (ct *Control) Subscribe(fn func(Report)) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.report = fn
	for _, rp := range ct.held {
		fn(rp)
	}
	ct.held = nil
}

func (ct *Control) run() {
	defer close(ct.done)
	for {
		var rp Report
		select {
		case <-ct.end:
			return
		case sig := <-stops:
			rp = Report{signal: sig, begins: ct.ctx.Err() == nil}
		case sig := <-ignored:
			rp = Report{signal: sig}
		}
		ct.tell(rp)
		if rp.begins {
			ct.stop()
		}
	}
}

// tell passes a report to the subscriber, or holds it.
func (ct *Control) tell(rp Report) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	switch {
	case ct.report != nil:
		ct.report(rp)
	case len(ct.held) < maxHeld:
		ct.held = append(ct.held, rp)
	}
}
