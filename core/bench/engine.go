package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotcleat/core/admit"
	"shallotcleat/core/prefix"
)

// engine models a model server: one prompt at a time is computed, checks first, and then its tokens are generated.
type engine struct {
	claimed float64
	actual  float64
	cache   *lru.LRU[prefix.Key, struct{}]
	alive   bool
	born    uint64

	computing *job
	queues    [2][]*job
	// pending counts the prompt tokens that are expected to be computed for the jobs that wait or are computed.
	pending int
	// rate is the agent's estimate.
	rate admit.PrefillRate
}

// job is a request at an engine; its counts are in prompt tokens.
type job struct {
	call    *call
	server  int
	arrived time.Duration
	// guess is what the entry believes to be cached, and from the arrival on what is expected to be computed.
	guess int
	// ahead is what was expected to be computed before the job's first token, its own part included.
	ahead int
	// cached and missing are known when the engine begins to compute.
	cached  int
	missing int
}

func newEngine(rate float64, pieces int) *engine {
	cache, err := lru.NewLRU[prefix.Key, struct{}](pieces, nil)
	if err != nil {
		panic(err) // The size is a constant of the deployment.
	}
	en := &engine{claimed: rate, actual: rate, cache: cache, alive: true, born: 1}
	en.rate.SetAdvertised(rate)
	return en
}

// lookup returns the cached tokens of a prompt and caches its pieces.
func (en *engine) lookup(cl *call) int {
	cached, hit := 0, true
	for _, key := range cl.keys {
		_, ok := en.cache.Get(key)
		hit = hit && ok
		if hit {
			cached += pieceTokens
			continue
		}
		en.cache.Add(key, struct{}{})
	}
	return cached
}

// take returns the next job to compute, checks first.
func (en *engine) take() *job {
	for class := range en.queues {
		if len(en.queues[class]) > 0 {
			jb := en.queues[class][0]
			en.queues[class] = en.queues[class][1:]
			return jb
		}
	}
	return nil
}

func (en *engine) put(jb *job) {
	class := 1
	if jb.call.check {
		class = 0
	}
	jb.guess = max(jb.call.tokens-jb.guess, 0)
	en.pending += jb.guess
	jb.ahead = en.pending
	en.queues[class] = append(en.queues[class], jb)
}

// wait is the agent's word on the time until a new prompt would be computed.
func (en *engine) wait(now time.Duration) time.Duration {
	return seconds(float64(en.pending) / en.rate.Estimate(epochTime.Add(now)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
