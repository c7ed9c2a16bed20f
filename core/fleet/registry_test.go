package fleet

import (
	"testing"
	"time"
)

func listed(id, address string, draining bool) *Server {
	return NewServer(id, address, "a", "chat", 8, draining, 1, nil)
}

// An entry that vanished while the directory was away is believed until its server had time to come back.
func TestLapsedEntryIsBelievedAfterAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := NewRegistry()
	ls.Put(listed("one", "10.0.0.1:80", false))
	ls.Put(listed("two", "10.0.0.2:80", true))
	ls.RecordOutage(now)
	ls.Retain(now, nil)
	if ls.View().Server("one") == nil {
		t.Error("the entry was dropped at once after the outage")
	}
	if ls.View().Server("two") != nil {
		t.Error("a draining server is kept after its entry vanished")
	}
	ls.Expire(now.Add(returnGrace))
	if ls.View().Server("one") != nil {
		t.Error("the entry is kept beyond its grace")
	}
}

// Without an outage a vanished entry means that its server has left.
func TestVanishedEntryIsDropped(t *testing.T) {
	ls := NewRegistry()
	ls.Put(listed("one", "10.0.0.1:80", false))
	ls.Remove(time.Unix(1000, 0), "one")
	if ls.View().Server("one") != nil {
		t.Error("the server is kept")
	}
}

// An entry that came back in time stays.
func TestReturnedEntryStays(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := NewRegistry()
	ls.Put(listed("one", "10.0.0.1:80", false))
	ls.RecordOutage(now)
	ls.Remove(now, "one")
	ls.Put(listed("one", "10.0.0.1:80", false))
	ls.Expire(now.Add(time.Minute))
	if ls.View().Server("one") == nil {
		t.Error("the returned server was dropped")
	}
}

// A server that has started anew is known before its entry is, but one that has left is not brought back.
func TestFoundServer(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := NewRegistry()
	if ls.RecordStart(now, "left", "10.0.0.1:80", nil) {
		t.Error("a server without a listed predecessor was taken")
	}
	ls.Put(listed("old", "10.0.0.1:80", false))
	if !ls.RecordStart(now, "new", "10.0.0.1:80", nil) || ls.View().Server("new") == nil {
		t.Fatal("the server is not taken")
	}
	ls.Retain(now, map[string]bool{"old": true})
	if ls.View().Server("new") == nil {
		t.Error("the server was dropped since it is not listed yet")
	}
	ls.Expire(now.Add(foundLife))
	if ls.View().Server("new") != nil {
		t.Error("the server is believed for ever without an entry")
	}
}

// The entry of an engine's last start gets no calls once the process beside the engine has told of another start.
func TestFoundServerReplacesTheOneBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := NewRegistry()
	ls.Put(listed("old", "10.0.0.1:80", false))
	ls.Put(listed("other", "10.0.0.2:80", false))
	ls.RecordStart(now, "new", "10.0.0.1:80", nil)
	if ls.View().Server("old") != nil {
		t.Error("the last start of the engine is still taken for a server")
	}
	// The directory still lists the last start.
	ls.Put(listed("old", "10.0.0.1:80", false))
	ls.Retain(now, map[string]bool{"old": true, "other": true})
	if ls.View().Server("old") != nil || ls.View().Server("new") == nil || ls.View().Server("other") == nil {
		t.Error("a reading of the directory brought the last start back")
	}
	// The engine starts again under the id that it had first.
	ls.Put(NewServer("old", "10.0.0.1:80", "a", "chat", 8, false, 2, nil))
	if ls.View().Server("old") == nil {
		t.Error("a later start under the id is not taken")
	}
}

// A listed start is enough to know that the one before it at the address has ended.
func TestListedStartReplacesTheOneBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := NewRegistry()
	ls.Put(listed("old", "10.0.0.1:80", false))
	ls.Put(listed("new", "10.0.0.1:80", false))
	if !ls.RecordStart(now, "new", "10.0.0.1:80", nil) || ls.View().Server("old") != nil {
		t.Error("the last start of the engine is still taken for a server")
	}
	if ls.RecordStart(now, "new", "10.0.0.1:80", nil) {
		t.Error("the same word counts as a change")
	}
}
