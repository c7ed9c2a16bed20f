package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// requestKey returns a hash of what is the same each time a caller repeats a request: the workspace, the method, the host, the path with
// its query, and the body, but not the id. The hash is cryptographic, so that no caller can make up a request with the key of another's.
func requestKey(rq *request) uint64 {
	hash := sha256.New()
	for _, text := range []string{rq.workspace.Name(), rq.method, strings.ToLower(hostName(rq.host)), rq.target} {
		// Writing to a hash never fails.
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = hash.Write([]byte(text))
	}
	for _, piece := range rq.body {
		_, _ = hash.Write(piece)
	}
	return binary.BigEndian.Uint64(hash.Sum(nil))
}
