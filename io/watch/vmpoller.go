package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"shallotcleat/core/clock"
	"shallotcleat/core/config"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
)

// Limits of polling the VM list.
const (
	// pollPeriod is the time between two polls, and so the shortest time between two reads.
	pollPeriod = time.Second
	// initialReadTimeout bounds the read at the start of a process.
	initialReadTimeout = 300 * time.Millisecond
	// maxBytesPerSecond bounds the average rate of response bytes. After a large response the next polls are skipped.
	maxBytesPerSecond = 2000
	// maxListed bounds the addresses of which it is known that the platform has listed them.
	maxListed = 1 << 16
	// unlistedTTL is how long it is known since when an address was found not to be listed. It exceeds the time between two reads of a list of 1 MB.
	unlistedTTL = 10 * time.Minute
)

// VMPoller polls the platform's VM list and keeps the latest one.
type VMPoller struct {
	lister vmlist.Lister
	rec    *trace.Recorder
	latest atomic.Pointer[[]vmlist.VM]
	notify func()
	// untilNextRead is the remaining time before the next read. It has no lock because calls of Read never overlap.
	untilNextRead time.Duration
	clock         clock.Clock
	done          chan struct{}
	// listed has the addresses that the platform has ever listed, and readAt is when the last successful read began.
	listed *lru.Cache[string, struct{}]
	readAt atomic.Pointer[time.Time]

	// mu guards unlistedSince, which holds since when addresses are known not to be listed that never were.
	mu            sync.Mutex
	unlistedSince map[string]time.Time
}

// NewVMPoller returns a poller whose list is seeds until the first successful read. It calls notify after each read that
// changed the list.
func NewVMPoller(lister vmlist.Lister, seeds []vmlist.VM, rec *trace.Recorder, ck clock.Clock, notify func()) *VMPoller {
	listed, err := lru.New[string, struct{}](maxListed)
	if err != nil {
		panic(err) // The size is positive.
	}
	vp := &VMPoller{lister: lister, rec: rec, clock: ck, notify: notify, done: make(chan struct{}), listed: listed,
		unlistedSince: make(map[string]time.Time)}
	vp.setLatest(seeds)
	return vp
}

func (vp *VMPoller) setLatest(vms []vmlist.VM) {
	vp.latest.Store(&vms)
	for _, vm := range vms {
		vp.listed.Add(vm.Address, struct{}{})
	}
}

// Latest returns the VMs of the last successful read. The caller must not modify the slice.
func (vp *VMPoller) Latest() []vmlist.VM { return *vp.latest.Load() }

// Exists reports whether the platform lists a VM with the address, or an operator has added one in the snapshot, which may be
// nil. An agent that does not reply may recover as long as its VM exists.
func (vp *VMPoller) Exists(address string, sn *config.Snapshot) bool {
	if slices.ContainsFunc(vp.Latest(), func(vm vmlist.VM) bool { return vm.Address == address }) {
		return true
	}
	return sn != nil && slices.ContainsFunc(sn.Head().Added(), func(as config.AddedServer) bool { return as.Address() == address })
}

// IsGone reports whether the VM with the address of an agent that does not reply no longer exists. A list that never had the address may be older than the VM, so
// that the VM counts as gone only once a list was read, without it, after the first call.
func (vp *VMPoller) IsGone(now time.Time, address string, sn *config.Snapshot) bool {
	vp.mu.Lock()
	defer vp.mu.Unlock()
	if vp.Exists(address, sn) {
		delete(vp.unlistedSince, address)
		return false
	}
	if vp.listed.Contains(address) {
		return true
	}
	maps.DeleteFunc(vp.unlistedSince, func(_ string, since time.Time) bool { return now.Sub(since) > unlistedTTL })
	since, ok := vp.unlistedSince[address]
	if !ok {
		vp.unlistedSince[address] = now
		return false
	}
	readAt := vp.readAt.Load()
	return readAt != nil && readAt.After(since)
}

// Done returns a channel that is closed when Run returns.
func (vp *VMPoller) Done() <-chan struct{} { return vp.done }

// Read reads the list once. It ignores an empty list, since that may be a fault of the list service. Calls must not overlap.
func (vp *VMPoller) Read(ctx context.Context) {
	began := time.Now()
	resp, err := vp.lister.List(ctx)
	if err != nil {
		vp.rec.Log().WithError(err).Debug("failed to read the VM list")
		return
	}
	vp.rec.CountControlBytes(resp.Size)
	vp.untilNextRead = time.Duration(resp.Size) * time.Second / maxBytesPerSecond
	if resp.Changed && len(resp.VMs) == 0 {
		return
	}
	defer vp.readAt.Store(&began)
	if resp.Changed {
		vp.setLatest(resp.VMs)
		vp.notify()
	}
}

// ReadInitial reads the list at the start of a process, with a short timeout so that an unresponsive list service does not
// delay the start.
func (vp *VMPoller) ReadInitial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	vp.Read(ctx)
}

// poll reads the list unless the size of the last response requires more polls to be skipped.
func (vp *VMPoller) poll(ctx context.Context) {
	vp.untilNextRead -= pollPeriod
	if vp.untilNextRead <= 0 {
		vp.Read(ctx)
	}
}

// Run polls the list until ctx is canceled.
func (vp *VMPoller) Run(ctx context.Context) {
	defer close(vp.done)
	defer vp.clock.Every(pollPeriod, func() { vp.poll(ctx) })()
	<-ctx.Done()
}
