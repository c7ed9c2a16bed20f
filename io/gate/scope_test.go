package gate

import (
	"context"
	"errors"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/core/route"
)

// Guards against attempts whose connection is established only after a configuration has isolated a workspace, under the scope of before.
// Requests of plain services have no parts, and a run that is continued from a copy has read its prompt before.
func TestAttemptIsNotSentUnderOutdatedScope(t *testing.T) {
	now := time.Now()
	table := func(version uint64, isolated bool) *route.Table {
		return route.Compile(route.Spec{Version: version, Routes: []route.RouteSpec{{Host: "h", Prefix: "/"}},
			Workspaces: []route.WorkspaceSpec{{Name: "north", Keys: []string{"key"}, Isolated: isolated}}})
	}
	for _, tt := range []struct {
		name    string
		model   string
		copied  bool
		changed bool
		want    error
	}{
		{"no change", "m", false, false, nil},
		{"isolated", "m", false, true, errScopeChanged},
		{"continued from a copy", "m", true, true, nil},
		{"plain service", "", false, true, nil},
	} {
		gt := &Gate{picker: pick.New("a", time.Minute, 1)}
		registry := fleet.NewRegistry()
		registry.Put(fleet.NewServer("s1", "10.0.0.1:80", "a", "chat", 8, false, 1, map[string]uint64{"m": 1}))
		gt.picker.SetView(registry.View())
		rq := &request{routes: table(1, false), deadline: now.Add(time.Minute)}
		rq.workspace = rq.routes.Authenticate(rq.routes.Match("h", "/"), "key")
		rq.call = pick.NewCall("chat", tt.model, rq.routes.Scope(rq.workspace), nil, 100, false)
		ch, ok := gt.picker.Choose(now, rq.call, nil)
		if !ok {
			t.Fatal("no server was chosen")
		}
		if tt.copied {
			rq.call = rq.call.Copied()
		}
		gt.routes.Store(table(2, tt.changed))
		if err := gt.permit(context.Background(), rq, ch); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
		if tt.want == nil {
			continue
		}
		rq.updateScope(gt.routes.Load())
		if err := gt.permit(context.Background(), rq, ch); err != nil {
			t.Errorf("%s: with the new scope: %v", tt.name, err)
		}
	}
}
