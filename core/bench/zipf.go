package bench

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipf draws ranks whose frequencies fall with a power of the rank.
type zipf struct {
	rng *rand.Rand
	sum []float64
}

func newZipf(rng *rand.Rand, count int) *zipf {
	zp := &zipf{rng: rng, sum: make([]float64, count)}
	total := 0.0
	for i := range zp.sum {
		total += math.Pow(float64(i+1), -zipfExponent)
		zp.sum[i] = total
	}
	return zp
}

func (zp *zipf) draw() int {
	at := zp.rng.Float64() * zp.sum[len(zp.sum)-1]
	return sort.SearchFloat64s(zp.sum, at)
}
