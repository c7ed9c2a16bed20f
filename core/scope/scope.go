package scope

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Marks within salts. Names and ids are escaped, so that none of the marks can come from them.
const (
	// ownMark begins the text of the scope of one workspace.
	ownMark = "/"
	// sharedMark begins the text of the scope of all workspaces but some isolated ones.
	sharedMark = "+"
	// callMark separates the id from the workspace in the salt of a call that shares with no other.
	callMark = "="
)

// versionMark begins salts that name a weight version, callPrefix those of single calls.
const (
	versionMark = "v"
	callPrefix  = "r"
)

// Scope identifies a group of calls that share cached parts of prompts; scopes are comparable. The zero Scope is that of all workspaces
// while none is isolated.
type Scope struct{ text string }

// Own returns the scope of one workspace that shares with no other.
func Own(workspace string) Scope { return Scope{text: ownMark + url.QueryEscape(workspace)} }

// String returns the scope's text, which differs from that of any other scope.
func (sc Scope) String() string { return sc.text }

// Salt returns the text under which engines keep the scope's parts for a weight version.
func (sc Scope) Salt(version uint64) string {
	return versionMark + strconv.FormatUint(version, 10) + sc.text
}

// PartKey returns the key of a part of prompts for a model within the scope.
func (sc Scope) PartKey(model, id string) uint64 {
	return xxhash.Sum64String(model + "/" + sc.text + "/" + id)
}

// CallSalt returns a salt for one call of a workspace whose weight version is unknown. No call of another id or workspace has the same.
func CallSalt(workspace, callID string) string {
	return callPrefix + url.QueryEscape(callID) + callMark + url.QueryEscape(workspace)
}

// ParseSalt returns the weight version and the scope of a result of Salt; ok is false for other texts.
func ParseSalt(salt string) (version uint64, sc Scope, ok bool) {
	rest, ok := strings.CutPrefix(salt, versionMark)
	if !ok {
		return 0, Scope{}, false
	}
	digits := rest
	if end := strings.IndexAny(rest, ownMark+sharedMark); end >= 0 {
		digits, sc.text = rest[:end], rest[end:]
	}
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, Scope{}, false
	}
	return version, sc, true
}
