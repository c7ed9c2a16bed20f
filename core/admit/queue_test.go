package admit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestQueue runs the scripts in testdata: offered, completed and canceled requests and the resulting decisions.
func TestQueue(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var qu *Queue
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "new":
				var slots, waiting int
				var reserve string
				td.ScanArgs(t, "slots", &slots)
				td.ScanArgs(t, "waiting", &waiting)
				td.ScanArgs(t, "reserve", &reserve)
				fraction := 0.0
				_, _ = fmt.Sscan(reserve, &fraction)
				qu = NewQueue(NewLimits(slots, fraction, waiting))
				return "ok\n"
			case "offer":
				return offerLines(qu, now, td.Input)
			case "advance":
				var text string
				td.ScanArgs(t, "by", &text)
				span, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(span)
				return "ok\n"
			case "done":
				return completeLines(qu, now, td.Input)
			case "cancel":
				return fmt.Sprintln(qu.Cancel(td.Input))
			}
			t.Fatalf("unknown command %q", td.Cmd)
			return ""
		})
	})
}

// offerLines offers one request for each line "id workspace share class cost deadline".
func offerLines(qu *Queue, now time.Time, input string) string {
	names := map[Decision]string{Admitted: "starts", Queued: "waits", Refused: "is refused"}
	var out strings.Builder
	for line := range strings.Lines(input) {
		var id, workspace, className, cost, deadline string
		var share int
		_, _ = fmt.Sscan(line, &id, &workspace, &share, &className, &cost, &deadline)
		serviceTime, _ := time.ParseDuration(cost)
		timeout, _ := time.ParseDuration(deadline)
		class := ClassLong
		if className == "check" {
			class = ClassShort
		}
		decision := qu.Offer(now, NewRequest(id, workspace, share, class, serviceTime, now.Add(timeout)))
		fmt.Fprintf(&out, "%s %s\n", id, names[decision])
	}
	return out.String()
}

// completeLines completes the request named on each line.
func completeLines(qu *Queue, now time.Time, input string) string {
	var out strings.Builder
	for id := range strings.Lines(input) {
		started, expired := qu.Done(now, strings.TrimSpace(id))
		for _, rq := range started {
			fmt.Fprintf(&out, "%s starts\n", rq.ID())
		}
		for _, rq := range expired {
			fmt.Fprintf(&out, "%s has expired\n", rq.ID())
		}
	}
	if out.Len() == 0 {
		return "nothing starts\n"
	}
	return out.String()
}

// BenchmarkQueue measures the queue operations of one request, with 64 waiting requests.
func BenchmarkQueue(b *testing.B) {
	now := time.Unix(0, 0)
	qu := NewQueue(NewLimits(16, 0.25, 256))
	newRequest := func(i int) *Request {
		return NewRequest(fmt.Sprint(i), fmt.Sprint("w", i%50), 1, ClassLong, time.Second, now.Add(time.Hour))
	}
	var running []string
	for i := range 76 {
		rq := newRequest(i)
		if qu.Offer(now, rq) == Admitted {
			running = append(running, rq.id)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		qu.Offer(now, newRequest(1000+i))
		started, _ := qu.Done(now, running[0])
		running = append(running[1:], started[0].id)
	}
}
