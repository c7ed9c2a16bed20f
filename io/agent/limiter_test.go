package agent

import (
	"context"
	"testing"
	"time"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
)

func newTestRequest(id string) admitRequest {
	return admitRequest{id: id, workspace: "north", share: 1, class: admit.ClassShort, deadline: time.Now().Add(time.Minute)}
}

// acquireAll acquires a slot for each request; none may wait.
func acquireAll(t *testing.T, lm *limiter, ids ...string) {
	for _, id := range ids {
		if er := lm.acquire(context.Background(), newTestRequest(id), func() { t.Errorf("request %s was queued", id) }); er != nil {
			t.Fatalf("request %s was refused: %s", id, er.Message())
		}
	}
}

// TestAcquireWaitsForSlot checks that a queued request gets the slot that another one releases.
func TestAcquireWaitsForSlot(t *testing.T) {
	lm := newLimiter(2)
	acquireAll(t, lm, "one", "two")
	queued, result := make(chan struct{}), make(chan *answer.Error)
	go func() { result <- lm.acquire(context.Background(), newTestRequest("three"), func() { close(queued) }) }()
	<-queued
	lm.release("one", admit.ClassShort, 20*time.Millisecond)
	if er := <-result; er != nil {
		t.Fatalf("queued request was refused: %s", er.Message())
	}
	lm.release("two", admit.ClassShort, 0)
	lm.release("three", admit.ClassShort, 0)
	if !lm.isEmpty() {
		t.Error("limiter is not empty after all slots were released")
	}
}

// TestAcquireCanceled checks that a request canceled in the queue is reported as not run and takes no slot later.
func TestAcquireCanceled(t *testing.T) {
	lm := newLimiter(1)
	acquireAll(t, lm, "one")
	ctx, cancel := context.WithCancel(context.Background())
	er := lm.acquire(ctx, newTestRequest("two"), cancel)
	if er == nil || er.Outcome() != answer.NotRun || er.Code() != answer.DeadlineExceeded {
		t.Fatalf("acquire of a canceled request returned %v, want code DeadlineExceeded and outcome NotRun", er)
	}
	lm.release("one", admit.ClassShort, 0)
	if !lm.isEmpty() {
		t.Error("canceled request occupies a slot")
	}
	acquireAll(t, lm, "three")
}

// TestAcquireRefusesWhenQueueIsFull checks that a request is refused at once, with a retry delay, if the queue
// is full.
func TestAcquireRefusesWhenQueueIsFull(t *testing.T) {
	lm := newLimiter(1)
	lm.setLimits(0, 1)
	acquireAll(t, lm, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	queued := make(chan struct{})
	go func() { _ = lm.acquire(ctx, newTestRequest("two"), func() { close(queued) }) }()
	<-queued
	er := lm.acquire(ctx, newTestRequest("three"), func() { t.Error("request was queued beyond the limit") })
	if er == nil || er.Code() != answer.Overloaded || er.Outcome() != answer.NotRun || er.RetryAfter() < minRetryAfter {
		t.Errorf("acquire with a full queue returned %v, want code Overloaded, outcome NotRun and a retry delay", er)
	}
}
