package client

import (
	"errors"
	"io"
	"math"
)

// maxHeadBytes bounds the header of a response together with the interim responses before it.
const maxHeadBytes = 64 << 10

var errHeadTooLong = errors.New("header exceeds the length limit")

// readLimit is a reader that fails with errHeadTooLong after remaining bytes. The goroutine that reads the response owns it.
type readLimit struct {
	reader    io.Reader
	remaining int64
	// arrived is called with each part of a header; it may be nil. Its error ends the exchange.
	arrived func(part []byte) error
	// failure is the last error of reader.
	failure error
}

// Read implements io.Reader.
func (rl *readLimit) Read(buffer []byte) (int, error) {
	if rl.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(buffer)) > rl.remaining {
		buffer = buffer[:rl.remaining]
	}
	count, err := rl.reader.Read(buffer)
	rl.remaining -= int64(count)
	if rl.arrived != nil && count > 0 {
		if err := rl.arrived(buffer[:count]); err != nil {
			rl.failure = err
			return 0, err
		}
	}
	if err != nil {
		rl.failure = err
	}
	return count, err
}

// beginHead limits the bytes of the header that is read next.
func (rl *readLimit) beginHead(arrived func(part []byte) error) {
	rl.remaining, rl.arrived = maxHeadBytes, arrived
}

// beginBody ends the limit; the reader of the body has a limit of its own.
func (rl *readLimit) beginBody() { rl.remaining, rl.arrived = math.MaxInt64, nil }
