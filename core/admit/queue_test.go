package admit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestQueue plays the scripts in testdata: offers and ends, and what the queue makes of them.
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
				part := 0.0
				_, _ = fmt.Sscan(reserve, &part)
				qu = NewQueue(NewLimits(slots, part, waiting))
				return "ok\n"
			case "offer":
				return offers(qu, now, td.Input)
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
				return ends(qu, now, td.Input)
			case "cancel":
				return fmt.Sprintln(qu.Cancel(td.Input))
			}
			t.Fatalf("unknown command %q", td.Cmd)
			return ""
		})
	})
}

// offers offers one item for each line "id workspace share class cost deadline".
func offers(qu *Queue, now time.Time, input string) string {
	names := map[Decision]string{Admitted: "starts", Queued: "waits", Refused: "is refused"}
	var out strings.Builder
	for line := range strings.Lines(input) {
		var id, workspace, class, cost, deadline string
		var share int
		_, _ = fmt.Sscan(line, &id, &workspace, &share, &class, &cost, &deadline)
		took, _ := time.ParseDuration(cost)
		limit, _ := time.ParseDuration(deadline)
		urgency := ClassLong
		if class == "check" {
			urgency = ClassShort
		}
		verdict := qu.Offer(now, NewRequest(id, workspace, share, urgency, took, now.Add(limit)))
		fmt.Fprintf(&out, "%s %s\n", id, names[verdict])
	}
	return out.String()
}

// ends ends the item of each line.
func ends(qu *Queue, now time.Time, input string) string {
	var out strings.Builder
	for id := range strings.Lines(input) {
		started, expired := qu.Done(now, strings.TrimSpace(id))
		for _, it := range started {
			fmt.Fprintf(&out, "%s starts\n", it.ID())
		}
		for _, it := range expired {
			fmt.Fprintf(&out, "%s has expired\n", it.ID())
		}
	}
	if out.Len() == 0 {
		return "nothing starts\n"
	}
	return out.String()
}

// BenchmarkQueue measures one request at its agent: offer, start and end, beside 64 that wait.
func BenchmarkQueue(b *testing.B) {
	now := time.Unix(0, 0)
	qu := NewQueue(NewLimits(16, 0.25, 256))
	item := func(i int) *Request {
		return NewRequest(fmt.Sprint(i), fmt.Sprint("w", i%50), 1, ClassLong, time.Second, now.Add(time.Hour))
	}
	var running []string
	for i := range 76 {
		it := item(i)
		if qu.Offer(now, it) == Admitted {
			running = append(running, it.id)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		qu.Offer(now, item(1000+i))
		started, _ := qu.Done(now, running[0])
		running = append(running[1:], started[0].id)
	}
}
