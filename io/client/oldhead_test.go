package client

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against a response of HTTP/1.0 with chunks, whose lines between the chunks would pass for content, and against a valid response that is
// rejected, waited for too long or consumed by the check.
func TestCheckOldHead(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, tt := range []struct {
		text string
		want error
	}{
		{"HTTP/1.1 200 OK\r\n" + chunked + "\r\n", nil},
		{"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", nil},
		{"HTTP/1.0 200 OK\n\n", nil},
		{"HTTP/1.0 200 OK\r\n\r\n" + chunked, nil},
		{"no response\n\n", nil},
		{"HTTP/1.0 200 OK\r\n" + chunked + "\r\n", errChunksInOldVersion},
		{"HTTP/1.0 200 OK\nA: b\ntransfer-encoding:chunked\n\n1\nx\n", errChunksInOldVersion},
		{"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n" + chunked + "\r\nx", errChunksInOldVersion},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding:\r\n\r\nx", errChunksInOldVersion},
		{"HTTP/1.0 200 OK\r\nA: " + strings.Repeat("b", bufferBytes) + "\r\n\r\n", errOldHeadTooLong},
		{"HTTP/1.0 200 OK\r\nA: b\r\n", io.EOF},
		{"HTTP/", io.EOF},
		{"", io.EOF},
	} {
		// The connection stays open after the text unless it is cut off: a check that waits for more would not return.
		source, sink := io.Pipe()
		go func() {
			_, _ = io.WriteString(sink, tt.text)
			if errors.Is(tt.want, io.EOF) {
				_ = sink.Close()
			}
		}()
		reader := bufio.NewReaderSize(source, bufferBytes)
		if err := checkOldHead(reader); !errors.Is(err, tt.want) {
			t.Errorf("%.60q: got %v, want %v", tt.text, err, tt.want)
		}
		if rest, _ := reader.Peek(reader.Buffered()); tt.want == nil && string(rest) != tt.text {
			t.Errorf("%.60q: only %q is left", tt.text, rest)
		}
		_ = source.Close()
	}
}
