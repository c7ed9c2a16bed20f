package cmds

import (
	"testing"
	"time"

	"shallotcleat/core/quota"
)

// Settings that a deployment lacks are rendered as nothing, or as a unit without a number; they must not keep a gate from starting, and leave the limits
// of workspaces unenforced.
func TestMissingQuotaSettings(t *testing.T) {
	for _, tt := range []struct {
		window, overage, slack string
		want                   quota.Bounds
		problems               int
	}{
		{"", "", "", quota.Bounds{}, 0},
		{"s", "", "", quota.Bounds{}, 0},
		{"8s", "0.1", "140000", quota.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 140_000}, 0},
		{"8s", "", "", quota.Bounds{Window: 8 * time.Second}, 0},
		{"8", "-1", "NaN", quota.Bounds{}, 3},
	} {
		var vd validator
		cm := gateCommand{QuotaWindow: tt.window, QuotaOverage: tt.overage, QuotaSlack: tt.slack}
		got := cm.quotaBounds(&vd)
		if len(vd.problems) != tt.problems || tt.problems == 0 && got != tt.want {
			t.Errorf("%q, %q, %q: got %+v with problems %q", tt.window, tt.overage, tt.slack, got, vd.problems)
		}
	}
}
