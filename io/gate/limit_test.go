package gate

import (
	"testing"
	"time"

	"shallotcleat/core/quota"
)

// The gates' parts of a server's limit follow their ranks; a gate takes the place of one that refuses connections at once, of a silent one later, and
// one that is not listed is never the first.
func TestShareOfLimitFollowsRank(t *testing.T) {
	nodes := []Node{{Role: RoleGate, Address: "a"}, {Role: RoleGate, Address: "b"}, {Role: RoleGate, Address: "c"}}
	now := time.Now()
	ranked := newTestGateList(t, nodes).Ranked("limit/s")
	for _, tt := range []struct {
		name    string
		address string
		listed  []Node
		away    map[string]awayGate
		want    float64
	}{
		{"first", ranked[0], nodes, nil, quota.Share(0, 3)},
		{"second", ranked[1], nodes, nil, quota.Share(1, 3)},
		{"third", ranked[2], nodes, nil, quota.Share(2, 3)},
		{"first refuses", ranked[1], nodes, map[string]awayGate{ranked[0]: {since: now, refuses: true}}, quota.Share(0, 3)},
		{"first silent", ranked[1], nodes, map[string]awayGate{ranked[0]: {since: now}}, quota.Share(1, 3)},
		{"first silent for long", ranked[1], nodes, map[string]awayGate{ranked[0]: {since: now.Add(-promotionDelay)}}, quota.Share(0, 3)},
		{"not listed", "d", nodes, nil, quota.Share(3, 3)},
		{"no list", "d", nil, nil, quota.Share(1, 0)},
	} {
		gt := &Gate{opts: Options{PeerAddress: tt.address}, gateList: newTestGateList(t, tt.listed)}
		ls := newLimitSharing(gt)
		ls.away = tt.away
		if got := ls.share(now, "s"); got != tt.want {
			t.Errorf("%s: got %g, want %g", tt.name, got, tt.want)
		}
	}
}
