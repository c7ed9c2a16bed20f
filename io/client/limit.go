package client

import (
	"errors"
	"io"
	"math"

	"shallotcleat/core/head"
)

// maxHeadBytes bounds the header of a response together with the interim responses before it.
const maxHeadBytes = 64 << 10

var errHeadTooLong = errors.New("header exceeds the length limit")

// readLimit is a reader that fails with errHeadTooLong after remaining bytes, and with a *head.Error within a header at what is none. The goroutine
// that reads the response owns it.
type readLimit struct {
	reader    io.Reader
	remaining int64
	// head scans the header that is being read; it ignores what follows.
	head head.Scanner
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
	if err := rl.head.Scan(buffer[:count]); err != nil {
		rl.failure = err
		return 0, err
	}
	if err != nil {
		rl.failure = err
	}
	return count, err
}

// beginHead limits the bytes of the header that is read next, of which those in buffered have been read already. It fails with a *head.Error if they
// are none of a header.
func (rl *readLimit) beginHead(buffered []byte, arrived func(part []byte) error) error {
	rl.remaining, rl.arrived = maxHeadBytes, arrived
	rl.head = head.Scanner{}
	return rl.head.Scan(buffered)
}

// beginBody ends the limit; the reader of the body has a limit of its own.
func (rl *readLimit) beginBody() { rl.remaining, rl.arrived = math.MaxInt64, nil }
