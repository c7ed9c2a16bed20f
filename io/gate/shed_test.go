package gate

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotcleat/core/share"
	"shallotcleat/io/wire"
)

// newWorkGate returns a gate that only measures work.
func newWorkGate(address string) *Gate {
	return &Gate{opts: Options{PeerAddress: address}, meter: share.NewMeter(), flow: share.NewFlow(1)}
}

// A gate must know a workspace's work at other gates, also of a gate in another zone, whose message comes with those that a peer passes on, and
// must not count its own work again if it comes back.
func TestWorkIsExchanged(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := newWorkGate("10.0.0.1:1"), newWorkGate("10.0.0.2:1")
	first.meter.Add(now, "stock", "flooding", 2, 300)
	first.flow.Served(now, "stock", 50*time.Millisecond)
	first.flow.Full(now, "stock")
	second.meter.Add(now, "stock", "usual", 2, 100)
	second.flow.Served(now, "stock", 50*time.Millisecond)
	sent := hintBatch{works: first.ownWork(now)}
	text, err := proto.Marshal(sent.message(now))
	if err != nil {
		t.Fatal(err)
	}
	received := &wire.CacheHints{}
	if err := proto.Unmarshal(text, received); err != nil {
		t.Fatal(err)
	}
	var relayed hintBatch
	relayed.add(decodeHints(now, received))
	second.applyWorks(now, relayed.works)
	first.applyWorks(now, relayed.works)
	if got := second.meter.FairShareRatio(now, "stock", "flooding"); math.Abs(got-1.5) > 0.01 {
		t.Errorf("the flooding workspace has %.2f times its share, want 1.5", got)
	}
	if got := first.meter.FairShareRatio(now, "stock", "flooding"); got > 1 {
		t.Errorf("a gate counts its own work twice: ratio %.2f", got)
	}
	if _, full := second.flow.Capacity(now, "stock", 8); !full {
		t.Error("a gate did not hear that the servers are full")
	}
	later := now.Add(3 * time.Second)
	second.meter.Add(later, "stock", "usual", 2, 100)
	if got := second.meter.FairShareRatio(later, "stock", "flooding"); got != 0 {
		t.Errorf("3 s after the last news of a gate its work still counts: ratio %.2f", got)
	}
}

// A message whose lists do not fit together, or with amounts that are no amounts, must do no harm.
func TestInvalidWorkIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	gt := newWorkGate("10.0.0.1:1")
	gt.meter.Add(now, "stock", "usual", 0, 100)
	gt.applyWorks(now, []*wire.GateWork{nil, {Gate: 1, Services: []uint64{1}, Indexes: []uint32{0, 1, math.MaxUint32}, Workspaces: []uint64{2, 3, 4},
		Ranks: []uint32{0, 1 << 31, 77}, Amounts: []float32{float32(math.NaN()), 5, float32(math.Inf(1))}}})
	if got := gt.meter.FairShareRatio(now, "stock", "usual"); got != 1 {
		t.Errorf("the only workspace has %.2f times its share, want 1", got)
	}
	works := gt.meter.Works(now, maxToldWorks)
	if len(works) != 1 {
		t.Errorf("the gate tells %d entries of its own work, want 1", len(works))
	}
}

// The size of a message is bounded, whatever the number of workspaces.
func TestWorkMessageIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	gt := newWorkGate("10.0.0.1:1")
	for i := range 3800 {
		gt.meter.Add(now, "stock", string(rune('a'+i%26))+time.Duration(i).String(), i%10, float64(1+i%100))
		gt.meter.Add(now, "chat", time.Duration(i%40).String(), 0, 1000)
	}
	batch := hintBatch{works: gt.ownWork(now)}
	size := proto.Size(batch.message(now))
	t.Logf("message of the work of 3,800 workspaces: %d bytes", size)
	if size > 600 {
		t.Errorf("the message has %d bytes, want at most 600", size)
	}
}
