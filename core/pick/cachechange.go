package pick

import "time"

// evictionLag is how late an eviction may be reported. A part that was sent to the server since may be cached again.
const evictionLag = 300 * time.Millisecond

// ApplyCacheChanges records the keys of the parts that a server has cached or evicted under a weight version, as its tender reports.
func (pk *Picker) ApplyCacheChanges(now time.Time, id string, version uint64, cached, evicted []uint64) {
	if len(cached)+len(evicted) == 0 {
		return
	}
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	for _, key := range evicted {
		pf := prefixKey{key: key, version: version}
		if us, ok := st.prefixes.get(pf); ok && now.Sub(us.sentAt) > evictionLag {
			st.prefixes.remove(pf)
		}
	}
	for _, key := range cached {
		pf := prefixKey{key: key, version: version}
		us, _ := st.prefixes.get(pf)
		us.prefilledAt, us.reported = now, true
		st.prefixes.set(now, pf, us)
	}
}
