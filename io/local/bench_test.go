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

// overheadRate is the requests per second of the overhead's measurement.
const overheadRequestsPerSecond = 300

// BenchmarkOverhead measures lookups through entry and agent beside direct calls of the same service, at a fixed rate
// in the same run. It reports the p99 of both and their difference in milliseconds. Run it with -benchtime 3000x.
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

// openLoop calls a function at a fixed rate, whether or not earlier calls have ended, and returns the times taken.
func openLoop(count int, request func() error) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var failed error
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
				failed = err
			}
		})
	}
	wg.Wait()
	return times, failed
}

// get makes one lookup and checks its status.
func lookUp(ctx context.Context, caller *Caller, path string) error {
	rsp, err := caller.Do(ctx, http.MethodGet, path, nil)
	if err == nil && rsp.Status != http.StatusOK {
		err = fmt.Errorf("status %d", rsp.Status)
	}
	return err
}

// BenchmarkTokens measures the relay of streamed tokens through agent and entry: the processor time of the whole process,
// with the engine and the caller in it, for each token.
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
		b.Fatalf("%d of %d tokens, %v", sr.events, b.N, err)
	}
}
