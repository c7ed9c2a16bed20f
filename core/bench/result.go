package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. They cover the requests that arrive after the warm-up; sentAt covers all.
type Result struct {
	// sentAt holds the times at which attempts were sent to each server.
	sentAt          [][]time.Duration
	promptTokens    int
	cachedTokens    int
	boundTokens     int
	firstToken      *hdrhistogram.Histogram
	shortFirstToken *hdrhistogram.Histogram
}

// HitRate returns the fraction of prompt tokens that were cached.
func (rs Result) HitRate() float64 {
	return float64(rs.cachedTokens) / float64(max(rs.promptTokens, 1))
}

// HitRateBound returns the clairvoyant bound of HitRate: the rate if all pieces of earlier requests were cached.
func (rs Result) HitRateBound() float64 {
	return float64(rs.boundTokens) / float64(max(rs.promptTokens, 1))
}

// RecomputedTokens returns the number of prompt tokens that were computed again.
func (rs Result) RecomputedTokens() int { return rs.boundTokens - rs.cachedTokens }

// SentCount returns the number of attempts sent to a server in the interval [from, to) of the run.
func (rs Result) SentCount(server int, from, to time.Duration) int {
	count := 0
	for _, at := range rs.sentAt[server] {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// TimeToFirstToken returns a percentile, from 0 to 100, of the time to first token.
func (rs Result) TimeToFirstToken(percentile float64) time.Duration {
	return time.Duration(rs.firstToken.ValueAtQuantile(percentile)) * time.Microsecond
}

// ShortTimeToFirstToken returns a percentile, from 0 to 100, of the time to first token of short requests.
func (rs Result) ShortTimeToFirstToken(percentile float64) time.Duration {
	return time.Duration(rs.shortFirstToken.ValueAtQuantile(percentile)) * time.Microsecond
}

// String returns a one-line summary.
func (rs Result) String() string {
	return fmt.Sprintf("hit %.3f of %.3f, first token p50 %v p95 %v p99 %v, recomputed %.2f M",
		rs.HitRate(), rs.HitRateBound(), rs.TimeToFirstToken(50), rs.TimeToFirstToken(95), rs.TimeToFirstToken(99),
		float64(rs.RecomputedTokens())/1e6)
}

// Merge combines the results of one or more runs; send times are those of the first only. It modifies the first result's
// histograms.
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
