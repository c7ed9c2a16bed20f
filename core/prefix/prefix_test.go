package prefix

import (
	"strings"
	"testing"

	"shallotcleat/core/scope"
)

func TestSeedsHaveDistinctKeys(t *testing.T) {
	prompt := strings.Repeat("the same text ", 100)
	seeds := []Seed{
		NewSeed(scope.Own("mchanga"), "m", "", "v1"),
		NewSeed(scope.Own("hradek"), "m", "", "v1"),
		NewSeed(scope.Own("mchanga"), "m", "", "v2"),
		NewSeed(scope.Own("mchanga"), "m", "a", "v1"),
		NewSeed(scope.Own("mchanga"), "n", "", "v1"),
		NewSeed(scope.Own("mchang"), "am", "", "v1"),
	}
	owner := make(map[Key]int)
	salts := make(map[string]int)
	for i, sd := range seeds {
		for _, key := range Keys(sd, prompt, 64) {
			if other, ok := owner[key]; ok && other != i {
				t.Errorf("seeds %v and %v share a key", seeds[other], sd)
			}
			owner[key] = i
		}
		if other, ok := salts[sd.Salt()]; ok {
			t.Errorf("seeds %v and %v share a salt", seeds[other], sd)
		}
		salts[sd.Salt()] = i
	}
}

func TestKeysDependOnPrefix(t *testing.T) {
	sd := NewSeed(scope.Own("mchanga"), "m", "", "v1")
	short := Keys(sd, strings.Repeat("a", 256), 64)
	long := Keys(sd, strings.Repeat("a", 256)+strings.Repeat("b", 200), 64)
	if len(short) != 4 || len(long) != 7 {
		t.Fatalf("got %d and %d keys, want 4 and 7", len(short), len(long))
	}
	for i, key := range short {
		if long[i] != key {
			t.Errorf("piece %d: keys of prompts with the same prefix differ", i)
		}
	}
	if other := Keys(sd, "b"+strings.Repeat("a", 255), 64); other[3] == short[3] {
		t.Error("prompts with different prefixes have the same key")
	}
}

// BenchmarkKeys measures the keys of a prompt of 16,000 tokens.
func BenchmarkKeys(b *testing.B) {
	sd := NewSeed(scope.Own("mchanga"), "m", "", "v1")
	prompt := strings.Repeat("x", 64_000)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for range b.N {
		Keys(sd, prompt, 8000)
	}
}
