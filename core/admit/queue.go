package admit

import (
	"container/heap"
	"time"
)

// Class is the urgency of a request; a smaller class goes first.
type Class int

// The classes of requests.
const (
	// Check is a quick check, a lookup or an order, for which somebody waits at a counter.
	ClassShort Class = iota
	// Guide is a long answer, which may take a moment.
	ClassLong
)

// Item is a request that wants to enter the backend server.
type Request struct {
	id        string
	workspace string
	share     int
	class     Class
	cost      time.Duration
	deadline  time.Time

	// finishTag is the virtual time at which the item would end if its workspace had its share alone.
	finishTag float64
	index     int
}

// NewItem returns an item; id is unique in the queue, share is the workspace's weight, and cost is the expected time
// in the server.
func NewRequest(id, workspace string, share int, class Class, cost time.Duration, deadline time.Time) *Request {
	return &Request{id: id, workspace: workspace, share: max(share, 1), class: class, cost: cost, deadline: deadline}
}

// ID returns the id that the item was made with.
func (it *Request) ID() string { return it.id }

// Class returns the item's urgency.
func (it *Request) Class() Class { return it.class }

// Verdict is the answer to an offer.
type Decision int

// The answers to an offer.
const (
	// Start means that the item enters the server now.
	Admitted Decision = iota
	// Queued means that the item waits; a later call returns it.
	Queued
	// Refused means that the item was not taken.
	Refused
)

// Limits of a queue.
type Limits struct {
	slots    int
	reserve  int
	waiting  int
	perSpace int
}

// NewLimits returns limits: the server's slots, the part of them from 0 to 1 that only checks may use, and how many
// items may wait in each class. One workspace may fill at most half of the waiting room.
func NewLimits(slots int, reserve float64, waiting int) Limits {
	kept := int(float64(slots)*reserve + 0.5)
	if reserve > 0 && slots > 1 {
		kept = max(kept, 1)
	}
	return Limits{slots: slots, reserve: min(kept, slots-1), waiting: waiting, perSpace: max(waiting/2, 1)}
}

// Slots returns how many items may be in the server at once.
func (lm Limits) Slots() int { return lm.slots }

// Queue holds the items of one backend server; its owner serialises the calls.
type Queue struct {
	limits  Limits
	running map[string]*Request
	inClass [2]int
	waiting [2]requestHeap
	// virtual is the fair-sharing clock: the finish tag of the item that started last.
	virtual  float64
	lastTags map[string]float64
	spaces   map[spaceClass]int
}

type spaceClass struct {
	workspace string
	class     Class
}

// NewQueue returns an empty queue.
func NewQueue(lm Limits) *Queue {
	return &Queue{
		limits:   lm,
		running:  make(map[string]*Request),
		lastTags: make(map[string]float64),
		spaces:   make(map[spaceClass]int),
	}
}

// SetLimits changes the limits for the items to come; nothing that runs or waits is cut off.
func (qu *Queue) SetLimits(lm Limits) { qu.limits = lm }

// Limits returns the limits in force.
func (qu *Queue) Limits() Limits { return qu.limits }

// Offer takes an item, lets it wait or refuses it.
func (qu *Queue) Offer(now time.Time, it *Request) Decision {
	if qu.hasRoom(it.class) && qu.waiting[it.class].Len() == 0 {
		qu.tag(it)
		qu.start(it)
		return Admitted
	}
	if qu.isFull(it) || qu.isTooLate(now, it) {
		return Refused
	}
	qu.tag(it)
	heap.Push(&qu.waiting[it.class], it)
	qu.spaces[spaceClass{it.workspace, it.class}]++
	return Queued
}

// Done takes a running item out and returns those that start in its place, and those whose deadline has passed while
// they waited.
func (qu *Queue) Done(now time.Time, id string) (started, expired []*Request) {
	it, ok := qu.running[id]
	if !ok {
		return nil, nil
	}
	delete(qu.running, id)
	qu.inClass[it.class]--
	return qu.fill(now)
}

// Cancel takes a waiting item out and reports whether it was waiting.
func (qu *Queue) Cancel(id string) bool {
	for class := range qu.waiting {
		for _, it := range qu.waiting[class] {
			if it.id == id {
				heap.Remove(&qu.waiting[class], it.index)
				qu.leaveSpace(it)
				return true
			}
		}
	}
	return false
}

// Wait returns the expected time until a new item of a class would start.
func (qu *Queue) ExpectedWait(class Class) time.Duration {
	if qu.hasRoom(class) && qu.waiting[class].Len() == 0 {
		return 0
	}
	var ahead time.Duration
	for cl := ClassShort; cl <= class; cl++ {
		for _, it := range qu.waiting[cl] {
			ahead += it.cost
		}
	}
	for _, it := range qu.running {
		ahead += it.cost / 2
	}
	return ahead / time.Duration(max(qu.limits.slots, 1))
}

// Running returns how many items are in the server.
func (qu *Queue) Running() int { return len(qu.running) }

// Waiting returns how many items wait.
func (qu *Queue) Waiting() int { return qu.waiting[ClassShort].Len() + qu.waiting[ClassLong].Len() }

func (qu *Queue) hasRoom(class Class) bool {
	if len(qu.running) >= qu.limits.slots {
		return false
	}
	return class == ClassShort || qu.inClass[ClassLong] < qu.limits.slots-qu.limits.reserve
}

func (qu *Queue) isFull(it *Request) bool {
	if qu.waiting[it.class].Len() >= qu.limits.waiting {
		return true
	}
	return qu.spaces[spaceClass{it.workspace, it.class}] >= qu.limits.perSpace
}

func (qu *Queue) isTooLate(now time.Time, it *Request) bool {
	return now.Add(qu.ExpectedWait(it.class)).After(it.deadline)
}

// tag gives the item its place in the fair order: start-time fair queueing with the workspace's share as weight.
func (qu *Queue) tag(it *Request) {
	begin := max(qu.virtual, qu.lastTags[it.workspace])
	it.finishTag = begin + it.cost.Seconds()/float64(it.share)
	qu.lastTags[it.workspace] = it.finishTag
}

func (qu *Queue) start(it *Request) {
	qu.running[it.id] = it
	qu.inClass[it.class]++
	qu.virtual = max(qu.virtual, it.finishTag-it.cost.Seconds()/float64(it.share))
	qu.forgetTags()
}

// forgetTags drops the tags of workspaces that are behind the clock, since they no longer matter.
func (qu *Queue) forgetTags() {
	const keep = 256
	if len(qu.lastTags) < keep {
		return
	}
	for workspace, tag := range qu.lastTags {
		if tag <= qu.virtual {
			delete(qu.lastTags, workspace)
		}
	}
}

func (qu *Queue) fill(now time.Time) (started, expired []*Request) {
	for class := ClassShort; class <= ClassLong; class++ {
		for qu.waiting[class].Len() > 0 && qu.hasRoom(class) {
			it := heap.Pop(&qu.waiting[class]).(*Request)
			qu.leaveSpace(it)
			if now.After(it.deadline) {
				expired = append(expired, it)
				continue
			}
			qu.start(it)
			started = append(started, it)
		}
	}
	return started, expired
}

func (qu *Queue) leaveSpace(it *Request) {
	sc := spaceClass{it.workspace, it.class}
	qu.spaces[sc]--
	if qu.spaces[sc] <= 0 {
		delete(qu.spaces, sc)
	}
}
