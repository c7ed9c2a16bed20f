package watch

import (
	"context"
	"sync/atomic"
	"time"

	"shallotcleat/core/clock"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
)

// listPeriod is the time between two reads of the VM list.
const listPeriod = time.Second

// VMs keeps the latest list of VMs that the platform gave.
type VMs struct {
	list   vmlist.List
	rec    *trace.Recorder
	latest atomic.Pointer[[]vmlist.VM]
	notify func()
	clock  clock.Service
	done   chan struct{}
}

// NewVMs returns a reader of the list that begins with seeds from the settings; notify is called after each read.
func NewVMs(list vmlist.List, seeds []vmlist.VM, rec *trace.Recorder, ck clock.Service, notify func()) *VMs {
	vs := &VMs{list: list, rec: rec, clock: ck, notify: notify, done: make(chan struct{})}
	vs.latest.Store(&seeds)
	return vs
}

// Latest returns the VMs of the last successful read; the slice must not be changed.
func (vs *VMs) Latest() []vmlist.VM { return *vs.latest.Load() }

// Done is closed when Run has ended.
func (vs *VMs) Done() <-chan struct{} { return vs.done }

// Read asks for the list once; an answer without VMs is not believed, since the list itself may fail.
func (vs *VMs) Read(ctx context.Context) {
	vms, err := vs.list.VMs(ctx)
	if err != nil {
		vs.rec.Log().WithError(err).Debug("the VM list does not answer")
		return
	}
	if len(vms) == 0 {
		return
	}
	vs.latest.Store(&vms)
	vs.notify()
}

// Run reads the list until the context ends.
func (vs *VMs) Run(ctx context.Context) {
	defer close(vs.done)
	defer vs.clock.Every(listPeriod, func() { vs.Read(ctx) })()
	<-ctx.Done()
}
