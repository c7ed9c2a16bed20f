package origin

import (
	"testing"
	"time"
)

// A stream keeps the version at which it began while it may be resumed, and is not known after that.
func TestTable(t *testing.T) {
	start := time.Unix(1000, 0)
	tb := NewTable()
	stream := Key("north", "id-1")
	tb.Put(start, NewRecord(stream, "v2"))
	tb.Put(start.Add(recordTTL), NewRecord(stream, "v1"))
	for _, tt := range []struct {
		stream uint64
		after  time.Duration
		want   string
		wantOK bool
	}{
		{stream, 2 * recordTTL, "v2", true},
		{stream, 2*recordTTL + time.Second, "", false},
		{Key("south", "id-1"), 0, "", false},
	} {
		if got, ok := tb.Version(start.Add(tt.after), tt.stream); got != tt.want || ok != tt.wantOK {
			t.Errorf("after %s: got %q, %t", tt.after, got, ok)
		}
	}
}
