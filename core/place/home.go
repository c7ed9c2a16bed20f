package place

import (
	"math"

	"shallotcleat/core/member"
	"shallotcleat/core/prefix"
)

// findLevels finds of each server for how many leading prefixes of a prompt it is at home, which all entries compute
// alike from what they see of the heat.
//
// Each prefix, from the shallowest on, narrows the servers to those with the highest rendezvous hashes for it, as many
// as make up its share of all requests with some slack. A prefix that few requests share has a single home; a hot one
// has several, and the deeper prefixes below it divide these among themselves. Servers weigh the same whatever their
// speed: what bounds them as homes is their memory, and the cost of a wait keeps work from slow ones.
func findLevels(sc *scratch, keys []prefix.Key) {
	subset := sc.subset
	for depth, key := range keys {
		count := int(math.Ceil(sc.shares[depth] * float64(len(sc.servers)) * homeSlackFactor))
		subset = narrow(subset, sc.servers, key, max(count, 1))
		for _, sd := range subset {
			sc.levels[sd.index] = depth + 1
		}
	}
}

// scored is a server in a subset, with its rendezvous hash for the prefix in question.
type scored struct {
	index int
	score uint64
}

// narrow returns the given number of servers with the highest rendezvous hashes for a key, in no order.
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

// selectHighest moves the highest scores to the front by quickselect; scores are as good as random, hence the element
// in the middle is a fair pivot.
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
