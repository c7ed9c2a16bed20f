package pick

import "time"

// announcementTTL is how long after an announcement peers are told of it.
const announcementTTL = time.Minute

// Announcement is a version of a model's weights and how long ago a process learned of it.
type Announcement struct {
	model   string
	version uint64
	age     time.Duration
}

// NewAnnouncement returns an announcement of a version of a model's weights that a process learned of age ago.
func NewAnnouncement(model string, version uint64, age time.Duration) Announcement {
	return Announcement{model: model, version: version, age: age}
}

// Model returns the name of the model.
func (an Announcement) Model() string { return an.model }

// Version returns the version of the model's weights.
func (an Announcement) Version() uint64 { return an.version }

// Age returns how long ago the process learned of the version.
func (an Announcement) Age() time.Duration { return an.age }

// Announcements returns the announcements that were observed within announcementTTL, for the peers.
func (pk *Picker) Announcements(now time.Time) []Announcement {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	var announcements []Announcement
	for model, versions := range pk.targets {
		for _, av := range versions {
			if age := now.Sub(av.announcedAt); !av.assumed && age < announcementTTL {
				announcements = append(announcements, NewAnnouncement(model, av.version, max(age, 0)))
			}
		}
	}
	return announcements
}

// ApplyAnnouncements records the announcements of a peer, which may have learned of them earlier than this process. It ignores those whose
// age is out of range. It reports whether any is newer than all that this process knows.
func (pk *Picker) ApplyAnnouncements(now time.Time, announcements []Announcement) (newer bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, an := range announcements {
		if an.age < 0 || an.age > announcementTTL {
			continue
		}
		newer = newer || an.version > pk.target(an.model)
		pk.addTarget(an.model, announcedVersion{version: an.version, announcedAt: now.Add(-an.age)})
	}
	return newer
}
