package place

import (
	"math"

	"shallotcleat/core/member"
	"shallotcleat/core/prefix"
)

// findHomeDepths finds for each server the number of leading prefixes of a prompt that it is a home for. All entries
// compute the same result as long as they observe the same request counts.
//
// Each prefix, from the shallowest on, narrows the servers to those with the highest rendezvous hashes for it; their
// number is the prefix's share of all requests, with some slack. A prefix with few requests has a single home; a hot one
// has several, which the deeper prefixes below it divide among themselves. All servers have equal weight whatever their
// speed: their capacity as homes is limited by memory, and the cost of queueing keeps requests from slow ones.
func findHomeDepths(sc *scratch, keys []prefix.Key) {
	subset := sc.subset
	for depth, key := range keys {
		count := int(math.Ceil(sc.shares[depth] * float64(len(sc.servers)) * homeSlackFactor))
		subset = narrow(subset, sc.servers, key, max(count, 1))
		for _, sd := range subset {
			sc.homeDepths[sd.index] = depth + 1
		}
	}
}

// scored is a server in a subset, with its rendezvous hash for the current prefix.
type scored struct {
	// index is that of the server in scratch.servers.
	index int
	score uint64
}

// narrow returns the count servers with the highest rendezvous hashes for a key, in no particular order.
func narrow(subset []scored, servers []*member.Server, key prefix.Key, count int) []scored {
	if len(subset) <= count {
		return subset
	}
	for i := range subset {
		subset[i].score = prefix.Mix(key, servers[subset[i].index].Hash())
	}
	selectHighest(subset, count)
	return subset[:count]
}

// selectHighest moves the count highest scores to the front by quickselect. Scores are effectively random, so the middle
// element is a good pivot.
func selectHighest(subset []scored, count int) {
	low, high := 0, len(subset)-1
	for low < high {
		pivot := subset[(low+high)/2].score
		left, right := low, high
		for left <= right {
			for subset[left].score > pivot {
				left++
			}
			for subset[right].score < pivot {
				right--
			}
			if left <= right {
				subset[left], subset[right] = subset[right], subset[left]
				left++
				right--
			}
		}
		switch {
		case count-1 <= right:
			high = right
		case count-1 >= left:
			low = left
		default:
			return
		}
	}
}
