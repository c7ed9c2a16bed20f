package watch

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"shallotcleat/core/config"
	"shallotcleat/io/wire"
)

// newSyncedPair returns two processes with the same configuration in force.
func newSyncedPair(b *testing.B) (*fleetNode, *fleetNode) {
	fl := newFleet(2, 0, 0)
	if _, err := fl.apply(0, "ordinary"); err != nil {
		b.Fatal(err)
	}
	for _, nd := range fl.nodes {
		nd.start()
	}
	fl.clock.Advance(propagationLimit)
	return fl.nodes[0], fl.nodes[1]
}

// BenchmarkExchange measures the time and bytes of one exchange between processes with the same configuration in force.
func BenchmarkExchange(b *testing.B) {
	local, remote := newSyncedPair(b)
	peer := &lossyPeer{from: local, to: remote}
	rq := &wire.ExchangeRequest{Context: &wire.Context{Stamp: 1 << 58, Epoch: 4300}}
	reply, err := peer.Exchange(b.Context(), rq)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := local.watcher.SyncWith(b.Context(), peer); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(rq)+proto.Size(reply)), "B/exchange")
}

// declarationFor returns a declaration with 17 models and the given number of workspaces.
func declarationFor(workspaces int) []byte {
	var out strings.Builder
	out.WriteString("services:\n")
	for i := range 17 {
		fmt.Fprintf(&out, "  - {name: model-%d, kind: model, model: m%d, weights: v1}\n", i, i)
	}
	out.WriteString("workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&out, "  - {name: workspace-%04d, share: 2, key-sha256: %s}\n", i, config.Hash(fmt.Append(nil, i)))
	}
	out.WriteString("presets:\n  - {name: ordinary}\n  - {name: peak}\n")
	return []byte(out.String())
}

// BenchmarkSnapshot measures the parsing of a new declaration.
func BenchmarkSnapshot(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 3800} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			text := declarationFor(workspaces)
			hd := config.NewHead(1, config.Hash(text), "ordinary", "change")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := config.NewSnapshot(hd, text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "B/declaration")
		})
	}
}
