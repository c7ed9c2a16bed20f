package pick

import (
	"testing"
	"time"
)

// A call that runs long avoids a server that is to load weights soon; a short one does not.
func TestLongCallsAvoidServersThatLoadSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	short := promptCall("s", false)
	long := short.WithOutput(longOutputTokens + 1)
	home, _ := pk.Choose(now, long, nil)
	pk.SetShortOnly(now, home.Server().ID(), true)
	if ch, _ := pk.Choose(now, long, nil); ch.Server() == home.Server() {
		t.Error("a long call goes to the server")
	}
	if ch, _ := pk.Choose(now, short, nil); ch.Server() != home.Server() {
		t.Error("a short call leaves its home")
	}
	pk.SetShortOnly(now, home.Server().ID(), false)
	if ch, _ := pk.Choose(now, long, nil); ch.Server() != home.Server() {
		t.Error("the server is avoided after its load")
	}
}

// A prompt stays with the server that holds its shared parts while that is little busier than one that lacks them.
func TestPromptStaysWithItsCache(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	// The shared beginning is read in 3 ms.
	cl := NewCall("chat", testModel, "", []Part{NewPart("system", 300), NewPart("own", 50)}, 350, false)
	home, _ := pk.Choose(now, cl, nil)
	pk.SetUtilization(home.Server().ID(), NewUtilization(20, 0, 1<<20, 1<<20, now))
	if ch, _ := pk.Choose(now, cl, nil); ch.Server() != home.Server() {
		t.Error("the prompt is read elsewhere to save 20 ms")
	}
	pk.SetUtilization(home.Server().ID(), NewUtilization(200, 0, 1<<20, 1<<20, now))
	if ch, _ := pk.Choose(now, cl, nil); ch.Server() == home.Server() {
		t.Error("the prompt waits for 200 ms to save 3 ms of reading")
	}
}
