package admit

import (
	"container/heap"
	"time"
)

// Class is the priority class of a request; a lower value starts first.
type Class int

// Priority classes.
const (
	// ClassShort is for short requests that a person is waiting for: quick checks, lookups and orders.
	ClassShort Class = iota
	// ClassLong is for long generations, which tolerate queueing.
	ClassLong
)

// Request is a request for a slot of the backend server.
type Request struct {
	id        string
	workspace string
	share     int
	class     Class
	cost      time.Duration
	deadline  time.Time

	// finishTag is the virtual time at which the request would finish if its workspace received exactly its share.
	finishTag float64
	// index is the position in the heap.
	index int
}

// NewRequest returns a request. The id is unique in the queue, share is the workspace's weight, and cost is the
// expected service time.
func NewRequest(id, workspace string, share int, class Class, cost time.Duration, deadline time.Time) *Request {
	return &Request{id: id, workspace: workspace, share: max(share, 1), class: class, cost: cost, deadline: deadline}
}

// ID returns the id of the request, unique in the queue.
func (rq *Request) ID() string { return rq.id }

// Class returns the priority class of the request.
func (rq *Request) Class() Class { return rq.class }

// Decision is the result of Queue.Offer.
type Decision int

// Results of Queue.Offer.
const (
	// Admitted means that the request starts now.
	Admitted Decision = iota
	// Queued means that the request waits; a later call of Done returns it as started or expired, unless Cancel removes
	// it.
	Queued
	// Refused means that the queue did not accept the request.
	Refused
)

// Limits are the limits of a queue, in requests.
type Limits struct {
	slots                  int
	reservedSlots          int
	maxWaitingPerClass     int
	maxWaitingPerWorkspace int
}

// NewLimits returns limits: slots is the number of requests that may run at once, reserve is the fraction of the slots,
// from 0 to 1, that only short requests may use, and waiting is the number of requests that may wait in each class. The
// reserve is rounded to whole slots, at least one if it is positive, but always leaves one slot for all requests. At
// most max(waiting/2, 1) requests of one workspace may wait in a class.
func NewLimits(slots int, reserve float64, waiting int) Limits {
	reserved := int(float64(slots)*reserve + 0.5)
	if reserve > 0 && slots > 1 {
		reserved = max(reserved, 1)
	}
	return Limits{slots: slots, reservedSlots: min(reserved, slots-1),
		maxWaitingPerClass: waiting, maxWaitingPerWorkspace: max(waiting/2, 1)}
}

// Slots returns the number of requests that may run at once.
func (lm Limits) Slots() int { return lm.slots }

// Queue holds the running and waiting requests of one backend server. It is not safe for concurrent use: the owner
// serializes calls.
type Queue struct {
	limits         Limits
	running        map[string]*Request
	runningInClass [2]int
	waiting        [2]requestHeap
	// virtualTime is the virtual time of start-time fair queueing: the greatest start tag of the requests that have
	// started. A start tag is the finish tag less the request's cost divided by its share.
	virtualTime         float64
	lastFinishTags      map[string]float64
	waitingPerWorkspace map[workspaceClass]int
}

type workspaceClass struct {
	workspace string
	class     Class
}

// NewQueue returns an empty queue.
func NewQueue(lm Limits) *Queue {
	return &Queue{
		limits:              lm,
		running:             make(map[string]*Request),
		lastFinishTags:      make(map[string]float64),
		waitingPerWorkspace: make(map[workspaceClass]int),
	}
}

// SetLimits changes the limits for later decisions; requests that already run or wait are kept.
func (qu *Queue) SetLimits(lm Limits) { qu.limits = lm }

// Limits returns the limits in force.
func (qu *Queue) Limits() Limits { return qu.limits }

// Offer admits, queues or refuses a request.
func (qu *Queue) Offer(now time.Time, rq *Request) Decision {
	if qu.hasFreeSlot(rq.class) && qu.waiting[rq.class].Len() == 0 {
		qu.assignFinishTag(rq)
		qu.start(rq)
		return Admitted
	}
	if qu.queueFull(rq) || qu.missesDeadline(now, rq) {
		return Refused
	}
	qu.assignFinishTag(rq)
	heap.Push(&qu.waiting[rq.class], rq)
	qu.waitingPerWorkspace[workspaceClass{rq.workspace, rq.class}]++
	return Queued
}

