package pick

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that fill the memory of a gate with names of models (LOST): a response to a call of a model that nobody but the caller
// names leaves nothing behind, while one of a model that is listed, reported or announced is recorded.
func TestModelsThatOnlyCallersNameAreNotHeld(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a"))
	pk.SetWeights(now, "server-0", "reported", 1, false)
	pk.SetTargetVersion(now, "announced", 4)
	for i := range 10_000 {
		pk.ObserveWeights(now, "server-0", fmt.Sprint("invented-", i), 1)
		pk.ObserveWeights(now, "gone", testModel, 1)
	}
	for _, model := range []string{testModel, "reported", "announced"} {
		pk.ObserveWeights(now, "server-0", model, 3)
		if version, _ := pk.weightVersion(now, pk.view.Server("server-0"), model); version != 3 {
			t.Errorf("model %s: got version %d, want the observed 3", model, version)
		}
	}
	if held := len(pk.state("server-0").weights); held != 3 || len(pk.states) != 1 {
		t.Errorf("%d models at %d servers are held, want 3 at 1", held, len(pk.states))
	}
}
