package pick

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartKey returns the key of a part of prompts for a model. Calls of the same cacheScope share the part.
func PartKey(model, cacheScope, id string) uint64 {
	return xxhash.Sum64String(model + "/" + cacheScope + "/" + id)
}

// CacheSalt returns the text under which engines cache the parts of a cacheScope for a weight version.
func CacheSalt(version uint64, cacheScope string) string {
	salt := "v" + strconv.FormatUint(version, 10)
	if cacheScope != "" {
		salt += "/" + cacheScope
	}
	return salt
}

// ParseCacheSalt returns the arguments of CacheSalt; ok is false for other texts.
func ParseCacheSalt(salt string) (version uint64, cacheScope string, ok bool) {
	text, cacheScope, _ := strings.Cut(salt, "/")
	digits, ok := strings.CutPrefix(text, "v")
	version, err := strconv.ParseUint(digits, 10, 64)
	return version, cacheScope, ok && err == nil
}
