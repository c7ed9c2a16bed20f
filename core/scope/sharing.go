package scope

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
)

// sharedHashBytes is the length of the hash of a set of workspaces in the text of a scope.
const sharedHashBytes = 16

// Sharing says in which scope each workspace of a configuration is; it is immutable. The zero Sharing is that of a configuration without
// workspaces.
type Sharing struct {
	// isolated holds whether each workspace of the configuration is isolated.
	isolated map[string]bool
	names    []string
	shared   Scope
}

// NewSharing returns the sharing among workspaces, by whether each is isolated.
func NewSharing(isolated map[string]bool) Sharing {
	sh := Sharing{isolated: maps.Clone(isolated)}
	for name, alone := range isolated {
		if alone {
			sh.names = append(sh.names, name)
		}
	}
	slices.Sort(sh.names)
	sh.shared = sharedScope(sh.names)
	return sh
}

// sharedScope returns the scope of all workspaces but the isolated ones, whose names are sorted. The names are hashed with their lengths, so
// that ("ab", "c") and ("a", "bc") differ.
func sharedScope(isolated []string) Scope {
	if len(isolated) == 0 {
		return Scope{}
	}
	hash := sha256.New()
	for _, name := range isolated {
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(name))))
		_, _ = hash.Write([]byte(name))
	}
	return Scope{text: sharedMark + hex.EncodeToString(hash.Sum(nil)[:sharedHashBytes])}
}

// Of returns the scope of a workspace. One that the configuration does not have shares with no other: it may have been isolated when its
// calls came.
func (sh Sharing) Of(workspace string) Scope {
	if alone, known := sh.isolated[workspace]; alone || !known {
		return Own(workspace)
	}
	return sh.shared
}

// Shared returns the scope of the workspaces that are not isolated, and of calls without a workspace.
func (sh Sharing) Shared() Scope { return sh.shared }

// Isolated returns the sorted names of the isolated workspaces.
func (sh Sharing) Isolated() []string { return sh.names }
