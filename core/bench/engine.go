package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotcleat/core/admit"
	"shallotcleat/core/prefix"
)

// engine simulates a model server. It prefills one prompt at a time, those of short requests first.
type engine struct {
	advertisedRate float64
	actualRate     float64
	cache          *lru.LRU[prefix.Key, struct{}]
	alive          bool
	incarnation    uint64

	prefilling *job
	queues     [2][]*job
	// pendingTokens is the expected number of prompt tokens to compute for the queued jobs and the one in prefill.
	pendingTokens int
	// rateEstimate is the agent's estimate of the prefill rate.
	rateEstimate admit.PrefillRate
}

// job is a request that was sent to an engine; its counts are in prompt tokens.
type job struct {
	request *request
	server  int
	arrived time.Duration
	// expectedTokens is the number of cached tokens that the entry expects; enqueue replaces it by the number of tokens
	// that the engine is expected to compute.
	expectedTokens int
	// queuedTokens is the expected number of tokens to compute before the job's first token, its own included.
	queuedTokens int
	// cachedTokens and uncachedTokens are set when the prefill starts.
	cachedTokens   int
	uncachedTokens int
}

func newEngine(prefillRate float64, cachePieces int) *engine {
	cache, err := lru.NewLRU[prefix.Key, struct{}](cachePieces, nil)
	if err != nil {
		panic(err) // NewLRU rejects only sizes below one; the sizes of all deployments are positive.
	}
	en := &engine{advertisedRate: prefillRate, actualRate: prefillRate, cache: cache, alive: true, incarnation: 1}
	en.rateEstimate.SetAdvertised(prefillRate)
	return en
}

// lookUpAndCache returns the number of leading tokens of the prompt that are cached and caches all of its pieces.
func (en *engine) lookUpAndCache(rq *request) int {
	cachedTokens, hit := 0, true
	for _, key := range rq.keys {
		_, ok := en.cache.Get(key)
		hit = hit && ok
		if hit {
			cachedTokens += pieceTokens
			continue
		}
		en.cache.Add(key, struct{}{})
	}
	return cachedTokens
}

// dequeue removes and returns the next job, those of short requests first, or returns nil if none is queued.
func (en *engine) dequeue() *job {
	for class := range en.queues {
		if len(en.queues[class]) > 0 {
			jb := en.queues[class][0]
			en.queues[class] = en.queues[class][1:]
			return jb
		}
	}
	return nil
}

// enqueue appends the job to the queue of its class.
func (en *engine) enqueue(jb *job) {
	class := 1
	if jb.request.short {
		class = 0
	}
	jb.expectedTokens = max(jb.request.promptTokens-jb.expectedTokens, 0)
	en.pendingTokens += jb.expectedTokens
	jb.queuedTokens = en.pendingTokens
	en.queues[class] = append(en.queues[class], jb)
}

// queueWait returns the time until the prefill of a new prompt would start, as the agent estimates it.
func (en *engine) queueWait(now time.Duration) time.Duration {
	return seconds(float64(en.pendingTokens) / en.rateEstimate.Estimate(epochTime.Add(now)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
