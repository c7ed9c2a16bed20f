package agent

import (
	"context"
	"testing"
	"time"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
)

func testPass(id string) pass {
	return pass{id: id, workspace: "north", share: 1, class: admit.ClassShort, deadline: time.Now().Add(time.Minute)}
}

// enterAll lets calls in that find places at once.
func enterAll(t *testing.T, gt *gate, ids ...string) {
	for _, id := range ids {
		if er := gt.enter(context.Background(), testPass(id), func() { t.Errorf("%s waits", id) }); er != nil {
			t.Fatalf("%s: %s", id, er.Message())
		}
	}
}

// A call waits for a place and gets the one that is given back.
func TestCallWaitsForAPlace(t *testing.T) {
	gt := newGate(2)
	enterAll(t, gt, "one", "two")
	queued, entered := make(chan struct{}), make(chan *answer.Error)
	go func() { entered <- gt.enter(context.Background(), testPass("three"), func() { close(queued) }) }()
	<-queued
	gt.leave("one", admit.ClassShort, 20*time.Millisecond)
	if er := <-entered; er != nil {
		t.Fatalf("the waiting call was refused: %s", er.Message())
	}
	gt.leave("two", admit.ClassShort, 0)
	gt.leave("three", admit.ClassShort, 0)
	if !gt.isEmpty() {
		t.Error("places are not given back")
	}
}

// A caller that leaves the queue is told that nothing ran, and takes no place later.
func TestCallerLeavesTheQueue(t *testing.T) {
	gt := newGate(1)
	enterAll(t, gt, "one")
	ctx, cancel := context.WithCancel(context.Background())
	er := gt.enter(ctx, testPass("two"), cancel)
	if er == nil || er.Outcome() != answer.NotRun || er.Code() != answer.DeadlineExceeded {
		t.Fatalf("got %v", er)
	}
	gt.leave("one", admit.ClassShort, 0)
	if !gt.isEmpty() {
		t.Error("the caller that left has a place")
	}
	enterAll(t, gt, "three")
}

// Beyond the queue's limit a call is refused at once, with a time to come back.
func TestFullQueueRefuses(t *testing.T) {
	gt := newGate(1)
	gt.setLimits(0, 1)
	enterAll(t, gt, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	queued := make(chan struct{})
	go func() { _ = gt.enter(ctx, testPass("two"), func() { close(queued) }) }()
	<-queued
	er := gt.enter(ctx, testPass("three"), func() { t.Error("the call waits") })
	if er == nil || er.Code() != answer.Overloaded || er.Outcome() != answer.NotRun || er.RetryAfter() < leastRetryAfter {
		t.Errorf("got %v", er)
	}
}
