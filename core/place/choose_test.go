package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"shallotcleat/core/member"
	"shallotcleat/core/prefix"
)

// now is the current time in the tests.
var now = time.Unix(1_000_000, 0)

// newTable returns a table of idle servers of several models in six zones.
func newTable(servers, models int) *member.Table {
	tb := member.NewTable()
	list := make([]*member.Server, 0, servers)
	for i := range servers {
		address := fmt.Sprintf("10.%d.%d.%d:7001", i/65536, i/256%256, i%256)
		list = append(list, member.NewServer(address, fmt.Sprintf("zone-%d", i%6), fmt.Sprintf("model-%d", i%models)))
	}
	tb.Replace(list)
	for i, sv := range list {
		st := member.NewStatus(1, 1, 1, 1, "v1", 0, float64(6000+6000*(i%4)), false)
		tb.RecordStatus(now, sv.Address(), st)
	}
	return tb
}

// newRequest returns a numbered request; those with the same number modulo 40 share their first five pieces.
func newRequest(number int) Request {
	var keys []prefix.Key
	chain := prefix.Key(number % 40)
	for depth := range 7 {
		if depth >= 5 {
			chain += prefix.Key(number << 8)
		}
		chain = prefix.Key(prefix.Mix(chain, uint64(depth+1)))
		keys = append(keys, chain)
	}
	return NewRequest("model-0", keys, 14_500, 2000, 0.5, "v1")
}

func bestAddress(cs *Chooser, tb *member.Table, rq Request) string {
	return cs.Rank(now, tb.View(), rq, 1)[0].Server().Address()
}

// trainedChooser returns a chooser that has placed many requests. It records where they went only once the request
// counts have settled, since earlier requests went to more servers than needed.
func trainedChooser(tb *member.Table, prompts int) *Chooser {
	cs := NewChooser("zone-0")
	for round := range 6 {
		for number := range prompts {
			rq := newRequest(number)
			address := bestAddress(cs, tb, rq)
			if round > 2 {
				cs.RecordCached(now, rq, address, 1)
			}
		}
	}
	return cs
}

// An entry that has just started places requests like the peer whose hot prefixes it received.
func TestWarmedEntryPlacesLikeItsPeer(t *testing.T) {
	const prompts = 200
	tb := newTable(20, 1)
	peer := trainedChooser(tb, prompts)
	fresh := NewChooser("zone-0")
	fresh.Warm(now, peer.HotPrefixes(now, 2000))
	for number := range prompts {
		rq := newRequest(number)
		if got, want := bestAddress(fresh, tb, rq), bestAddress(peer, tb, rq); got != want {
			t.Errorf("prompt %d: got server %s, the peer chooses %s", number, got, want)
		}
	}
}

// When a server is removed, few prompts of the other servers move. Another server replaces it as a home of shallow
// prefixes and becomes the home of some of the deeper prefixes below them, at most as many as the removed server's share
// times homeSlackFactor.
func TestHomesAreStableWhenServerIsRemoved(t *testing.T) {
	const removed = 7
	tb := newTable(20, 1)
	all := tb.View().Servers("model-0")
	remaining := append(append([]*member.Server{}, all[:removed]...), all[removed+1:]...)
	shares := []float64{0.2, 0.2, 0.1, 0.1, 0.1, 0.01, 0.01}
	home := func(servers []*member.Server, keys []prefix.Key) string {
		var sc scratch
		sc.reset(now, servers, newRequest(0))
		sc.shares = shares
		findHomeDepths(&sc, keys)
		for i, homeDepth := range sc.homeDepths {
			if homeDepth == len(keys) {
				return servers[i].Address()
			}
		}
		return ""
	}
	const prompts = 300
	moved := 0
	for number := range prompts {
		keys := newRequest(number).keys
		before, after := home(all, keys), home(remaining, keys)
		if before != all[removed].Address() && after != before {
			moved++
		}
	}
	if limit := int(prompts * homeSlackFactor / float64(len(all))); moved > limit {
		t.Errorf("%d of %d prompts moved, want at most %d", moved, prompts, limit)
	}
}

// Prefixes that an engine cached before its restart do not count as cached.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	tb := newTable(4, 1)
	cs := NewChooser("zone-0")
	rq := newRequest(1)
	address := bestAddress(cs, tb, rq)
	cs.RecordCached(now, rq, address, 1)
	if ch := cs.Rank(now, tb.View(), rq, 1)[0]; ch.CachedTokens() == 0 {
		t.Fatal("got no cached tokens after RecordCached")
	}
	tb.RecordStatus(now, address, member.NewStatus(2, 1, 2, 1, "v1", 0, 6000, false))
	for _, ch := range cs.Rank(now, tb.View(), rq, 4) {
		if ch.CachedTokens() != 0 {
			t.Errorf("%s: got %d cached tokens after the restart, want 0", ch.Server().Address(), ch.CachedTokens())
		}
	}
}

// BenchmarkRank measures one placement at several sizes of the fleet; docs/CAPACITY.md uses its slope.
func BenchmarkRank(b *testing.B) {
	for _, servers := range []int{100, 1000, 3100} {
		b.Run(fmt.Sprintf("replicas=%d", servers), func(b *testing.B) {
			tb := newTable(servers, 17)
			cs := NewChooser("zone-0")
			requests := make([]Request, 1024)
			for i := range requests {
				requests[i] = newRequest(i)
				cs.RecordCached(now, requests[i], bestAddress(cs, tb, requests[i]), 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				cs.Rank(now, tb.View(), requests[i%len(requests)], 1)
			}
		})
	}
}

// BenchmarkRecordStatus measures the handling of a reply's status.
func BenchmarkRecordStatus(b *testing.B) {
	for _, servers := range []int{100, 1000, 3100} {
		b.Run(fmt.Sprintf("replicas=%d", servers), func(b *testing.B) {
			tb := newTable(servers, 17)
			all := tb.View().All()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				st := member.NewStatus(2, 1, 1, 1, "v1", 0, 6000, false)
				tb.RecordStatus(now, all[i%len(all)].Address(), st)
			}
		})
	}
}

func TestSelectHighest(t *testing.T) {
	for size := 1; size < 60; size++ {
		subset := make([]scored, size)
		for i := range subset {
			subset[i] = scored{index: i, score: prefix.Mix(prefix.Key(i%17), uint64(size))}
		}
		count := 1 + size/3
		selectHighest(subset, count)
		lowest := subset[0].score
		for _, sd := range subset[:count] {
			lowest = min(lowest, sd.score)
		}
		for _, sd := range subset[count:] {
			if sd.score > lowest {
				t.Errorf("size %d: score %d is not selected, but %d is", size, sd.score, lowest)
			}
		}
	}
}

// BenchmarkMemory reports the bytes that an entry keeps at full size: the servers, and the hints at their limit.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		before := heapInUse()
		tb := newTable(3100, 17)
		withServers := heapInUse()
		cs := NewChooser("zone-0")
		for i := range maxHints {
			rq := Request{service: "model-0", keys: []prefix.Key{prefix.Key(prefix.Mix(prefix.Key(i), 3))}}
			cs.hints.countRequest(now, rq.keys, nil)
			for holder := range 2 {
				cs.RecordCached(now, rq, tb.View().Servers("model-0")[(i+holder)%180].Address(), 1)
			}
		}
		withHints := heapInUse()
		b.ReportMetric(float64(withServers-before)/1e6, "MB-servers")
		b.ReportMetric(float64(withHints-withServers)/1e6, "MB-hints")
		runtime.KeepAlive(tb)
		runtime.KeepAlive(cs)
	}
}

func heapInUse() uint64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
