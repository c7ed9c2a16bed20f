package head

import "fmt"

// Scanner scans the heads of one answer: any number of interim ones, and the final one. Its zero value is ready for the first byte. It is not safe
// for concurrent use.
type Scanner struct {
	at state
	// count is the number of bytes or digits of the current part.
	count  int
	status int
	// minor is the second digit of the version.
	minor byte
	// codingMatch is the number of bytes of the current field's name that match codingName, or negative if the name is another one or may be any.
	codingMatch int
	err         error
}

// state is the part of a head to which the next byte belongs.
type state int

const (
	inVersion state = iota
	inStatus
	afterStatus
	inReason
	// lineStart follows the status line and is where fields begin; nextLine follows a field, which it may continue.
	lineStart
	nextLine
	inName
	inValue
	// The states that expect the LF of a line: that of the status line, of a field, or of the empty line.
	statusLineEnd
	fieldEnd
	emptyLineEnd
	done
)

const (
	// versionPrefix begins the versions of HTTP whose heads are scanned; one digit follows.
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	// codingName is the name of the field that states how a body is coded, in lower case. Versions before 1.1 do not have it.
	codingName = "transfer-encoding"
	// firstCodingMinor is the second digit of the first version that has transfer codings.
	firstCodingMinor = '1'
)

// Statuses of answers.
const (
	minStatus          = 100
	switchingProtocols = 101
	minFinalStatus     = 200
	maxStatus          = 599
)

// Error means that what a server sent is not the head of an answer.
type Error struct{ reason string }

// Error returns the reason.
func (er *Error) Error() string { return "not the head of an answer: " + er.reason }

// Done reports whether the final head has been scanned to its end.
func (sc *Scanner) Done() bool { return sc.at == done }

// HasTransferCodings reports whether the version of the answer has chunks; it is valid once Done reports true.
func (sc *Scanner) HasTransferCodings() bool { return sc.minor >= firstCodingMinor }

// Scan scans the next bytes that the server sent; it ignores those behind the final head. It fails with an *Error, from then on for any bytes, at the
// first byte that cannot be part of a head.
func (sc *Scanner) Scan(part []byte) error {
	for i := 0; i < len(part) && sc.at != done && sc.err == nil; i++ {
		i += sc.skip(part[i : len(part)-1])
		sc.step(part[i])
	}
	return sc.err
}

// skip scans the bytes that change nothing at the beginning of a part, and returns their number. Most bytes of a head are such ones.
func (sc *Scanner) skip(part []byte) int {
	var set *[256]bool
	switch {
	case sc.at == inValue || sc.at == inReason:
		set = &isText
	case sc.at == inName && sc.codingMatch < 0:
		set = &isToken
	default:
		return 0
	}
	for i, char := range part {
		if !set[char] {
			return i
		}
	}
	return len(part)
}

// step scans one byte.
func (sc *Scanner) step(char byte) {
	switch sc.at {
	case inVersion, inStatus, afterStatus, inReason:
		sc.stepStatusLine(char)
	case lineStart, nextLine:
		sc.beginLine(char)
	case inName:
		sc.stepName(char)
	case inValue:
		switch {
		case char == '\n':
			sc.at = nextLine
		case char == '\r':
			sc.at = fieldEnd
		case !isText[char]:
			sc.fail("the value of a field holds the byte 0x%02x", char)
		}
	case statusLineEnd, fieldEnd, emptyLineEnd:
		sc.endLine(char)
	}
}

// stepStatusLine scans a byte of the status line. A space behind a status without a reason may be missing, as it is in answers of many servers.
func (sc *Scanner) stepStatusLine(char byte) {
	switch {
	case sc.at == inVersion && sc.count < len(versionPrefix):
		if char != versionPrefix[sc.count] {
			sc.fail("it does not begin with %s", versionPrefix)
		}
		sc.count++
	case sc.at == inVersion && sc.count == len(versionPrefix) && isDigit(char):
		sc.minor = char
		sc.count++
	case sc.at == inVersion && sc.count > len(versionPrefix) && char == ' ':
		sc.at, sc.count, sc.status = inStatus, 0, 0
	case sc.at == inStatus && isDigit(char):
		sc.status = 10*sc.status + int(char-'0')
		if sc.count++; sc.count == statusDigits {
			sc.endStatus()
		}
	case sc.at == afterStatus && char == ' ':
		sc.at = inReason
	case sc.at >= afterStatus && char == '\n':
		sc.at = lineStart
	case sc.at >= afterStatus && char == '\r':
		sc.at = statusLineEnd
	case sc.at != inReason || !isText[char]:
		sc.fail("the status line holds the byte 0x%02x at a wrong place", char)
	}
}

// endStatus checks the status.
func (sc *Scanner) endStatus() {
	sc.at = afterStatus
	switch {
	case sc.status < minStatus || sc.status > maxStatus:
		sc.fail("%03d is no status", sc.status)
	case sc.status == switchingProtocols:
		sc.fail("it switches to another protocol, which no request asks for")
	}
}

// beginLine scans the first byte of a line.
func (sc *Scanner) beginLine(char byte) {
	switch {
	case char == '\n':
		sc.endHead()
	case char == '\r':
		sc.at = emptyLineEnd
	case isBlank(char) && sc.at == nextLine:
		// The line continues the value.
		sc.at = inValue
	default:
		sc.at, sc.count, sc.codingMatch = inName, 0, 0
		if sc.HasTransferCodings() {
			sc.codingMatch = -1
		}
		sc.stepName(char)
	}
}

// stepName scans a byte of the name of a field, or the colon behind it.
func (sc *Scanner) stepName(char byte) {
	switch {
	case char == ':' && sc.count == 0:
		sc.fail("a field has no name")
	case char == ':' && sc.codingMatch == len(codingName):
		sc.fail("HTTP/1.%c has no transfer codings, but a field names one", sc.minor)
	case char == ':':
		sc.at = inValue
	case !isToken[char]:
		sc.fail("the name of a field holds the byte 0x%02x", char)
	case sc.codingMatch >= 0 && sc.codingMatch < len(codingName) && toLower(char) == codingName[sc.codingMatch]:
		sc.codingMatch++
		sc.count++
	default:
		sc.codingMatch = -1
		sc.count++
	}
}

// endLine scans the byte behind a CR, which must be an LF.
func (sc *Scanner) endLine(char byte) {
	switch {
	case char != '\n':
		sc.fail("a CR is followed by the byte 0x%02x", char)
	case sc.at == statusLineEnd:
		sc.at = lineStart
	case sc.at == fieldEnd:
		sc.at = nextLine
	default:
		sc.endHead()
	}
}

// endHead ends a head; behind an interim one, another head begins.
func (sc *Scanner) endHead() {
	if sc.status >= minFinalStatus {
		sc.at = done
		return
	}
	*sc = Scanner{}
}

func (sc *Scanner) fail(format string, args ...any) {
	sc.err = &Error{reason: fmt.Sprintf(format, args...)}
}
