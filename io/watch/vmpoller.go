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
	// listPeriod is the time between two reads of the list.
	listPeriod = time.Second
	// firstTimeout bounds the read at a process's start.
	firstTimeout = 300 * time.Millisecond
	// listBytes is how many bytes a second all reads together may take; after a long list the next reads are left out.
	listBytes = 2000
)

// VMs keeps the latest list of VMs that the platform gave.
type VMPoller struct {
	list   vmlist.Lister
	rec    *trace.Recorder
	latest atomic.Pointer[[]vmlist.VM]
	notify func()
	// rest is how long the last answer has to last; Read is not called beside itself.
	rest  time.Duration
	clock clock.Service
	done  chan struct{}
}

// NewVMs returns a reader of the list that begins with seeds from the settings; notify is called after each read.
func NewVMPoller(list vmlist.Lister, seeds []vmlist.VM, rec *trace.Recorder, ck clock.Service, notify func()) *VMPoller {
	vs := &VMPoller{list: list, rec: rec, clock: ck, notify: notify, done: make(chan struct{})}
	vs.latest.Store(&seeds)
	return vs
}

// Latest returns the VMs of the last successful read; the slice must not be changed.
func (vs *VMPoller) Latest() []vmlist.VM { return *vs.latest.Load() }

// Shows reports whether a VM exists: the platform lists its process's address, or an operator has added it. An agent that
// does not answer may come back as long as it is shown.
func (vs *VMPoller) Exists(address string, sn *config.Snapshot) bool {
	if slices.ContainsFunc(vs.Latest(), func(vm vmlist.VM) bool { return vm.Address == address }) {
		return true
	}
	return sn != nil && slices.ContainsFunc(sn.Head().Added(), func(mb config.AddedServer) bool { return mb.Address() == address })
}

// Done is closed when Run has ended.
func (vs *VMPoller) Done() <-chan struct{} { return vs.done }

// Read asks for the list once; an answer without VMs is not believed, since the list itself may fail.
func (vs *VMPoller) Read(ctx context.Context) {
	got, err := vs.list.List(ctx)
	if err != nil {
		vs.rec.Log().WithError(err).Debug("the VM list does not answer")
		return
	}
	vs.rec.CountControlBytes(got.Size)
	vs.rest = time.Duration(got.Size) * time.Second / listBytes
	if !got.Changed || len(got.VMs) == 0 {
		return
	}
	vs.latest.Store(&got.VMs)
	vs.notify()
}

// First reads the list at a process's start, which a list that hangs holds up for a short time only.
func (vs *VMPoller) ReadInitial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstTimeout)
	defer cancel()
	vs.Read(ctx)
}

// readInTurn reads the list unless the last answer was so long that it has to last for some more periods.
func (vs *VMPoller) readInTurn(ctx context.Context) {
	vs.rest -= listPeriod
	if vs.rest <= 0 {
		vs.Read(ctx)
	}
}

// Run reads the list until the context ends.
func (vs *VMPoller) Run(ctx context.Context) {
	defer close(vs.done)
	defer vs.clock.Every(listPeriod, func() { vs.readInTurn(ctx) })()
	<-ctx.Done()
}
