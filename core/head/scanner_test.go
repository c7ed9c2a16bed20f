package head

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	old     = "HTTP/1.0 200 OK\r\n"
	chunked = "Transfer-Encoding: chunked\r\n"
)

// heads are texts that begin with a head.
var heads = []string{
	ok + "\r\n", old + "\r\n", "HTTP/1.0 200 OK\n\n", "HTTP/1.9 200 OK\r\n\r\n",
	"HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.1 599 Na\xc3\xafve \t!\r\n\r\n", "HTTP/1.1 413 A : b\n\n",
	ok + "A: b\r\nC:d\r\nE:\r\nF: \t g h\t\r\n\r\n", ok + "!#$%&'*+-.^_`|~09azAZ: \x80\xff\"(),/:;<=>?@[\\]{}\r\n\r\n",
	ok + "A: b\r\n c\r\n\td\r\n \r\nE: f\r\n\r\n", ok + "A: b\n c\n\n",
	ok + chunked + "\r\n", ok + "Content-Length: 1\r\n" + chunked + "\r\n",
	old + "Content-Length: 1\r\n\r\n", old + "Transfer-Encodings: chunked\r\nTransfer-Encodin: x\r\n\r\n", old + "\r\n" + chunked,
	old + "A: " + strings.Repeat("b", 1<<16) + "\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "A: b\r\n\r\n",
}

// others are texts that no head begins with, and the first byte that shows it.
var others = []struct {
	text string
	at   int
}{
	// Status lines.
	{"no response\n\n", 0}, {"\r\n" + ok, 0}, {" " + ok, 0}, {"http/1.1 200 OK\r\n", 0}, {"HTTP/2.0 200 OK\r\n", 5}, {"HTTP/0.9 200 OK\r\n", 5},
	{"HTTP/1.x 200 OK\r\n", 7}, {"HTTP/1.10 200 OK\r\n", 8}, {"HTTP/1.1\t200 OK\r\n", 8}, {"HTTP/1.1\r\n\r\n", 8}, {"HTTP/1.1  200 OK\r\n", 9},
	{"HTTP/1.1 \r\n\r\n", 9}, {"HTTP/1.1 +20 OK\r\n", 9}, {"HTTP/1.1 -01 OK\r\n", 9}, {"HTTP/1.1 20 OK\r\n", 11}, {"HTTP/1.1 2000 OK\r\n", 12},
	{"HTTP/1.1 20x OK\r\n", 11}, {"HTTP/1.1 000 \r\n\r\n", 11}, {"HTTP/1.1 099 \r\n\r\n", 11}, {"HTTP/1.1 600 \r\n\r\n", 11}, {"HTTP/1.1 999 \r\n\r\n", 11},
	{"HTTP/1.1 101 Switching Protocols\r\n\r\n", 11}, {"HTTP/1.1 200\tOK\r\n", 12}, {"HTTP/1.1 200 O\x00K\r\n", 14}, {"HTTP/1.1 200 OK\x7f\r\n", 15},
	{"HTTP/1.1 200 OK\r\r\n", 16}, {"HTTP/1.1 200 OK\rA: b\r\n", 16}, {"HTTP/1.1 100 \r\n\r\nHTTP/1.1 000 \r\n\r\n", 28},
	// Fields.
	{ok + " A: b\r\n\r\n", 17}, {ok + "\tA: b\r\n\r\n", 17}, {ok + ": b\r\n\r\n", 17}, {ok + "A b: c\r\n\r\n", 18}, {ok + "A : b\r\n\r\n", 18},
	{ok + "A\t: b\r\n\r\n", 18}, {ok + "A\x00: b\r\n\r\n", 18}, {ok + "A\x1f: b\r\n\r\n", 18}, {ok + "A\x7f: b\r\n\r\n", 18}, {ok + "A\x80: b\r\n\r\n", 18},
	{ok + "A(: b\r\n\r\n", 18}, {ok + "A\r\n\r\n", 18}, {ok + "A\n\n", 18}, {ok + "Content-Length : 7\r\n\r\n", 31}, {ok + "Transfer-Encoding : chunked\r\n\r\n", 34},
	{ok + "A: b\x00\r\n\r\n", 21}, {ok + "A: \x01\r\n\r\n", 20}, {ok + "A: b\x7f\r\n\r\n", 21}, {ok + "A: b\rc\r\n\r\n", 22}, {ok + "A: b\r\r\n\r\n", 22},
	{ok + "A: b\r\n \x00c\r\n\r\n", 24}, {ok + "\rA: b\r\n\r\n", 18},
	// Versions without transfer codings: the bytes between chunks would pass for content, or a length for the end of the last chunk.
	{old + chunked + "\r\n", 34}, {"HTTP/1.0 200 OK\nA: b\ntransfer-encoding:chunked\n\n1\nx\n", 38}, {old + "Content-Length: 1\r\n" + chunked + "\r\nx", 53},
	{old + "Transfer-Encoding:\r\n\r\nx", 34}, {old + "A: " + strings.Repeat("b", 1<<16) + "\r\n" + chunked + "\r\n", 65575},
}

