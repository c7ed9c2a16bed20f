package share

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMeter measures what a meter costs a gate at the design size: 86 requests per second of its own, and messages of 419 other gates each
// second with 33 entries of 3,800 workspaces and 17 services. An operation is a second.
func BenchmarkMeter(b *testing.B) {
	mt := NewMeter()
	now := time.Unix(1000, 0)
	for i := range b.N {
		for gate := range 419 {
			now = now.Add(time.Second / 419)
			works := make([]Work, 33)
			for j := range works {
				works[j] = NewWork(uint64(1+(gate+j)%17), uint64(1+(gate*33+j*7+i)%3800), j%3, float64(1000+j))
			}
			mt.Apply(now, uint64(gate), works)
			if gate%5 == 0 {
				mt.Add(now, fmt.Sprint("s", gate%17), fmt.Sprint("w", gate), 1, 2000)
				mt.FairShareRatio(now, "s1", "w1")
			}
		}
		mt.Works(now, 32)
	}
}
