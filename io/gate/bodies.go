package gate

import (
	"errors"
	"fmt"
	"sync/atomic"

	"shallotcleat/core/memory"
	"shallotcleat/io/client"
	"shallotcleat/io/intake"
)

// Limits of the response bodies that are held in memory until they are complete.
const (
	// maxResponseBytes is the maximum size of a response body that is not a stream.
	maxResponseBytes = 8 << 20
	// freeBodyBytes is the part of each body that does not count towards maxSharedBodyBytes.
	freeBodyBytes = 64 << 10
	// maxSharedBodyBytes is the maximum size of all bodies together, beyond the free part of each.
	maxSharedBodyBytes = 16 << 20
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

// readAll returns the whole body of a response, which belongs to the claim. It fails if the body, or all bodies together, are too long,
// or with memory.ErrShort. The caller frees the body in every case.
func (bd *bodies) readAll(resp *client.Response, cl *memory.Claim) (*intake.Data, error) {
	counted := &countedBody{bodies: bd, resp: resp}
	defer counted.release()
	body := intake.NewData(cl)
	if err := body.ReadAll(counted, 0, maxResponseBytes); errors.Is(err, intake.ErrTooLong) {
		return body, errBodyTooLong
	} else if err != nil {
		return body, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// countedBody is a response body being read, beyond its free part counted in sharedBytes.
type countedBody struct {
	bodies      *bodies
	resp        *client.Response
	read, taken int
}

// Read implements io.Reader.
func (cb *countedBody) Read(buffer []byte) (int, error) {
	count, err := cb.resp.Read(buffer)
	cb.read += count
	if beyond := max(cb.read-freeBodyBytes, 0); err == nil && beyond > cb.taken {
		total := cb.bodies.sharedBytes.Add(int64(beyond - cb.taken))
		cb.taken = beyond
		if total > maxSharedBodyBytes {
			return count, errTooManyLongBodies
		}
	}
	return count, err
}

func (cb *countedBody) release() { cb.bodies.sharedBytes.Add(-int64(cb.taken)) }
