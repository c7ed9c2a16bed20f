package reply

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"shallotcleat/core/whole"
	"shallotcleat/io/client"
)

// MaxHeaderBytes bounds the header of a response. The default of net/http is 10 MB, which short lines make hundreds of MB in memory.
const MaxHeaderBytes = 64 << 10

// ErrTooLong means that a body is longer than its reader allows.
var ErrTooLong = errors.New("response body exceeds the length limit")

// ErrIncomplete means that a body is not known to be complete: its server may have ended within it.
var ErrIncomplete = errors.New("response body may be incomplete")

// Read returns the body of a response, which may have up to limit bytes, and the verdict on it: whole.Whole, or whole.Doubtful if it looks complete,
// but ended with its connection.
func Read(rs *http.Response, limit int64) ([]byte, whole.Verdict, error) {
	body, err := readAll(rs, limit)
	if err != nil {
		return nil, whole.Broken, err
	}
	verdict := judge(rs, whole.Opaque{})
	if verdict == whole.Broken {
		return nil, verdict, ErrIncomplete
	}
	return body, verdict, nil
}

// Decode decodes the body of a response, a JSON value of up to limit bytes, and returns its length in bytes. Such a value shows where it ends.
func Decode(rs *http.Response, limit int64, into any) (int, error) {
	body, err := readAll(rs, limit)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return 0, fmt.Errorf("decode response: %w", err)
	}
	if judge(rs, whole.Document{}) != whole.Whole {
		return 0, ErrIncomplete
	}
	return len(body), nil
}

func readAll(rs *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(rs.Body, limit+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read response: %w: %s", err, client.EndingOf(err))
	case int64(len(body)) > limit:
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLong, limit)
	}
	return body, nil
}

// judge returns the verdict on a body that was read without an error. A body that net/http decompressed has lost its length, and shows its end no
// better than any other: it may consist of several parts, each with its checksum, or of none.
func judge(rs *http.Response, content whole.Content) whole.Verdict {
	return whole.Judge(whole.FramingOf(rs.ContentLength, len(rs.TransferEncoding) > 0), whole.Finished{}, content)
}
