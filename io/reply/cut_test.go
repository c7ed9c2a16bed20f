package reply_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotcleat/io/object"
	"shallotcleat/io/server"
	"shallotcleat/io/table"
	"shallotcleat/io/vmlist"
)

// end is how a service ends its connection after its answer.
type end string

const (
	ordinary end = "ordinary"
	reset    end = "reset"
	// killed means that the service ends, too, so that it answers no questions.
	killed end = "killed"
)

// cutService writes the first bytes of an answer, as many as the first part of the path says, and ends its connection. It answers questions whether
// it runs unless its end is killed.
type cutService struct {
	lis    net.Listener
	answer string
	end    end
}

func newCutService(t *testing.T, answer string, how end) *cutService {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	cs := &cutService{lis: lis, answer: answer, end: how}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go cs.serve(conn.(*net.TCPConn))
		}
	}()
	return cs
}

func (cs *cutService) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	hr, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, hr.Body)
	if strings.HasSuffix(hr.URL.Path, "/healthz") || hr.URL.RawQuery != "" {
		if cs.end != killed {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n[]")
		}
		return
	}
	first, _, _ := strings.Cut(hr.URL.Path[1:], "/")
	length, err := strconv.Atoi(first)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, cs.answer[:length])
	if cs.end == reset {
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
	}
}

// base returns the base URL at which the answer has length bytes.
func (cs *cutService) base(length int) string {
	return fmt.Sprintf("http://%s/%d", cs.lis.Addr(), length)
}

// call is a call of one client of the product. It returns what the service said, as text.
type call struct {
	name, body string
	// opaque is set if the body does not show where it ends.
	opaque bool
	do     func(ctx context.Context, base string) (string, error)
}

func calls() []call {
	plain := func(key string) func(context.Context, string) (string, error) {
		return func(ctx context.Context, base string) (string, error) {
			rs, err := server.NewHTTPPlainService(base).Do(ctx, server.Request{Method: http.MethodPost, Path: "/", RequestID: "r", IdempotencyKey: key})
			return string(rs.Body), err
		}
	}
	return []call{
		{"plain service, at most once", "content", true, plain("k")},
		{"plain service, repeatable", "content", true, plain("")},
		{"object", "content", true, func(ctx context.Context, base string) (string, error) {
			value, err := object.NewHTTP(base).Get(ctx, "a")
			return string(value), err
		}},
		{"table", `{"cells":[{"key":"k","value":"AA==","version":12}]}`, false, func(ctx context.Context, base string) (string, error) {
			cells, err := table.NewHTTP(base).Read(ctx, []string{"k"})
			return fmt.Sprint(cells), err
		}},
		{"list of VMs", `[{"address":"a:1","zone":"z"}]`, false, func(ctx context.Context, base string) (string, error) {
			resp, err := vmlist.NewHTTP(base).List(ctx)
			return fmt.Sprint(resp.VMs), err
		}},
		{"engine's state", `{"incarnation":12,"weights":"v12"}`, false, func(ctx context.Context, base string) (string, error) {
			st, err := server.NewHTTPEngine(base).State(ctx)
			return fmt.Sprint(st), err
		}},
		{"engine's stream", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n", false, func(ctx context.Context, base string) (string, error) {
			var text strings.Builder
			_, err := server.NewHTTPEngine(base).Stream(ctx, server.CompletionRequest{Path: "/", Body: []byte("{}")}, func(ev server.Event) error {
				text.WriteString(ev.Text)
				return nil
			})
			return text.String(), err
		}},
	}
}

// form is a form of an answer with a body.
type form struct {
	name, head string
	encode     func(body string) string
	// unframed is set if the body ends with its connection, and invalid if the answer is not one by the protocol.
	unframed, invalid bool
}

