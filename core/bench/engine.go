package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotcleat/core/admit"
	"shallotcleat/core/prefix"
)

// engine models a model server: one prompt at a time is computed, checks first, and then its tokens are generated.
type engine struct {
	advertisedRate float64
	actualRate     float64
	cache          *lru.LRU[prefix.Key, struct{}]
	alive          bool
	incarnation    uint64

	prefilling *job
	queues     [2][]*job
	// pending counts the prompt tokens that are expected to be computed for the jobs that wait or are computed.
	pendingTokens int
	// rate is the agent's estimate.
	rateEstimate admit.PrefillRate
}

// job is a request at an engine; its counts are in prompt tokens.
type job struct {
	request *request
	server  int
	arrived time.Duration
	// guess is what the entry believes to be cached, and from the arrival on what is expected to be computed.
	expectedTokens int
	// ahead is what was expected to be computed before the job's first token, its own part included.
	queuedTokens int
	// cached and missing are known when the engine begins to compute.
	cachedTokens   int
	uncachedTokens int
}

func newEngine(prefillRate float64, cachePieces int) *engine {
	cache, err := lru.NewLRU[prefix.Key, struct{}](cachePieces, nil)
	if err != nil {
		panic(err) // The size is a constant of the deployment.
	}
	en := &engine{advertisedRate: prefillRate, actualRate: prefillRate, cache: cache, alive: true, incarnation: 1}
	en.rateEstimate.SetAdvertised(prefillRate)
	return en
}

// lookup returns the cached tokens of a prompt and caches its pieces.
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

// take returns the next job to compute, checks first.
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

// wait is the agent's word on the time until a new prompt would be computed.
func (en *engine) queueWait(now time.Duration) time.Duration {
	return seconds(float64(en.pendingTokens) / en.rateEstimate.Estimate(epochTime.Add(now)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
