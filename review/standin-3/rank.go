package main

import (
	"encoding/binary"
	"math"
	"math/bits"
	"sort"
)

// Constants of XXH64.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

// xxh64 returns the XXH64 hash of a text with seed 0.
func xxh64(text string) uint64 {
	data, length := []byte(text), uint64(len(text))
	var hash uint64
	round := func(acc, input uint64) uint64 { return bits.RotateLeft64(acc+input*prime2, 31) * prime1 }
	if len(data) >= 32 {
		p1, p2 := prime1, prime2
		v1, v2, v3, v4 := p1+p2, p2, uint64(0), -p1
		for ; len(data) >= 32; data = data[32:] {
			v1, v2 = round(v1, binary.LittleEndian.Uint64(data)), round(v2, binary.LittleEndian.Uint64(data[8:]))
			v3, v4 = round(v3, binary.LittleEndian.Uint64(data[16:])), round(v4, binary.LittleEndian.Uint64(data[24:]))
		}
		hash = bits.RotateLeft64(v1, 1) + bits.RotateLeft64(v2, 7) + bits.RotateLeft64(v3, 12) + bits.RotateLeft64(v4, 18)
		for _, value := range []uint64{v1, v2, v3, v4} {
			hash = (hash^round(0, value))*prime1 + prime4
		}
	} else {
		hash = prime5
	}
	hash += length
	for ; len(data) >= 8; data = data[8:] {
		hash = bits.RotateLeft64(hash^round(0, binary.LittleEndian.Uint64(data)), 27)*prime1 + prime4
	}
	if len(data) >= 4 {
		hash = bits.RotateLeft64(hash^uint64(binary.LittleEndian.Uint32(data))*prime1, 23)*prime2 + prime3
		data = data[4:]
	}
	for _, char := range data {
		hash = bits.RotateLeft64(hash^uint64(char)*prime5, 11) * prime1
	}
	hash = (hash ^ hash>>33) * prime2
	hash = (hash ^ hash>>29) * prime3
	return hash ^ hash>>32
}

// ranked returns addresses of gates with equal processor time in the order in which the gates themselves rank them for a key.
func ranked(addresses []string, key string) []string {
	score := func(address string) float64 {
		return -1 / math.Log((float64(xxh64(address+"/"+key)>>11)+0.5)/(1<<53))
	}
	out := append([]string{}, addresses...)
	sort.Slice(out, func(i, j int) bool { return score(out[i]) > score(out[j]) })
	return out
}
