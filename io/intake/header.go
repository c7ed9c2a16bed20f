package intake

import (
	"bytes"
	"fmt"
	"time"

	"shallotcleat/core/memory"
)

// headerSize is what was received of a header, and the part of a claim for it.
type headerSize struct{ bytes, lines, claimed int }

// add adds a part of the header and returns by how much the claim must grow.
func (hs *headerSize) add(part []byte) int {
	hs.bytes += len(part)
	hs.lines += bytes.Count(part, []byte("\n"))
	more := max(headerByteFactor*hs.bytes+headerLineBytes*hs.lines-freeHeaderBytes-hs.claimed, 0)
	hs.claimed += more
	return more
}

// Header is the memory of the header of a response, and of the responses before it. It is not safe for concurrent use.
type Header struct {
	claim *memory.Claim
	size  headerSize
}

// NewHeader returns the memory of a header that is read next.
func NewHeader(bg *memory.Budget) *Header {
	// The claim stays in use, so that it is never evicted.
	return &Header{claim: bg.Open(time.Now(), memory.Response, func() {})}
}

// Add claims memory for a part of the header, or fails with memory.ErrShort.
func (hr *Header) Add(part []byte) error {
	more := hr.size.add(part)
	if more == 0 {
		return nil
	}
	if err := hr.claim.Grow(time.Now(), int64(more)); err != nil {
		return fmt.Errorf("header of %d bytes or more: %w", hr.size.bytes, err)
	}
	return nil
}

// Close frees the memory.
func (hr *Header) Close() { hr.claim.Close() }
