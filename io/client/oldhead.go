package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
)

// firstChunkedVersion is the first version of HTTP that has chunks; those before it compare as less.
const firstChunkedVersion = "HTTP/1.1"

var (
	errChunksInOldVersion = errors.New("the version of the response has no transfer encodings, but the header names one")
	errOldHeadTooLong     = errors.New("header of a version without transfer encodings exceeds the length limit")
)

// checkOldHead fails if the next response is of a version of HTTP without chunks, but has a Transfer-Encoding header. Such a response has no known
// end: net/http removes that header, so that the bytes between the chunks would pass for content, or a length for the end of the last chunk. It
// consumes nothing of a header that is complete.
func checkOldHead(reader *bufio.Reader) error {
	version, err := reader.Peek(len(firstChunkedVersion))
	if err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	if !bytes.HasPrefix(version, []byte("HTTP/")) || string(version) >= firstChunkedVersion {
		return nil
	}
	for size := 0; ; size++ {
		size = max(size, reader.Buffered())
		head, err := reader.Peek(size)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return errOldHeadTooLong
		case err != nil:
			return fmt.Errorf("read header: %w", err)
		case !bytes.Contains(head, []byte("\n\n")) && !bytes.Contains(head, []byte("\n\r\n")):
			continue
		}
		return checkOldFields(head)
	}
}

// checkOldFields is checkOldHead of a complete header.
func checkOldFields(head []byte) error {
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := lines.ReadLine(); err != nil {
		return fmt.Errorf("read status line: %w", err)
	}
	fields, err := lines.ReadMIMEHeader()
	if err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	if len(fields["Transfer-Encoding"]) > 0 {
		return errChunksInOldVersion
	}
	return nil
}
