package pick

import (
	"fmt"
	"testing"
	"time"

	"shallotcleat/core/scope"
)

// A full table forgets the key that was set the longest ago, and keys that are outdated leave as others come.
func TestUseTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	ut := newUseTable[int, int](100, time.Minute)
	for i := range 250 {
		ut.set(now, i, i)
		ut.set(now, 0, 0)
		if ut.size() > 100 {
			t.Fatalf("%d entries", ut.size())
		}
	}
	if _, ok := ut.get(0); !ok {
		t.Error("the key that is set again and again was forgotten")
	}
	if _, ok := ut.get(150); ok {
		t.Error("the key that was set the longest ago is still there")
	}
	later := now.Add(time.Minute)
	for i := range 50 {
		ut.set(later, 1000+i, i)
	}
	if ut.size() != 50 {
		t.Errorf("%d entries after 50 new ones, want the new ones only", ut.size())
	}
}

// Parts under a scope that is no longer used leave the tables, of servers without calls too, while those in use stay.
func TestPartsOfUnusedScopesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a", "a"))
	send := func(now time.Time, sc scope.Scope, subject string) {
		sendTo(pk, now, NewCall("chat", testModel, sc, []Part{NewPart(subject, 800), NewPart("own", 250)}, 1050, false))
	}
	for i := range 3 * forgottenPerSweep {
		send(now, scope.Own("former"), fmt.Sprint(i))
	}
	if pk.knownParts() < 2*forgottenPerSweep {
		t.Fatalf("%d parts are known", pk.knownParts())
	}
	for range 20 {
		now = now.Add(reuseTTL / 15)
		send(now, scope.Scope{}, "present")
		pk.ForgetUnused(now)
	}
	if pk.knownParts() > 3 {
		t.Errorf("%d parts are known, want those in use only", pk.knownParts())
	}
}

// knownParts returns how many parts the picker holds for all servers.
func (pk *Picker) knownParts() int {
	count := 0
	for _, st := range pk.states {
		count += st.prefixes.size()
	}
	return count
}

// BenchmarkParts measures the recording of a call and of a peer's hints, by the number of parts of its prompt, none of which comes twice, and by
// how many parts were recorded before.
func BenchmarkParts(b *testing.B) {
	for _, known := range []int{1000, 100_000} {
		for _, count := range []int{3, 100, 1800} {
			b.Run(fmt.Sprintf("%d-of-%d", count, known), func(b *testing.B) {
				pk := New("a", time.Minute, 1)
				pk.SetView(viewOf("a"))
				now, next := time.Unix(1000, 0), 0
				call := func(count int) {
					parts := make([]Part, count+1)
					for i := range parts {
						next++
						parts[i] = NewPart(fmt.Sprint(next), 1)
					}
					sendTo(pk, now, NewCall("chat", testModel, scope.Scope{}, parts, count+1, false))
					pk.ApplyHints(now, pk.TakeHints())
				}
				for next < known {
					call(100)
				}
				b.ResetTimer()
				for range b.N {
					call(count)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/part")
			})
		}
	}
}
