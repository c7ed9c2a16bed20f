package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// answerHead is the head of a usual answer.
const answerHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 03:00:00 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
	"X-Answer-Mark: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\n"

// serveAnswers serves an answer to each request, over kept connections, and returns the address.
func serveAnswers(b *testing.B, answer string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					if string(line) == "\r\n" {
						_, _ = io.WriteString(conn, answer)
					}
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// BenchmarkReadAnswer measures an exchange over a kept connection, of which the answer's length or number of events varies.
func BenchmarkReadAnswer(b *testing.B) {
	chunk := "32\r\n" + strings.Repeat("x", 50) + "\r\n"
	for _, bm := range []struct{ name, answer string }{
		{"200B", answerHead + "Content-Length: 200\r\n\r\n" + strings.Repeat("x", 200)},
		{"20KB", answerHead + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 20_000)},
		{"500events", answerHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 500) + "0\r\n\r\n"},
	} {
		b.Run("pool/"+bm.name, func(b *testing.B) {
			address, pl := serveAnswers(b, bm.answer), NewPool()
			b.ReportAllocs()
			for b.Loop() {
				rs, err := pl.Do(b.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "a.example"})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, rs); err != nil {
					b.Fatal(err)
				}
				rs.Close()
			}
		})
		b.Run("transport/"+bm.name, func(b *testing.B) {
			hc := &http.Client{Transport: benchTransport()}
			base := fmt.Sprintf("http://%s/", serveAnswers(b, bm.answer))
			b.ReportAllocs()
			for b.Loop() {
				rs, err := hc.Get(base)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, rs.Body); err != nil {
					b.Fatal(err)
				}
				_ = rs.Body.Close()
			}
		})
	}
}

func benchTransport() http.RoundTripper { return NewTransport(&http.Transport{}) }
