package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured after its warm-up.
type Result struct {
	sentAt          [][]time.Duration
	promptTokens    int
	cachedTokens    int
	boundTokens     int
	firstToken      *hdrhistogram.Histogram
	shortFirstToken *hdrhistogram.Histogram
}

// HitRate returns the part of the prompts' tokens that were found in caches.
func (rs Result) HitRate() float64 {
	return float64(rs.cachedTokens) / float64(max(rs.promptTokens, 1))
}

// HitRateBound returns the part that the clairvoyant bound finds: all that was computed anywhere before.
func (rs Result) HitRateBound() float64 {
	return float64(rs.boundTokens) / float64(max(rs.promptTokens, 1))
}

// RecomputedTokens returns the tokens that were computed although they had been computed before.
func (rs Result) RecomputedTokens() int { return rs.boundTokens - rs.cachedTokens }

// SentCount returns how many calls were sent to a server in a span of the run.
func (rs Result) SentCount(server int, from, to time.Duration) int {
	count := 0
	for _, at := range rs.sentAt[server] {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// TimeToFirstToken returns a quantile, from 0 to 100, of the time to the first token.
func (rs Result) TimeToFirstToken(quantile float64) time.Duration {
	return time.Duration(rs.firstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// ShortTimeToFirstToken returns a quantile of the time to the first token of quick checks.
func (rs Result) ShortTimeToFirstToken(quantile float64) time.Duration {
	return time.Duration(rs.shortFirstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// String returns the result in one line.
func (rs Result) String() string {
	return fmt.Sprintf("hit %.3f of %.3f, first token p50 %v p95 %v p99 %v, recomputed %.2f M",
		rs.HitRate(), rs.HitRateBound(), rs.TimeToFirstToken(50), rs.TimeToFirstToken(95), rs.TimeToFirstToken(99), float64(rs.RecomputedTokens())/1e6)
}

// Merge returns the sum of several runs.
func Merge(results []Result) Result {
	sum := results[0]
	for _, rs := range results[1:] {
		sum.promptTokens += rs.promptTokens
		sum.cachedTokens += rs.cachedTokens
		sum.boundTokens += rs.boundTokens
		sum.firstToken.Merge(rs.firstToken)
		sum.shortFirstToken.Merge(rs.shortFirstToken)
	}
	return sum
}
