package pick

import (
	"fmt"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/scope"
	"shallotcleat/core/stage"
)

// stagedPicker returns a picker whose 17 engines have roles, the engines by role, and the time. Tenders report one waiting call of each engine.
func stagedPicker(t *testing.T) (*Picker, map[stage.Role][]*fleet.Server, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	rg := fleet.NewRegistry()
	for i := range 17 {
		rg.Put(fleet.NewServer(fmt.Sprint("engine-", i), fmt.Sprint("10.0.0.1:", 1000+i), "a", "chat", 32, false, 1,
			map[string]uint64{testModel: 1}).WithSoftwareVersion("v1"))
	}
	pk := New("a", time.Minute, 7)
	pk.SetView(rg.View())
	pk.SetStagedServices([]string{"chat"})
	for range 60 {
		now = now.Add(rolesInterval)
		reportWaiting(pk, now, pk.view.Servers("chat"), 1)
		ch, ok := pk.Choose(now, stagedCall(6610), nil)
		if !ok {
			t.Fatal("no server was chosen")
		}
		pk.StartAttempt(now, stagedCall(6610), ch).End(now, Rejected)
	}
	roles := make(map[stage.Role][]*fleet.Server)
	for _, sv := range pk.view.Servers("chat") {
		role := pk.stagings["chat"].planner.Role(sv.Hash())
		roles[role] = append(roles[role], sv)
	}
	if len(roles[stage.Decode]) == 0 || len(roles[stage.Prefill]) == 0 {
		t.Fatalf("no roles: %d engines run streams, %d read prompts", len(roles[stage.Decode]), len(roles[stage.Prefill]))
	}
	return pk, roles, now.Add(time.Second)
}

// reportWaiting reports a number of waiting calls of engines of deployment B.
func reportWaiting(pk *Picker, now time.Time, servers []*fleet.Server, waiting int) {
	for _, sv := range servers {
		pk.SetUtilization(sv.ID(), NewUtilization(waiting, waiting, 160_000, 172_000, now))
	}
}

func stagedCall(tokens int) Call {
	return NewCall("chat", testModel, scope.Scope{}, nil, tokens, true).WithOutput(42)
}

// Guards against long prompts at engines for streams while others are free, and against roles that forbid an engine: while all that read
// prompts are overloaded or gone, the engines for streams get them.
func TestRolesArePreferences(t *testing.T) {
	pk, roles, now := stagedPicker(t)
	prefers := func(role stage.Role, excluded map[string]bool) bool {
		ch, ok := pk.Choose(now, stagedCall(6610), excluded)
		return ok && pk.stagings["chat"].planner.Role(ch.Server().Hash()) == role
	}
	reportWaiting(pk, now, pk.view.Servers("chat"), 1)
	if !prefers(stage.Prefill, nil) {
		t.Error("a long prompt goes to an engine for streams while others are free")
	}
	excluded := make(map[string]bool)
	for _, sv := range roles[stage.Prefill] {
		excluded[sv.ID()] = true
	}
	if !prefers(stage.Decode, excluded) {
		t.Error("a long prompt gets no server while no engine that reads prompts is left")
	}
	reportWaiting(pk, now, roles[stage.Prefill], 12)
	if !prefers(stage.Decode, nil) {
		t.Error("a long prompt waits at an overloaded engine while engines for streams are free")
	}
}

// Guards against hand-overs to engines that cannot continue the run: of another version of the software or the weights, loading, full,
// leaving, or without a recent report; and against any for services without roles.
func TestHandOverDestination(t *testing.T) {
	terms, _ := stage.NewTerms(400*time.Millisecond, 327_680, 1500e9/8)
	tests := []struct {
		name   string
		change func(pk *Picker, now time.Time, destinations []*fleet.Server) Call
		want   bool
	}{
		{"free", func(*Picker, time.Time, []*fleet.Server) Call { return stagedCall(12_000).WithSoftwareVersion("v1") }, true},
		{"other software", func(*Picker, time.Time, []*fleet.Server) Call { return stagedCall(12_000).WithSoftwareVersion("v2") }, false},
		{"unknown software", func(*Picker, time.Time, []*fleet.Server) Call { return stagedCall(12_000).WithSoftwareVersion("") }, false},
		{"other weights", func(pk *Picker, now time.Time, destinations []*fleet.Server) Call {
			for _, sv := range destinations {
				pk.SetWeights(now, sv.ID(), testModel, 2, false)
			}
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
		{"loading", func(pk *Picker, now time.Time, destinations []*fleet.Server) Call {
			for _, sv := range destinations {
				pk.SetWeights(now, sv.ID(), testModel, 1, true)
			}
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
		{"no memory", func(pk *Picker, now time.Time, destinations []*fleet.Server) Call {
			for _, sv := range destinations {
				pk.SetUtilization(sv.ID(), NewUtilization(0, 0, 12_000, 172_000, now))
			}
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
		{"no slots", func(pk *Picker, now time.Time, destinations []*fleet.Server) Call {
			for _, sv := range destinations {
				pk.SetUtilization(sv.ID(), NewUtilization(32, 0, 160_000, 172_000, now))
			}
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
		{"leaving", func(pk *Picker, now time.Time, destinations []*fleet.Server) Call {
			for _, sv := range destinations {
				pk.MarkLeaving(now, sv)
			}
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
		{"no report", func(pk *Picker, now time.Time, destinations []*fleet.Server) Call {
			for _, sv := range destinations {
				pk.SetUtilization(sv.ID(), NewUtilization(0, 0, 160_000, 172_000, now.Add(-2*utilizationTTL)))
			}
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
		{"no roles", func(pk *Picker, _ time.Time, _ []*fleet.Server) Call {
			pk.SetStagedServices(nil)
			return stagedCall(12_000).WithSoftwareVersion("v1")
		}, false},
	}
	for _, tt := range tests {
		pk, roles, now := stagedPicker(t)
		reportWaiting(pk, now, roles[stage.Prefill], 4)
		reportWaiting(pk, now, roles[stage.Decode], 0)
		call := tt.change(pk, now, roles[stage.Decode])
		source := Choice{server: roles[stage.Prefill][0], version: 1}
		// The roles stay those of the last update.
		if sg := pk.stagings["chat"]; sg != nil {
			sg.updatedAt = now
		}
		ch, copyTime, ok := pk.HandOver(now, call, source, terms, false)
		if ok != tt.want {
			t.Errorf("%s: hand-over to %v", tt.name, ch)
		}
		if ok && (copyTime <= 0 || pk.stagings["chat"].planner.Role(ch.Server().Hash()) != stage.Decode) {
			t.Errorf("%s: hand-over to %s, copied in %v", tt.name, ch.Server().ID(), copyTime)
		}
	}
}
