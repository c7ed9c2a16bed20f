package watch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"shallotcleat/core/clock"
	"shallotcleat/core/config"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
)

// Costs of the VM list.
const (
	// pollPeriod is the time between two reads of the list.
	pollPeriod = time.Second
	// initialReadTimeout bounds the read at a process's start.
	initialReadTimeout = 300 * time.Millisecond
	// maxBytesPerSecond is how many bytes a second all reads together may take; after a long list the next reads are left out.
	maxBytesPerSecond = 2000
)

// VMPoller keeps the latest list of VMs that the platform gave.
type VMPoller struct {
	lister vmlist.Lister
	rec    *trace.Recorder
	latest atomic.Pointer[[]vmlist.VM]
	notify func()
	// untilNextRead is how long the last answer has to last; Read is not called beside itself.
	untilNextRead time.Duration
	clock         clock.Service
	done          chan struct{}
}

// NewVMPoller returns a reader of the list that begins with seeds from the settings; notify is called after each read.
func NewVMPoller(lister vmlist.Lister, seeds []vmlist.VM, rec *trace.Recorder, ck clock.Service, notify func()) *VMPoller {
	vp := &VMPoller{lister: lister, rec: rec, clock: ck, notify: notify, done: make(chan struct{})}
	vp.latest.Store(&seeds)
	return vp
}

// Latest returns the VMs of the last successful read; the slice must not be changed.
func (vp *VMPoller) Latest() []vmlist.VM { return *vp.latest.Load() }

// Exists reports whether a VM exists: the platform lists its process's address, or an operator has added it. An agent that
// does not answer may come back as long as it is shown.
func (vp *VMPoller) Exists(address string, sn *config.Snapshot) bool {
	if slices.ContainsFunc(vp.Latest(), func(vm vmlist.VM) bool { return vm.Address == address }) {
		return true
	}
	return sn != nil && slices.ContainsFunc(sn.Head().Added(), func(as config.AddedServer) bool { return as.Address() == address })
}

// Done is closed when Run has ended.
func (vp *VMPoller) Done() <-chan struct{} { return vp.done }

// Read asks for the list once; an answer without VMs is not believed, since the list itself may fail.
func (vp *VMPoller) Read(ctx context.Context) {
	resp, err := vp.lister.List(ctx)
	if err != nil {
		vp.rec.Log().WithError(err).Debug("the VM list does not answer")
		return
	}
	vp.rec.CountControlBytes(resp.Size)
	vp.untilNextRead = time.Duration(resp.Size) * time.Second / maxBytesPerSecond
	if !resp.Changed || len(resp.VMs) == 0 {
		return
	}
	vp.latest.Store(&resp.VMs)
	vp.notify()
}

// ReadInitial reads the list at a process's start, which a list that hangs holds up for a short time only.
func (vp *VMPoller) ReadInitial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	vp.Read(ctx)
}

// poll reads the list unless the last answer was so long that it has to last for some more periods.
func (vp *VMPoller) poll(ctx context.Context) {
	vp.untilNextRead -= pollPeriod
	if vp.untilNextRead <= 0 {
		vp.Read(ctx)
	}
}

// Run reads the list until the context ends.
func (vp *VMPoller) Run(ctx context.Context) {
	defer close(vp.done)
	defer vp.clock.Every(pollPeriod, func() { vp.poll(ctx) })()
	<-ctx.Done()
}
