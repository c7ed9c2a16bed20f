package gate

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"shallotcleat/io/client"
)

// Limits of the response bodies that are held in memory until they are complete.
const (
	// maxResponseBytes is the maximum size of a response body that is not a stream.
	maxResponseBytes = 8 << 20
	// freeBodyBytes is the part of each body that does not count towards maxSharedBodyBytes.
	freeBodyBytes = 64 << 10
	// maxSharedBodyBytes is the maximum size of all bodies together, beyond the free part of each.
	maxSharedBodyBytes = 16 << 20
	// bodyChunkBytes is how much of a body is read at once.
	bodyChunkBytes = 16 << 10
)

var (
	errBodyTooLong       = errors.New("body exceeds the length limit")
	errTooManyLongBodies = errors.New("too many long bodies at the same time")
)

// bodies bounds the memory of response bodies. It is safe for concurrent use.
type bodies struct {
	// sharedBytes is the size of the bodies being read, beyond the free part of each.
	sharedBytes atomic.Int64
}

// readAll returns the whole body of a response. It fails if the body, or all bodies together, are too long.
func (bd *bodies) readAll(resp *client.Response) ([]byte, error) {
	var body []byte
	taken := 0
	defer func() { bd.sharedBytes.Add(-int64(taken)) }()
	chunk := make([]byte, bodyChunkBytes)
	for {
		count, err := resp.Read(chunk)
		body = append(body, chunk[:count]...)
		if len(body) > maxResponseBytes {
			return nil, errBodyTooLong
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		if beyond := max(len(body)-freeBodyBytes, 0); beyond > taken {
			total := bd.sharedBytes.Add(int64(beyond - taken))
			taken = beyond
			if total > maxSharedBodyBytes {
				return nil, errTooManyLongBodies
			}
		}
	}
}
