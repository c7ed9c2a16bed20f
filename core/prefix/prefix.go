package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/scope"
)

// Key identifies a prefix of a prompt within one seed.
type Key uint64

// Seed gives the prefixes of different scopes, models, adapters and weight versions different keys.
type Seed struct {
	scope         scope.Scope
	model         string
	adapter       string
	weightVersion string
}

// NewSeed returns the seed of the prompts in a scope for one model, adapter and weight version.
func NewSeed(sc scope.Scope, model, adapter, weightVersion string) Seed {
	return Seed{scope: sc, model: model, adapter: adapter, weightVersion: weightVersion}
}

// sum hashes the fields of the seed with their lengths, so that ("ab", "c") and ("a", "bc") differ.
func (sd Seed) sum() uint64 {
	dg := xxhash.New()
	var size [8]byte
	for _, part := range []string{sd.scope.String(), sd.model, sd.adapter, sd.weightVersion} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = dg.Write(size[:])
		_, _ = dg.WriteString(part)
	}
	return dg.Sum64()
}

// Salt returns the cache salt that an engine receives with each request of this seed.
//
// Unlike keys, which only affect placement, the salt separates scopes inside an engine. It therefore contains the
// fields in full instead of a 64-bit hash, which could collide.
func (sd Seed) Salt() string {
	var out []byte
	for _, part := range []string{sd.scope.String(), sd.model, sd.adapter, sd.weightVersion} {
		out = binary.AppendUvarint(out, uint64(len(part)))
		out = append(out, part...)
	}
	return hex.EncodeToString(out)
}

// Keys returns one key for each whole piece of the prompt, the shallowest first; pieceBytes is the length of a piece.
//
// A last piece that is shorter has no key, since engines share whole blocks only.
func Keys(sd Seed, prompt string, pieceBytes int) []Key {
	keys := make([]Key, 0, len(prompt)/pieceBytes)
	chain := sd.sum()
	var link [8]byte
	dg := xxhash.New()
	for len(prompt) >= pieceBytes {
		binary.LittleEndian.PutUint64(link[:], chain)
		dg.Reset()
		_, _ = dg.Write(link[:])
		_, _ = dg.WriteString(prompt[:pieceBytes])
		chain = dg.Sum64()
		keys = append(keys, Key(chain))
		prompt = prompt[pieceBytes:]
	}
	return keys
}

// Mix returns a well-distributed hash of a key and a number, for rendezvous hashing.
func Mix(key Key, number uint64) uint64 {
	mixed := uint64(key) ^ (number * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}