// Done removes a running request and returns the waiting requests that start in its place and those whose deadline
// passed while they waited.
func (qu *Queue) Done(now time.Time, id string) (started, expired []*Request) {
	rq, ok := qu.running[id]
	if !ok {
		return nil, nil
	}
	delete(qu.running, id)
	qu.runningInClass[rq.class]--
	return qu.startWaiting(now)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (qu *Queue) Cancel(id string) bool {
	for class := range qu.waiting {
		for _, rq := range qu.waiting[class] {
			if rq.id == id {
				heap.Remove(&qu.waiting[class], rq.index)
				qu.countDequeued(rq)
				return true
			}
		}
	}
	return false
}

// ExpectedWait returns the expected time until a new request of a class would start. It assumes that running requests
// are half done and that the requests ahead spread evenly over the slots.
func (qu *Queue) ExpectedWait(class Class) time.Duration {
	if qu.hasFreeSlot(class) && qu.waiting[class].Len() == 0 {
		return 0
	}
	var ahead time.Duration
	for cl := ClassShort; cl <= class; cl++ {
		for _, rq := range qu.waiting[cl] {
			ahead += rq.cost
		}
	}
	for _, rq := range qu.running {
		ahead += rq.cost / 2
	}
	return ahead / time.Duration(max(qu.limits.slots, 1))
}

// Running returns the number of running requests.
func (qu *Queue) Running() int { return len(qu.running) }

// Waiting returns the number of waiting requests of all classes.
func (qu *Queue) Waiting() int { return qu.waiting[ClassShort].Len() + qu.waiting[ClassLong].Len() }

func (qu *Queue) hasFreeSlot(class Class) bool {
	if len(qu.running) >= qu.limits.slots {
		return false
	}
	return class == ClassShort || qu.runningInClass[ClassLong] < qu.limits.slots-qu.limits.reservedSlots
}

func (qu *Queue) queueFull(rq *Request) bool {
	if qu.waiting[rq.class].Len() >= qu.limits.maxWaitingPerClass {
		return true
	}
	return qu.waitingPerWorkspace[workspaceClass{rq.workspace, rq.class}] >= qu.limits.maxWaitingPerWorkspace
}

func (qu *Queue) missesDeadline(now time.Time, rq *Request) bool {
	return now.Add(qu.ExpectedWait(rq.class)).After(rq.deadline)
}

// assignFinishTag sets the request's finish tag by start-time fair queueing with the workspace's share as weight.
func (qu *Queue) assignFinishTag(rq *Request) {
	startTag := max(qu.virtualTime, qu.lastFinishTags[rq.workspace])
	rq.finishTag = startTag + rq.cost.Seconds()/float64(rq.share)
	qu.lastFinishTags[rq.workspace] = rq.finishTag
}

func (qu *Queue) start(rq *Request) {
	qu.running[rq.id] = rq
	qu.runningInClass[rq.class]++
	qu.virtualTime = max(qu.virtualTime, rq.finishTag-rq.cost.Seconds()/float64(rq.share))
	qu.dropPastTags()
}

// dropPastTags removes tags at or before the virtual time, which no longer affect new requests, once there are maxTags.
func (qu *Queue) dropPastTags() {
	const maxTags = 256
	if len(qu.lastFinishTags) < maxTags {
		return
	}
	for workspace, tag := range qu.lastFinishTags {
		if tag <= qu.virtualTime {
			delete(qu.lastFinishTags, workspace)
		}
	}
}

func (qu *Queue) startWaiting(now time.Time) (started, expired []*Request) {
	for class := ClassShort; class <= ClassLong; class++ {
		for qu.waiting[class].Len() > 0 && qu.hasFreeSlot(class) {
			rq := heap.Pop(&qu.waiting[class]).(*Request)
			qu.countDequeued(rq)
			if now.After(rq.deadline) {
				expired = append(expired, rq)
				continue
			}
			qu.start(rq)
			started = append(started, rq)
		}
	}
	return started, expired
}

func (qu *Queue) countDequeued(rq *Request) {
	wc := workspaceClass{rq.workspace, rq.class}
	qu.waitingPerWorkspace[wc]--
	if qu.waitingPerWorkspace[wc] <= 0 {
		delete(qu.waitingPerWorkspace, wc)
	}
}
