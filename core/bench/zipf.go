package bench

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipf draws ranks, from 0, by a Zipf distribution with exponent zipfExponent.
type zipf struct {
	rng *rand.Rand
	// cumulative holds the cumulative unnormalized weights of the ranks.
	cumulative []float64
}

func newZipf(rng *rand.Rand, count int) *zipf {
	zp := &zipf{rng: rng, cumulative: make([]float64, count)}
	total := 0.0
	for i := range zp.cumulative {
		total += math.Pow(float64(i+1), -zipfExponent)
		zp.cumulative[i] = total
	}
	return zp
}

func (zp *zipf) draw() int {
	at := zp.rng.Float64() * zp.cumulative[len(zp.cumulative)-1]
	return sort.SearchFloat64s(zp.cumulative, at)
}
