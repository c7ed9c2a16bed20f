package origin

import "slices"

// History states where streams that may still be resumed can have begun. It is immutable. Gates keep it in the store, so that it outlives
// a loss of all of them.
type History struct {
	releases []string
	// opened are those of the releases at which streams may begin.
	opened        []string
	configVersion uint64
	digest        uint64
	changedHosts  []uint64
	allChanged    bool
}

// maxChangedHosts is the number of changed hosts above which all hosts count as changed, which bounds the size of a History.
const maxChangedHosts = 1000

// NewHistory returns a history. releases are those at which streams can have begun. digest is that of the routes of the
// configuration with the given version, and changedHosts are the keys of the hosts whose routes have changed lately, or all of them if
// allChanged is set.
func NewHistory(releases []string, configVersion, digest uint64, changedHosts []uint64, allChanged bool) History {
	hs := History{releases: sorted(releases), configVersion: configVersion, digest: digest, changedHosts: sorted(changedHosts), allChanged: allChanged}
	if len(hs.changedHosts) > maxChangedHosts {
		hs.changedHosts, hs.allChanged = nil, true
	}
	return hs
}

// WithOpened returns the history with those of its releases at which streams may begin.
func (hs History) WithOpened(opened []string) History {
	hs.opened = slices.DeleteFunc(sorted(opened), func(release string) bool { return !slices.Contains(hs.releases, release) })
	return hs
}

func sorted[T uint64 | string](list []T) []T {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

// Releases returns the releases in ascending order.
func (hs History) Releases() []string { return hs.releases }

// Opened returns those of the releases at which streams may begin, in ascending order.
func (hs History) Opened() []string { return hs.opened }

// ConfigVersion returns the version of the configuration that the digest belongs to.
func (hs History) ConfigVersion() uint64 { return hs.configVersion }

// Digest returns the digest of the routes of streams.
func (hs History) Digest() uint64 { return hs.digest }

// ChangedHosts returns the keys of the hosts whose routes have changed lately, in ascending order.
func (hs History) ChangedHosts() []uint64 { return hs.changedHosts }

// AllChanged reports whether the routes of any host may have changed lately.
func (hs History) AllChanged() bool { return hs.allChanged }

// equal reports whether two histories state the same.
func (hs History) equal(other History) bool {
	return slices.Equal(hs.releases, other.releases) && slices.Equal(hs.opened, other.opened) && hs.digest == other.digest && slices.Equal(hs.changedHosts, other.changedHosts) &&
		hs.allChanged == other.allChanged
}
