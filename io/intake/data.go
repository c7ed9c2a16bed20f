package intake

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"shallotcleat/core/memory"
)

// Sizes of the pieces of data: the first one, and the most to which later ones double.
const (
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

// ErrTooLong means that there are more bytes than allowed.
var ErrTooLong = errors.New("data exceeds the length limit")

// largePieces keeps pieces of maxPieceBytes for reuse, so that a flood leaves little to the garbage collector.
var largePieces = sync.Pool{New: func() any { return new([maxPieceBytes]byte) }}

// Data is a sequence of bytes in pieces, and the claim of their memory. It is not safe for concurrent use.
type Data struct {
	claim  *memory.Claim
	pieces [][]byte
	length int
}

// NewData returns empty data whose memory belongs to a claim.
func NewData(cl *memory.Claim) *Data { return &Data{claim: cl} }

// Pieces returns the bytes. They are valid until Recycle.
func (dt *Data) Pieces() [][]byte { return dt.pieces }

// Len returns the number of bytes.
func (dt *Data) Len() int { return dt.length }

// Claim returns the claim of the memory.
func (dt *Data) Claim() *memory.Claim { return dt.claim }

// ReadAll reads until the end of the source, or until expected bytes if that is positive, and fails with ErrTooLong beyond maxBytes
// and with memory.ErrShort if the claim cannot grow.
func (dt *Data) ReadAll(source io.Reader, expected, maxBytes int64) error {
	for {
		room, err := dt.room(expected)
		if err != nil {
			return err
		}
		count, err := source.Read(room)
		last := len(dt.pieces) - 1
		dt.pieces[last] = dt.pieces[last][:len(dt.pieces[last])+count]
		dt.length += count
		switch {
		case int64(dt.length) > maxBytes:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && dt.claim.Evicted():
			return memory.ErrShort
		case err != nil:
			return fmt.Errorf("read: %w", err)
		}
		dt.claim.Progress(time.Now(), count)
	}
}

// room returns the free part of the last piece, or a new piece.
func (dt *Data) room(expected int64) ([]byte, error) {
	size := firstPieceBytes
	if last := len(dt.pieces) - 1; last >= 0 {
		piece := dt.pieces[last]
		if len(piece) < cap(piece) {
			return piece[len(piece):cap(piece)], nil
		}
		size = min(2*cap(piece), maxPieceBytes)
	}
	if missing := expected - int64(dt.length); missing > 0 && missing < int64(size) {
		size = int(missing)
	}
	if err := dt.claim.Grow(time.Now(), int64(size)); err != nil {
		return nil, fmt.Errorf("%d bytes after %d: %w", size, dt.length, err)
	}
	var piece []byte
	if size == maxPieceBytes {
		piece = largePieces.Get().(*[maxPieceBytes]byte)[:0]
	} else {
		piece = make([]byte, 0, size)
	}
	dt.pieces = append(dt.pieces, piece)
	return piece[:size], nil
}

// Join moves the bytes into one slice, and returns it. It needs the memory twice for a moment.
func (dt *Data) Join() ([]byte, error) {
	if len(dt.pieces) == 1 {
		return dt.pieces[0], nil
	}
	if err := dt.claim.Grow(time.Now(), int64(dt.length)); err != nil {
		return nil, fmt.Errorf("join %d bytes: %w", dt.length, err)
	}
	joined := make([]byte, 0, dt.length)
	for _, piece := range dt.pieces {
		joined = append(joined, piece...)
	}
	dt.Recycle()
	dt.claim.ShrinkTo(int64(len(joined)))
	return joined, nil
}

// Recycle frees the pieces for other data. Nothing may use them afterwards. The claim stays as it is.
func (dt *Data) Recycle() {
	for _, piece := range dt.pieces {
		if cap(piece) == maxPieceBytes {
			largePieces.Put((*[maxPieceBytes]byte)(piece[:maxPieceBytes]))
		}
	}
	dt.pieces = nil
}

// WriteTo writes the bytes to a caller that may read slowly; the claim may be evicted meanwhile, which must end the write.
func (dt *Data) WriteTo(wr io.Writer) (int64, error) {
	dt.claim.Wait(time.Now())
	written := int64(0)
	for _, piece := range dt.pieces {
		count, err := wr.Write(piece)
		written += int64(count)
		if err != nil {
			return written, fmt.Errorf("write: %w", err)
		}
		dt.claim.Progress(time.Now(), count)
	}
	return written, nil
}

// WriteSlowly writes bytes of a claim to a caller that may read slowly; the claim may be evicted meanwhile, which must end the write.
// Errors are ignored: net/http closes the connection of a caller that has disconnected.
func WriteSlowly(cl *memory.Claim, wr io.Writer, text []byte) {
	cl.Wait(time.Now())
	for len(text) > 0 {
		count, err := wr.Write(text[:min(len(text), maxPieceBytes)])
		if err != nil {
			return
		}
		cl.Progress(time.Now(), count)
		text = text[count:]
	}
}
