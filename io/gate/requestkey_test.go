package gate

import (
	"testing"

	"shallotcleat/core/route"
)

// A request has one key however its caller writes the host, and no other key than its own whatever another caller sends.
func TestRequestKey(t *testing.T) {
	table := route.Compile(route.Spec{Routes: []route.RouteSpec{{Name: "r", Host: "a.example", Prefix: "/"}},
		Workspaces: []route.WorkspaceSpec{{Name: "north", Keys: []string{"n"}}, {Name: "south", Keys: []string{"s"}}}})
	key := func(apiKey, method, host, target, body string) uint64 {
		workspace := table.Authenticate(table.Match("a.example", "/"), apiKey)
		return requestKey(&request{workspace: workspace, method: method, host: host, target: target, body: [][]byte{[]byte(body)}})
	}
	want := key("n", "POST", "a.example", "/x?y", "body")
	if got := key("n", "POST", "A.example:80", "/x?y", "body"); got != want {
		t.Error("the key depends on how the host is written")
	}
	for _, got := range []uint64{key("s", "POST", "a.example", "/x?y", "body"), key("n", "GET", "a.example", "/x?y", "body"),
		key("n", "POST", "b.example", "/x?y", "body"), key("n", "POST", "a.example", "/x?", "ybody"), key("n", "POST", "a.example", "/x?y", "")} {
		if got == want {
			t.Error("another request has the same key")
		}
	}
}
