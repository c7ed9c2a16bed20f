package local

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotcleat/io/fake"
)

// overheadRequestsPerSecond is the request rate of BenchmarkOverhead, for direct and for routed requests each.
const overheadRequestsPerSecond = 300

// BenchmarkOverhead measures lookups through entry and agent and, at the same time and rate, direct lookups at the same
// service. It reports the p99 of both in milliseconds, and the differences of p99 and of p50. Run it with -benchtime
// 3000x.
func BenchmarkOverhead(b *testing.B) {
	cl := newCluster(b, clusterOptions{plainServices: 1, entries: 1, slots: 64})
	direct := NewCaller(cl.plainAddresses[0], "")
	routed := cl.caller(0)
	var wg sync.WaitGroup
	var directTimes, routedTimes *hdrhistogram.Histogram
	var errs [2]error
	b.ResetTimer()
	wg.Go(func() {
		directTimes, errs[0] = openLoop(b.N, func() error { return lookUp(b.Context(), direct, "/items/sand") })
	})
	wg.Go(func() {
		routedTimes, errs[1] = openLoop(b.N, func() error { return lookUp(b.Context(), routed, "/services/stock/items/sand") })
	})
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			b.Fatal(err)
		}
	}
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	b.ReportMetric(milliseconds(directTimes.ValueAtQuantile(99)), "direct-p99-ms")
	b.ReportMetric(milliseconds(routedTimes.ValueAtQuantile(99)), "routed-p99-ms")
	b.ReportMetric(milliseconds(routedTimes.ValueAtQuantile(99)-directTimes.ValueAtQuantile(99)), "added-p99-ms")
	b.ReportMetric(milliseconds(routedTimes.ValueAtQuantile(50)-directTimes.ValueAtQuantile(50)), "added-p50-ms")
}

// openLoop calls request count times at a fixed rate, without waiting for earlier calls. It returns the latencies in
// microseconds and the last error.
func openLoop(count int, request func() error) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var lastErr error
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / overheadRequestsPerSecond)
	defer ticker.Stop()
	for range count {
		<-ticker.C
		wg.Go(func() {
			start := time.Now()
			err := request()
			elapsed := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			_ = times.RecordValue(elapsed.Microseconds())
			if err != nil {
				lastErr = err
			}
		})
	}
	wg.Wait()
	return times, lastErr
}

// lookUp sends one lookup and returns an error if its status is not 200.
func lookUp(ctx context.Context, caller *Caller, path string) error {
	rsp, err := caller.Do(ctx, http.MethodGet, path, nil)
	if err == nil && rsp.Status != http.StatusOK {
		err = fmt.Errorf("status %d", rsp.Status)
	}
	return err
}

// BenchmarkTokens measures the relay of streamed tokens through agent and entry. The CPU time per token includes the
// fake engine and the caller, which run in the same process.
func BenchmarkTokens(b *testing.B) {
	cl := newCluster(b, clusterOptions{
		engines: 1,
		entries: 1,
		speed:   fake.EngineSpeed{PrefillRate: 1e9, BlockTokens: 50, CacheBlocks: 100},
	})
	sr := &streamResult{}
	b.ResetTimer()
	_, err := cl.caller(0).Stream(b.Context(), http.MethodPost, "/v1/completions", streamBody("tokens", b.N), func(ev Event) bool {
		sr.add(ev)
		return true
	})
	if err != nil || sr.events != b.N {
		b.Fatalf("received %d of %d tokens, error %v", sr.events, b.N, err)
	}
}
