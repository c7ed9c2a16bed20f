package route

import (
	"fmt"
	"testing"
)

func testTable() *Table {
	return Compile(Spec{
		Version: 3,
		Routes: []RouteSpec{
			{Name: "short", Host: "a", Prefix: "/x/", TrafficSplit: []WeightedService{{Service: "one", Weight: 1}}, Priority: 2},
			{Name: "long", Host: "a", Prefix: "/x/y/", TrafficSplit: []WeightedService{{Service: "one", Weight: 90},
				{Service: "two", Weight: 10}}},
			{Name: "open", Host: "b", Prefix: "/x/", Anonymous: true, Stream: true, Resumable: true},
		},
		Services: []ServiceSpec{{Name: "one"}, {Name: "two", Engine: true}},
		Workspaces: []WorkspaceSpec{{Name: "north", Keys: []string{"k1", "k2"}, Priority: 5, HasPriority: true},
			{Name: "south", Keys: []string{"k3"}}},
	})
}

// The route with the longest matching prefix wins.
func TestMatch(t *testing.T) {
	tb := testTable()
	tests := []struct{ host, path, want string }{
		{"a", "/x/1", "short"},
		{"a", "/x/y/1", "long"},
		{"a", "/x/y", "short"},
		{"a", "/x", ""},
		{"b", "/x/y/1", "open"},
		{"c", "/x/1", ""},
	}
	for _, tt := range tests {
		got := ""
		if rt := tb.Match(tt.host, tt.path); rt != nil {
			got = rt.Name()
		}
		if got != tt.want {
			t.Errorf("%s%s: route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// A key identifies its workspace, and the workspace's priority overrides that of the route.
func TestAuthenticate(t *testing.T) {
	tb := testTable()
	rt := tb.Match("a", "/x/1")
	if ws := tb.Authenticate(rt, "k2"); ws == nil || ws.Name() != "north" || ws.Priority(rt) != 5 {
		t.Errorf("key k2: workspace %v, want north with priority 5", ws)
	}
	if ws := tb.Authenticate(rt, "k3"); ws == nil || ws.Priority(rt) != 2 {
		t.Errorf("key k3: workspace %v, want priority 2", ws)
	}
	if ws := tb.Authenticate(rt, "none"); ws != nil {
		t.Errorf("unknown key: workspace %q, want nil", ws.Name())
	}
	if ws := tb.Authenticate(tb.Match("b", "/x/1"), ""); ws == nil || ws.Name() != "" {
		t.Errorf("anonymous route: workspace %v, want the anonymous workspace", ws)
	}
}

// A traffic split maps the same request id to the same service and gives each service its share.
func TestTrafficSplit(t *testing.T) {
	rt := testTable().Match("a", "/x/y/1")
	counts := make(map[string]int)
	const calls = 10_000
	for i := range calls {
		id := fmt.Sprint("id-", i)
		name := rt.Service(id)
		if name != rt.Service(id) {
			t.Fatalf("id %s maps to two services", id)
		}
		counts[name]++
	}
	if count := counts["two"]; count < calls*8/100 || count > calls*12/100 {
		t.Errorf("service two gets %d of %d calls, want a tenth", count, calls)
	}
}

// Calls of routes marked at most once, and streams that cannot be resumed, must not run more than once.
func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		spec RouteSpec
		want bool
	}{
		{RouteSpec{}, false},
		{RouteSpec{AtMostOnce: true}, true},
		{RouteSpec{Stream: true}, true},
		{RouteSpec{Stream: true, Resumable: true}, false},
	}
	for _, tt := range tests {
		if rt := (&Route{spec: tt.spec}); rt.AtMostOnce() != tt.want {
			t.Errorf("%+v: AtMostOnce() = %t", tt.spec, rt.AtMostOnce())
		}
	}
}
