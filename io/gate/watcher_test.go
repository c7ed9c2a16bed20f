package gate

import (
	"testing"
	"time"

	"shallotcleat/io/feed"
)

// A connection that goes silent right after a watch began is noticed while there is time for another call, before the gate counts as in touch
// again: Settle after that, or the deadline after the change, whichever is later. A batch of changes is applied before a leaving server must get
// no more requests.
func TestWatchWaitsEndBeforeDeadlines(t *testing.T) {
	for _, dl := range []Deadlines{
		{Settle: 3 * time.Second, Config: 2 * time.Second, Drain: 2 * time.Second},
		{Settle: 4 * time.Second, Config: 3 * time.Second, Drain: 3 * time.Second},
		{Settle: 5 * time.Second, Config: 4 * time.Second, Drain: 4 * time.Second},
		{Settle: 20 * time.Second, Config: 8 * time.Second, Drain: 20 * time.Second},
		{Settle: 3 * time.Second, Config: 8 * time.Second, Drain: 5 * time.Second},
		{Settle: 2 * time.Second, Config: 2 * time.Second, Drain: 2 * time.Second},
	} {
		for _, deadline := range []time.Duration{dl.Config, dl.Drain} {
			if noticed := dl.watchWait(deadline) + feed.WatchMargin; noticed+rewatchMargin > max(dl.Settle, deadline) {
				t.Errorf("%+v: a silent connection is noticed after %s, the deadline is %s", dl, noticed, max(dl.Settle, deadline))
			}
		}
		if delay := dl.serverChangeDelay(); delay+applyMargin > dl.Drain {
			t.Errorf("%+v: changes of servers are delayed by %s", dl, delay)
		}
	}
}
