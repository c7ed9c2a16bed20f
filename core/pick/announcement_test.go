package pick

import (
	"testing"
	"time"

	"shallotcleat/core/weight"
)

// The earliest observation of an announcement decides how long old weights are used, whichever process made it; an assumption made at a
// start yields to any observation.
func TestEarliestObservationOfAnnouncementHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	const grace = 12 * time.Second
	observed := func(version uint64, age time.Duration) func(*Picker) {
		return func(pk *Picker) {
			pk.ApplyAnnouncements(start, []Announcement{NewAnnouncement(testModel, version, age)})
		}
	}
	own := func(pk *Picker) { pk.SetTargetVersion(start, testModel, 2) }
	assumed := func(pk *Picker) { pk.InitTargetVersion(start, testModel, 2) }
	tests := []struct {
		name string
		acts []func(*Picker)
		// wantLeft is how long version 1 may still be used.
		wantLeft time.Duration
	}{
		{"peer earlier", []func(*Picker){own, observed(2, 5*time.Second)}, grace - 5*time.Second},
		{"peer earlier, told first", []func(*Picker){observed(2, 5*time.Second), own}, grace - 5*time.Second},
		{"peer later", []func(*Picker){observed(2, 5*time.Second), observed(2, time.Second)}, grace - 5*time.Second},
		{"assumed", []func(*Picker){assumed}, startupGrace + weight.ExpirySlack},
		{"assumed, then peer", []func(*Picker){assumed, observed(2, time.Second)}, grace - time.Second},
		{"peer, then assumed", []func(*Picker){observed(2, time.Second), assumed}, grace - time.Second},
		{"skipped version", []func(*Picker){func(pk *Picker) { pk.SetTargetVersion(start, testModel, 3) }, observed(2, 4*time.Second)}, grace - 4*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pk := New("a", grace, 1)
			for _, act := range tt.acts {
				act(pk)
			}
			end := start.Add(tt.wantLeft - expirySlack)
			if pk.WeightsExpired(end.Add(-time.Millisecond), testModel, 1) || !pk.WeightsExpired(end, testModel, 1) {
				t.Errorf("old weights do not expire %s after the start", tt.wantLeft)
			}
		})
	}
}

// Peers are told of observations, not of assumptions, and only for a while.
func TestAnnouncementsForPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	pk := New("a", 12*time.Second, 1)
	pk.InitTargetVersion(start, testModel, 2)
	pk.SetTargetVersion(start, testModel, 3)
	for _, tt := range []struct{ after, want time.Duration }{{time.Second, time.Second}, {announcementTTL, 0}} {
		var got time.Duration
		for _, an := range pk.Announcements(start.Add(tt.after)) {
			if an.Model() != testModel || an.Version() != 3 {
				t.Errorf("peers are told of version %d of %s", an.Version(), an.Model())
			}
			got = an.Age()
		}
		if got != tt.want {
			t.Errorf("age %s after %s, want %s", got, tt.after, tt.want)
		}
	}
}

// An age below zero, of a version that was announced after the time at which ages are taken, would
// expire old weights at all peers.
func TestAgesOutOfRangeExpireNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	pk := New("a", 12*time.Second, 1)
	pk.SetTargetVersion(start.Add(3*time.Millisecond), testModel, 2)
	for _, an := range pk.Announcements(start) {
		if an.Age() != 0 {
			t.Errorf("peers are told of an age of %s", an.Age())
		}
	}
	peer := New("a", 12*time.Second, 1)
	peer.ApplyAnnouncements(start, []Announcement{NewAnnouncement(testModel, 2, 1193*time.Hour), NewAnnouncement(testModel, 3, -time.Millisecond)})
	if peer.WeightsExpired(start, testModel, 1) {
		t.Error("old weights expire at once")
	}
}
