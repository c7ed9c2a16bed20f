package gate

import (
	"encoding/json"
	"fmt"
	"testing"

	"shallotcleat/io/feed"
)

func newTestGateList(t *testing.T, nodes []Node) *GateList {
	cp := feed.NewCopy("nodes")
	gl := NewGateList(cp)
	var rows []feed.Row
	for _, nd := range nodes {
		value, err := json.Marshal(nd)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, feed.NewRow(nd.Address, value, 1))
	}
	cp.Replace(rows, 1)
	return gl
}

// Gates with more processor time are ranked first for more keys, and the removal of a gate moves only its own keys.
func TestRankedByCapacity(t *testing.T) {
	const keys = 4000
	var nodes []Node
	for i := range 20 {
		capacity := 0.1
		if i < 4 {
			capacity = 0.8
		}
		nodes = append(nodes, Node{Role: RoleGate, Address: fmt.Sprint("gate-", i), Zone: fmt.Sprint("zone-", i%5), Capacity: capacity})
	}
	gl, smaller := newTestGateList(t, nodes), newTestGateList(t, nodes[1:])
	first := make(map[string]int)
	for i := range keys {
		key := fmt.Sprint("key-", i)
		ranked := gl.Ranked(key)
		first[ranked[0]]++
		if rest := smaller.Ranked(key); ranked[0] != "gate-0" && rest[0] != ranked[0] {
			t.Errorf("%s moved from %s to %s", key, ranked[0], rest[0])
		}
	}
	// 0.8 of a total of 4.8 cores is a sixth of the keys, 0.1 a forty-eighth.
	for address, want := range map[string]int{"gate-0": keys / 6, "gate-10": keys / 48} {
		if got := first[address]; got < want*7/10 || got > want*13/10 {
			t.Errorf("%s is first for %d keys, want about %d", address, got, want)
		}
	}
}

// Each other zone gets one relay, and another one while that is not usable.
func TestRelaysCoverEachOtherZone(t *testing.T) {
	var nodes []Node
	for i := range 30 {
		nodes = append(nodes, Node{Role: RoleGate, Address: fmt.Sprint("gate-", i), Zone: fmt.Sprint("zone-", i%3)})
	}
	gl := newTestGateList(t, nodes)
	relays := gl.Relays("zone-0", "me", func(string) bool { return true })
	if len(relays) != 2 {
		t.Fatalf("got relays %v, want one for each of two zones", relays)
	}
	other := gl.Relays("zone-0", "me", func(address string) bool { return address != relays[0] })
	if len(other) != 2 || other[0] == relays[0] || other[1] == relays[0] {
		t.Errorf("got relays %v while %s is not usable", other, relays[0])
	}
}
