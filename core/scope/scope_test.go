package scope

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// The salt under which parts are cached tells their weight version and scope, whatever the name of the workspace is.
func TestSalt(t *testing.T) {
	scopes := []Scope{{}, sharedScope([]string{"walled"}), sharedScope([]string{"a", "b"})}
	for _, name := range []string{"walled", "a/b", "", "+", "north ", "v7/x", "a=b"} {
		scopes = append(scopes, Own(name))
	}
	for _, sc := range scopes {
		if version, got, ok := ParseSalt(sc.Salt(7)); version != 7 || got != sc || !ok {
			t.Errorf("scope %q: got version %d, scope %q, %t", sc, version, got, ok)
		}
	}
	for _, salt := range []string{"", "v", "rid-1", "v-1", "7", "v/walled", "v1x", CallSalt("walled", "id-1")} {
		if _, _, ok := ParseSalt(salt); ok {
			t.Errorf("salt %q was parsed", salt)
		}
	}
}

// No two scopes, weight versions, or calls of unknown versions have the same salt, and no two parts the same key, whatever names operators
// and callers choose.
func TestSaltsAndKeysDiffer(t *testing.T) {
	names := []string{"", "a", "b", "ab", "a/b", "/", "//", "+", "=", "a+b", "a%2Fb", "a b", "a ", " a", "v1", "v1/a", "ä", "a\nb", "a\x00b"}
	var scopes []Scope
	scopes = append(scopes, Scope{})
	for _, name := range names {
		scopes = append(scopes, Own(name), sharedScope([]string{name}))
	}
	scopes = append(scopes, sharedScope([]string{"a", "b"}), sharedScope([]string{"", "ab"}))
	salts, keys := make(map[string]string), make(map[uint64]string)
	add := func(salt, what string) {
		if other, ok := salts[salt]; ok {
			t.Errorf("%s and %s share the salt %q", other, what, salt)
		}
		salts[salt] = what
		for _, char := range []byte(salt) {
			if char <= ' ' || char > '~' {
				t.Errorf("%s: the salt %q can change in a header", what, salt)
			}
		}
	}
	for i, sc := range scopes {
		for version := range uint64(3) {
			add(sc.Salt(version), fmt.Sprintf("scope %d %q, version %d", i, sc, version))
		}
		for _, model := range []string{"m", "m/n"} {
			key := sc.PartKey(model, "1f")
			if other, ok := keys[key]; ok {
				t.Errorf("%s and model %s in scope %q share a key", other, model, sc)
			}
			keys[key] = fmt.Sprintf("model %s in scope %q", model, sc)
		}
	}
	for _, workspace := range names {
		for _, id := range names {
			add(CallSalt(workspace, id), fmt.Sprintf("call %q of %q", id, workspace))
		}
	}
}

// made is a part that a workspace's call made.
type made struct{ salt, workspace string }

// After any series of configurations that isolate workspaces and end that, seen late or not at all by some processes, no call under the newest
// configuration finds a part of another workspace if one of the two is isolated. Processes know no other configuration than their own.
func TestNoSharedPartsWithIsolatedWorkspaces(t *testing.T) {
	const workspaces, processes, changes = 5, 4, 400
	rnd := rand.New(rand.NewPCG(48, 8))
	isolated := make(map[string]bool)
	for i := range workspaces {
		isolated[fmt.Sprintf("w%d", i)] = false
	}
	known := make([]Sharing, processes)
	for i := range known {
		known[i] = NewSharing(isolated)
	}
	parts := make(map[made]bool)
	shared := 0
	for range changes {
		for range 1 + rnd.IntN(2) {
			name := fmt.Sprintf("w%d", rnd.IntN(workspaces))
			isolated[name] = !isolated[name]
		}
		newest := NewSharing(isolated)
		for i := range known {
			// The others lag behind, by any number of changes.
			if rnd.IntN(3) > 0 {
				known[i] = newest
			}
			for name := range isolated {
				salt := known[i].Of(name).Salt(1)
				for other := range isolated {
					if other == name || !parts[made{salt, other}] {
						continue
					}
					if !slices.Equal(known[i].Isolated(), newest.Isolated()) {
						continue
					}
					shared++
					if isolated[name] || isolated[other] {
						t.Fatalf("a call of %s (isolated: %t) finds parts of %s (%t)", name, isolated[name], other, isolated[other])
					}
				}
				parts[made{salt, name}] = true
			}
		}
	}
	if shared == 0 {
		t.Error("no parts were shared, so nothing was tested")
	}
}

// What isolates no workspace, and ends no isolation, leaves the shared parts in use; and a return to an earlier set of isolated workspaces
// leaves those in use that were made under it.
func TestScopeStaysWithSetOfIsolatedWorkspaces(t *testing.T) {
	before := NewSharing(map[string]bool{"north": false, "walled": true})
	for _, tt := range []struct {
		name     string
		isolated map[string]bool
		same     bool
	}{
		{"a workspace was added", map[string]bool{"north": false, "south": false, "walled": true}, true},
		{"a workspace was isolated", map[string]bool{"north": false, "south": true, "walled": true}, false},
		{"isolation ended", map[string]bool{"north": false, "walled": false}, false},
		{"another one is isolated", map[string]bool{"north": false, "south": true, "walled": false}, false},
	} {
		after := NewSharing(tt.isolated)
		if same := after.Of("north") == before.Of("north"); same != tt.same {
			t.Errorf("%s: the shared scope stays the same: %t, want %t", tt.name, same, tt.same)
		}
		if NewSharing(map[string]bool{"walled": true, "north": false}).Of("north") != before.Of("north") {
			t.Errorf("%s, and undone: the shared scope is another one", tt.name)
		}
	}
	if before.Of("removed") != Own("removed") {
		t.Error("a workspace that the configuration does not have shares with others")
	}
}

// BenchmarkSharing measures what a configuration with 3,800 workspaces costs, a tenth of them isolated.
func BenchmarkSharing(b *testing.B) {
	isolated := make(map[string]bool)
	for i := range 3800 {
		isolated[fmt.Sprint("workspace-", i)] = i%10 == 0
	}
	b.ReportAllocs()
	for range b.N {
		NewSharing(isolated)
	}
}

// BenchmarkSalt measures the salt of one request.
func BenchmarkSalt(b *testing.B) {
	sh := NewSharing(map[string]bool{"north": false, "walled": true})
	for range b.N {
		_ = sh.Of("north").Salt(7)
	}
}
