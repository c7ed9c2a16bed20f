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
const overheadRate = 300

// BenchmarkOverhead measures lookups through entry and agent beside direct calls of the same service, at a fixed rate
// in the same run. It reports the p99 of both and their difference in milliseconds. Run it with -benchtime 3000x.
func BenchmarkOverhead(b *testing.B) {
	st := newSite(b, siteOptions{services: 1, entries: 1, slots: 64})
	direct := NewCaller(st.directPlain[0], "")
	routed := st.caller(0)
	var wg sync.WaitGroup
	var alone, through *hdrhistogram.Histogram
	var errs [2]error
	b.ResetTimer()
	wg.Go(func() {
		alone, errs[0] = openLoop(b.N, func() error { return get(b.Context(), direct, "/items/sand") })
	})
	wg.Go(func() {
		through, errs[1] = openLoop(b.N, func() error { return get(b.Context(), routed, "/services/stock/items/sand") })
	})
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			b.Fatal(err)
		}
	}
	inMs := func(micros int64) float64 { return float64(micros) / 1000 }
	b.ReportMetric(inMs(alone.ValueAtQuantile(99)), "direct-p99-ms")
	b.ReportMetric(inMs(through.ValueAtQuantile(99)), "routed-p99-ms")
	b.ReportMetric(inMs(through.ValueAtQuantile(99)-alone.ValueAtQuantile(99)), "added-p99-ms")
	b.ReportMetric(inMs(through.ValueAtQuantile(50)-alone.ValueAtQuantile(50)), "added-p50-ms")
}

// openLoop calls a function at a fixed rate, whether or not earlier calls have ended, and returns the times taken.
func openLoop(count int, call func() error) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / overheadRate)
	defer tick.Stop()
	for range count {
		<-tick.C
		wg.Go(func() {
			began := time.Now()
			err := call()
			elapsed := time.Since(began)
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
func get(ctx context.Context, cl *Caller, path string) error {
	rp, err := cl.Do(ctx, http.MethodGet, path, nil)
	if err == nil && rp.Status != http.StatusOK {
		err = fmt.Errorf("status %d", rp.Status)
	}
	return err
}

// BenchmarkTokens measures the relay of streamed tokens through agent and entry: the processor time of the whole process,
// with the engine and the caller in it, for each token.
func BenchmarkTokens(b *testing.B) {
	st := newSite(b, siteOptions{
		engines: 1,
		entries: 1,
		speed:   fake.EngineSpeed{PrefillRate: 1e9, BlockTokens: 50, CacheBlocks: 100},
	})
	sm := &streamed{}
	b.ResetTimer()
	_, err := st.caller(0).Stream(b.Context(), http.MethodPost, "/v1/completions", streamBody("tokens", b.N), func(ev Event) bool {
		sm.take(ev)
		return true
	})
	if err != nil || sm.events != b.N {
		b.Fatalf("%d of %d tokens, %v", sm.events, b.N, err)
	}
}
