package usage

import (
	"math/rand/v2"
	"testing"
)

// Whatever copies there are and in whichever order they come, each request is charged once and for the same.
func TestFoldOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var records []Record
		want := make(map[string]int64)
		for i := range 20 {
			request := string(rune('a' + i))
			tries := 1 + rng.IntN(2)
			entryWrote := rng.IntN(3) > 0
			for try := range tries {
				rc := Record{Request: request, Try: request + string(rune('0'+try)), Source: Agent, Output: 5}
				records = append(records, rc)
				if rng.IntN(2) == 0 {
					records = append(records, rc)
				}
			}
			want[request] = int64(tries) * 5
			if entryWrote {
				rc := Record{Request: request, Source: Entry, Output: want[request]}
				records = append(records, rc, rc)
			}
		}
		rng.Shuffle(len(records), func(left, right int) { records[left], records[right] = records[right], records[left] })
		charges := Aggregate(records)
		if len(charges) != len(want) {
			t.Fatalf("seed %d: %d charges for %d requests", seed, len(charges), len(want))
		}
		for _, ch := range charges {
			if _, _, output := ch.Tokens(); output != want[ch.Request()] {
				t.Errorf("seed %d: request %s is charged for %d tokens, not %d", seed, ch.Request(), output, want[ch.Request()])
			}
		}
	}
}
