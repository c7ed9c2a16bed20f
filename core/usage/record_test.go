package usage

import (
	"math/rand/v2"
	"testing"
)

// Guards against double charges: copies of a record, the order of the records, and records from both the entry and the agents
// must not change what a request is charged for.
func TestAggregateChargesOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var records []Record
		want := make(map[string]int64)
		for i := range 20 {
			request := string(rune('a' + i))
			attempts := 1 + rng.IntN(2)
			hasEntryRecord := rng.IntN(3) > 0
			for attempt := range attempts {
				rc := Record{Request: request, Try: request + string(rune('0'+attempt)), Source: Agent, Output: 5}
				records = append(records, rc)
				if rng.IntN(2) == 0 {
					records = append(records, rc)
				}
			}
			want[request] = int64(attempts) * 5
			if hasEntryRecord {
				rc := Record{Request: request, Source: Entry, Output: want[request]}
				records = append(records, rc, rc)
			}
		}
		rng.Shuffle(len(records), func(left, right int) { records[left], records[right] = records[right], records[left] })
		charges := Aggregate(records)
		if len(charges) != len(want) {
			t.Fatalf("seed %d: got %d charges, want %d", seed, len(charges), len(want))
		}
		for _, ch := range charges {
			if _, _, output := ch.Tokens(); output != want[ch.Request()] {
				t.Errorf("seed %d: request %s is charged for %d tokens, want %d", seed, ch.Request(), output, want[ch.Request()])
			}
		}
	}
}