func forms() []form {
	same := func(body string) string { return body }
	chunks := func(body string) string {
		half := len(body) / 2
		return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	}
	compress := func(body string) string {
		var out bytes.Buffer
		for _, half := range []string{body[:len(body)/2], body[len(body)/2:]} {
			wr := gzip.NewWriter(&out)
			_, _ = io.WriteString(wr, half)
			_ = wr.Close()
		}
		return out.String()
	}
	const ok, closing, coding = "HTTP/1.1 200 OK\r\n", "Connection: close\r\n", "Content-Encoding: gzip\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n"
	return []form{
		{"length", ok + closing + "Content-Length: LENGTH\r\n\r\n", same, false, false},
		{"length last, LF", strings.ReplaceAll(ok+closing+"Content-Length: LENGTH\r\n\r\n", "\r\n", "\n"), same, false, false},
		{"length, HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: LENGTH\r\n\r\n", same, false, false},
		{"chunks", ok + closing + chunked + "\r\n", chunks, false, false},
		{"neither", ok + closing + "\r\n", same, true, false},
		{"neither, HTTP/1.0, LF", "HTTP/1.0 200 OK\n\n", same, true, false},
		{"interim, length", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + closing + "Content-Length: LENGTH\r\n\r\n", same, false, false},
		{"compressed, length", ok + closing + coding + "Content-Length: LENGTH\r\n\r\n", compress, false, false},
		{"compressed, chunks", ok + closing + coding + chunked + "\r\n", func(body string) string { return chunks(compress(body)) }, false, false},
		{"chunks, HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked + "\r\n", chunks, true, true},
		{"chunks and length, HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n" + chunked + "\r\n", chunks, false, true},
		{"compressed, neither", ok + closing + coding + "\r\n", compress, true, false},
	}
}

// Guards against an answer that was cut off anywhere and is taken for a whole one by a client of the product: a whole answer is known by its framing,
// by an end of its own, or by a service that still runs after it closed the connection.
func TestClientsRejectAnswersCutAtEachByte(t *testing.T) {
	for _, how := range []end{ordinary, reset, killed} {
		for _, cl := range calls() {
			t.Run(string(how)+"/"+cl.name, func(t *testing.T) {
				t.Parallel()
				for _, fm := range forms() {
					// A body that shows its own end is decoded alike in all forms and for all ends; each connection takes a port for a while.
					if cl.opaque || how == ordinary && slices.Contains([]string{"length", "chunks", "neither", "compressed, neither"}, fm.name) {
						checkForm(t, how, cl, fm)
					}
				}
			})
		}
	}
}

// checkForm makes a call for each byte after which the answer may be cut, 16 at once.
func checkForm(t *testing.T, how end, cl call, fm form) {
	body := fm.encode(cl.body)
	head := strings.Replace(fm.head, "LENGTH", fmt.Sprint(len(body)), 1)
	want := answerOf(t, cl)
	cs := newCutService(t, head+body, how)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for cut := range len(head) + len(body) + 1 {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			text := (head + body)[:cut]
			got, err := cl.do(t.Context(), cs.base(cut))
			whole := cut == len(head)+len(body)
			switch {
			case fm.invalid && err == nil:
				t.Errorf("%s, cut after %q: got %q for what is no answer", fm.name, text[max(0, len(text)-40):], got)
			case fm.invalid:
			case err == nil && cl.opaque && fm.unframed && how == ordinary && cut >= len(head):
				// The service runs, and itself says that its answer ends here.
			case err == nil && got != want:
				t.Errorf("%s, cut after %q: got %q as a whole answer", fm.name, text[max(0, len(text)-40):], got)
			case err == nil && fm.unframed && cl.opaque && how == killed:
				t.Errorf("%s, cut after %q: an answer is whole though its service has ended", fm.name, text[max(0, len(text)-40):])
			case err != nil && whole && how == ordinary:
				t.Errorf("%s: got %v for the whole answer", fm.name, err)
			}
		}()
	}
	wg.Wait()
}

// answerOf returns the result of a call that is answered whole.
func answerOf(t *testing.T, cl call) string {
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(cl.body), cl.body)
	want, err := cl.do(t.Context(), newCutService(t, answer, ordinary).base(len(answer)))
	if err != nil {
		t.Fatal(err)
	}
	return want
}
