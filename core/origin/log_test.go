package origin

import (
	"fmt"
	"testing"
	"time"
)

// Guards against ORDER: rows of a log that name several versions of a stream must not let it go on, in whichever order they were written and read, also
// within one row; and old rows say nothing.
func TestLogFind(t *testing.T) {
	now := time.Unix(1000, 0)
	const stream, other = 7, 8
	for _, tt := range []struct {
		// rows has the versions of the stream in each row.
		rows [][]string
		age  time.Duration
		want string
	}{
		{nil, 0, "unknown"},
		{[][]string{{"v1"}}, 0, "v1"},
		{[][]string{{"v1"}, {"v1"}, {}}, 0, "v1"},
		{[][]string{{"v1"}, {"v2"}}, 0, "ambiguous"},
		{[][]string{{"v2"}, {"v1"}}, 0, "ambiguous"},
		{[][]string{{"v1", "v2"}}, 0, "ambiguous"},
		{[][]string{{""}, {"v1"}}, 0, "ambiguous"},
		{[][]string{{"v1"}, {""}, {"v1"}}, 0, "ambiguous"},
		{[][]string{{"v1"}}, LogTTL + time.Second, "unknown"},
	} {
		lg := NewLog()
		for i, versions := range tt.rows {
			records := []Record{NewRecord(other, "v9"), NewRecord(other+1, "v9")}
			for _, version := range versions {
				records = append(records, NewRecord(stream, version))
			}
			lg.Add(now, uint64(i+1), now, records)
		}
		rc, ok := lg.Find(now.Add(tt.age), stream)
		got := rc.Version()
		switch {
		case !ok:
			got = "unknown"
		case rc.IsAmbiguous():
			got = "ambiguous"
		}
		if got != tt.want {
			t.Errorf("%v after %v: got %s, want %s", tt.rows, tt.age, got, tt.want)
		}
	}
}

// A log keeps its newest rows.
func TestLogIsBounded(t *testing.T) {
	now, lg := time.Unix(1000, 0), NewLog()
	for i := range 2 * maxLogRows {
		lg.Add(now, uint64(i+1), now, []Record{NewRecord(uint64(i), fmt.Sprint("v", i))})
	}
	for _, stream := range []uint64{0, maxLogRows - 1, maxLogRows, 2*maxLogRows - 1} {
		if _, ok := lg.Find(now, stream); ok != (stream >= maxLogRows) {
			t.Errorf("stream %d is known: %t", stream, ok)
		}
	}
}

// fullRow returns the records of a row at the size that the design is made for: the streams of a quarter of all gates in 0.2 s.
func fullRow(seed int) []Record {
	records := make([]Record, 3000)
	for i := range records {
		records[i] = NewRecord(Key("north", fmt.Sprint(seed, "-", i)), Release("chat", fmt.Sprint("v", i%2)))
	}
	return records
}

// BenchmarkLogAdd adds a full row to a log of 128 rows, and BenchmarkLogFind finds a stream in it.
func BenchmarkLogAdd(b *testing.B) {
	now, lg := time.Unix(1000, 0), NewLog()
	for i := range 128 {
		lg.Add(now, uint64(i+1), now, fullRow(i))
	}
	records := fullRow(128)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		lg.Add(now, uint64(i+1000), now, records)
	}
}

func BenchmarkLogFind(b *testing.B) {
	now, lg := time.Unix(1000, 0), NewLog()
	for i := range 128 {
		lg.Add(now, uint64(i+1), now, fullRow(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		lg.Find(now, uint64(i)*0x9e3779b97f4a7c15)
	}
}