// scanBytes scans a text byte by byte and returns how many bytes it took to the end of the head, or to the first byte that is none of one.
func scanBytes(text string) (int, *Scanner, error) {
	sc := new(Scanner)
	for i := range len(text) {
		if err := sc.Scan([]byte{text[i]}); err != nil {
			return i, sc, err
		}
		if sc.Done() {
			return i + 1, sc, nil
		}
	}
	return len(text), sc, nil
}

// Guards against what is not the head of an answer and passes for one, and against a head that does not: a status that is none, a name that is none, a
// blank that hides a length, chunks in a version without them.
func TestScan(t *testing.T) {
	for _, text := range heads {
		end, sc, err := scanBytes(text)
		if err != nil || !sc.Done() || sc.HasTransferCodings() == strings.HasPrefix(text, "HTTP/1.0") {
			t.Errorf("%.60q: done %v, has codings %v, %v", text, sc.Done(), sc.HasTransferCodings(), err)
		}
		for _, tail := range []string{"", "\x00 any bytes : may follow"} {
			if err := new(Scanner).Scan([]byte(text[:end] + tail)); err != nil {
				t.Errorf("%.60q in one part: %v", text+tail, err)
			}
		}
		for cut := range min(end, 1<<10) {
			if _, sc, err := scanBytes(text[:cut]); err != nil || sc.Done() {
				t.Errorf("cut after %.60q: done %v, %v", text[:cut], sc.Done(), err)
			}
		}
	}
	for _, tt := range others {
		at, sc, err := scanBytes(tt.text)
		var er *Error
		if !errors.As(err, &er) || at != tt.at || sc.Done() {
			t.Errorf("%.60q: got %v at byte %d, want an error at byte %d", tt.text, err, at, tt.at)
		}
		if again := sc.Scan([]byte(ok + "\r\n")); again != err {
			t.Errorf("%.60q: got %v for what follows", tt.text, again)
		}
		if whole := new(Scanner).Scan([]byte(tt.text)); whole == nil || whole.Error() != err.Error() {
			t.Errorf("%.60q: got %v in one part, %v byte by byte", tt.text, whole, err)
		}
	}
}

// Guards against a head whose end the scanner and net/http see at different bytes, so that a part of a body is scanned, or a part of a head is not; and
// against a result that depends on how the head was split.
func FuzzScan(f *testing.F) {
	for _, text := range heads {
		f.Add(text[:min(len(text), 1<<8)], 3)
	}
	for _, tt := range others {
		f.Add(tt.text[:min(len(tt.text), 1<<8)], 5)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		end, sc, err := scanBytes(text)
		split, splitErr := new(Scanner), error(nil)
		for rest := text; rest != "" && splitErr == nil; {
			count := min(max(size, 1), len(rest))
			splitErr = split.Scan([]byte(rest[:count]))
			rest = rest[count:]
		}
		if split.Done() != sc.Done() || (splitErr == nil) != (err == nil) {
			t.Fatalf("%q: done %v, %v; in parts of %d: done %v, %v", text, sc.Done(), err, size, split.Done(), splitErr)
		}
		if !sc.Done() {
			return
		}
		source := strings.NewReader(text)
		reader := bufio.NewReader(source)
		for {
			hr, err := http.ReadResponse(reader, nil)
			if err != nil {
				// Lengths and chunks are not scanned.
				return
			}
			if hr.StatusCode >= minFinalStatus {
				break
			}
		}
		if read := len(text) - source.Len() - reader.Buffered(); read != end {
			t.Fatalf("%q: the head ends after %d bytes, for net/http after %d", text, end, read)
		}
	})
}

func BenchmarkScan(b *testing.B) {
	text := []byte(ok + "Content-Type: application/json\r\nDate: Mon, 07 Dec 2026 03:00:00 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Answer-Mark: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nContent-Length: 200\r\n\r\n")
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if err := new(Scanner).Scan(text); err != nil {
			b.Fatal(err)
		}
	}
}
