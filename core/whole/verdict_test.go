package whole

import (
	"slices"
	"testing"
)

// Guards against an answer that is taken for whole though its server may have ended within it, for every framing, ending and content.
func TestJudge(t *testing.T) {
	endings := []Ending{Cut{}, Reset{}, Silent{}, Interrupted{}, InvalidHead{}, Malformed{}, nil}
	contents := []Content{Opaque{}, Document{}, NewEvents(true, false), NewEvents(true, true), NewEvents(false, false)}
	want := map[Framing][]Verdict{
		Length:     {Whole, Whole, Whole, Broken, Whole},
		Chunks:     {Whole, Whole, Whole, Broken, Whole},
		Connection: {Doubtful, Whole, Doubtful, Broken, Broken},
		NoFraming:  {Broken, Whole, Broken, Broken, Broken},
	}
	for framing, verdicts := range want {
		for i, ct := range contents {
			if got := Judge(framing, Finished{}, ct); got != verdicts[i] {
				t.Errorf("framing %q, finished, %#v: got %s, want %s", framing, ct, got, verdicts[i])
			}
			for _, ending := range endings {
				if got := Judge(framing, ending, ct); got != Broken {
					t.Errorf("framing %q, %#v, %#v: got %s, want %s", framing, ending, ct, got, Broken)
				}
			}
		}
	}
	for life, verdict := range map[Life]Verdict{Running{}: Whole, Ended{}: Broken, Unknown{}: Broken} {
		if got := Settle(life); got != verdict {
			t.Errorf("server is %s: got %s, want %s", life, got, verdict)
		}
	}
}

// Guards against half an answer that is taken for a whole one since writing its request was told of the error, whatever the error.
func TestCombine(t *testing.T) {
	endings := []Ending{Finished{}, Cut{}, Reset{}, Silent{}, Interrupted{}, InvalidHead{}, Malformed{}}
	for _, reading := range endings {
		for _, writing := range endings {
			want := reading
			if slices.Contains([]Ending{Finished{}, Cut{}}, reading) && slices.Contains([]Ending{Reset{}, Silent{}}, writing) {
				want = writing
			}
			if got := Combine(reading, writing); got != want {
				t.Errorf("reading %s, writing %s: got %s, want %s", reading, writing, got, want)
			}
		}
	}
}
