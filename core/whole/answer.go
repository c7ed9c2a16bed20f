package whole

// Framing is what marks the end of an answer's body.
type Framing string

// Framings of a body.
const (
	// NoFraming is that of an answer whose header did not arrive.
	NoFraming Framing = ""
	// Length means that the header states the length of the body in bytes, or that the answer has no body.
	Length Framing = "length"
	// Chunks means that a last chunk ends the body.
	Chunks Framing = "chunks"
	// Connection means that the body ends with its connection.
	Connection Framing = "connection"
)

// FramingOf returns the framing of a body with a length in bytes, which is negative if the header states none, or with chunks.
func FramingOf(length int64, chunked bool) Framing {
	switch {
	case chunked:
		return Chunks
	case length >= 0:
		return Length
	}
	return Connection
}

// Ending is how reading an answer, or writing its request, ended. It is one of Finished, Cut, Reset, Silent, Interrupted,
// InvalidHead and Malformed.
type Ending interface {
	isEnding()
	// String returns the name of the ending in logs.
	String() string
}

// Finished means that the body was read to its end by its framing; with Connection, that the server closed the connection in good order.
type Finished struct{}

// Cut means that the server closed the connection in good order before the end of the header, or of the body by its framing.
type Cut struct{}

// Reset means that the server reset the connection, or that it failed in another way.
type Reset struct{}

// Silent means that the server's kernel no longer acknowledged what was sent, or cannot be reached.
type Silent struct{}

// Interrupted means that the reader stopped: at a deadline, since its caller left, or since the answer was of no use any more.
type Interrupted struct{}

// InvalidHead means that what the server sent does not begin with the head of an answer.
type InvalidHead struct{}

// Malformed means that what the server sent behind a valid status line and fields is no answer, or one beyond a limit.
type Malformed struct{}

// Combine returns how a connection ended whose two directions ended in these ways. The kernel reports an error of a connection once, to whichever of
// reading and writing calls it first, and the other direction then seems to end in good order: an error of writing counts as one of reading. It says
// nothing about an answer that was read to its end by a length or a last chunk, so that the end of its connection was not reached.
func Combine(reading, writing Ending) Ending {
	switch reading.(type) {
	case Finished, Cut:
		switch writing.(type) {
		case Reset, Silent:
			return writing
		}
	}
	return reading
}

func (Finished) isEnding()    {}
func (Cut) isEnding()         {}
func (Reset) isEnding()       {}
func (Silent) isEnding()      {}
func (Interrupted) isEnding() {}
func (InvalidHead) isEnding() {}
func (Malformed) isEnding()   {}

// String implements Ending.
func (Finished) String() string { return "end" }

// String implements Ending.
func (Cut) String() string { return "cut" }

// String implements Ending.
func (Reset) String() string { return "reset" }

// String implements Ending.
func (Silent) String() string { return "silent" }

// String implements Ending.
func (Interrupted) String() string { return "interrupted" }

// String implements Ending.
func (InvalidHead) String() string { return "invalid_head" }

// String implements Ending.
func (Malformed) String() string { return "malformed" }
