package probe

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotcleat/core/whole"
	"shallotcleat/io/client"
)

// server is a listener whose nth connection, counted from 1, serve handles once a request has arrived.
type server struct {
	lis   net.Listener
	conns atomic.Int64
}

func newServer(t *testing.T, serve func(n int64, conn net.Conn)) *server {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	sv := &server{lis: lis}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			n := sv.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(n, conn)
				}
			}()
		}
	}()
	return sv
}

// question returns the question whether run r1 of a server runs.
func (sv *server) question() Question {
	return Question{Run: "r1", Address: sv.lis.Addr().String(), Target: "/report", Identify: identify}
}

// identify reads the name of a run from the beginning of a body.
func identify(_ http.Header, body []byte) (life whole.Life, showsRun bool) {
	switch {
	case bytes.HasPrefix(body, []byte("r1")):
		return whole.Running{}, true
	case bytes.HasPrefix(body, []byte("r")):
		return whole.Ended{}, true
	}
	return whole.Unknown{}, false
}

func respond(conn net.Conn, header, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

func hangUp(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// askTimeout bounds each question of TestAsk.
const askTimeout = time.Second

// Guards against a server that is taken for running though it has ended, started again or does not respond, and the reverse.
func TestAsk(t *testing.T) {
	for _, tt := range []struct {
		name  string
		serve func(sv *server, n int64, conn net.Conn)
		want  whole.Life
	}{
		{"responds", func(_ *server, _ int64, conn net.Conn) { respond(conn, "", "r1") }, whole.Running{}},
		{"rejects", func(_ *server, _ int64, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nr1")
		}, whole.Running{}},
		{"another run", func(_ *server, _ int64, conn net.Conn) { respond(conn, "", "r2") }, whole.Ended{}},
		{"names no run, as a proxy does", func(_ *server, _ int64, conn net.Conn) { respond(conn, "", "bad gateway") }, whole.Unknown{}},
		{"names no run at first", func(_ *server, n int64, conn net.Conn) {
			respond(conn, "", map[bool]string{true: "full", false: "r1"}[n < 3])
		}, whole.Running{}},
		{"waits for a slot", func(_ *server, _ int64, conn net.Conn) { time.Sleep(askTimeout / 2); respond(conn, "", "r1") }, whole.Running{}},
		{"one connection too many, then responds", func(_ *server, n int64, conn net.Conn) {
			if n < 3 {
				hangUp(conn)
				return
			}
			respond(conn, "", "r1")
		}, whole.Running{}},
		{"always one connection too many", func(_ *server, _ int64, conn net.Conn) { hangUp(conn) }, whole.Unknown{}},
		// A process that is killed closes its listener after the connections that it had accepted.
		{"closes its listener last", func(sv *server, _ int64, conn net.Conn) {
			hangUp(conn)
			_ = sv.lis.Close()
		}, whole.Ended{}},
		{"paused", func(*server, int64, net.Conn) { time.Sleep(2 * askTimeout) }, whole.Unknown{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var sv *server
			ready := make(chan struct{})
			sv = newServer(t, func(n int64, conn net.Conn) { <-ready; tt.serve(sv, n, conn) })
			close(ready)
			pr := New(client.NewPool())
			ctx, cancel := context.WithTimeout(t.Context(), askTimeout)
			defer cancel()
			if life := pr.Ask(ctx, sv.question()); life != tt.want {
				t.Errorf("got %s, want %s", life, tt.want)
			}
			// A call that nobody waits for any more holds up no stop.
			began := time.Now()
			pr.Close()
			if took := time.Since(began); took > roundTimeout/4 {
				t.Errorf("closing took %s", took)
			}
			if life := pr.Ask(t.Context(), sv.question()); life == (whole.Running{}) {
				t.Errorf("after closing: got %s", life)
			}
		})
	}
}

// Guards against a new process that is taken for the one that answered, because it has its id and the end of the answer was read late.
func TestAskWithoutRun(t *testing.T) {
	sv := newServer(t, func(_ int64, conn net.Conn) { respond(conn, "Connection: close\r\n", "r1") })
	qn := sv.question()
	qn.Identify = func(http.Header, []byte) (whole.Life, bool) { return whole.Running{}, false }
	pr := New(client.NewPool())
	for age, want := range map[time.Duration]whole.Life{-time.Second: whole.Running{}, 0: whole.Running{}, minRestart: whole.Unknown{}} {
		qn.EndedAt = time.Now().Add(-age)
		if life := pr.Ask(t.Context(), qn); life != want {
			t.Errorf("end %s before the connection: got %s, want %s", age, life, want)
		}
	}
}

// Guards against an answer from before the question, and against one call for each of many answers that end at once.
func TestAskSharesCallsThatBeginLater(t *testing.T) {
	began, proceed := make(chan struct{}), make(chan struct{})
	sv := newServer(t, func(n int64, conn net.Conn) {
		if n == 1 {
			close(began)
			<-proceed
			respond(conn, "Connection: close\r\n", "r1")
			return
		}
		respond(conn, "Connection: close\r\n", "r2")
	})
	pr := New(client.NewPool())
	var wg sync.WaitGroup
	ask := func(want whole.Life) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if life := pr.Ask(context.Background(), sv.question()); life != want {
				t.Errorf("got %s, want %s", life, want)
			}
		}()
	}
	ask(whole.Running{})
	<-began
	for range 20 {
		ask(whole.Ended{})
	}
	for pr.waiting("r1") == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	wg.Wait()
	pr.Close()
	if conns := sv.conns.Load(); conns > 2 {
		t.Errorf("21 questions took %d calls", conns)
	}
}

// waiting returns the round that follows the one in progress for a run.
func (pr *Prober) waiting(run string) *round {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if rd := pr.running[run]; rd != nil {
		return rd.next
	}
	return nil
}

// BenchmarkAsk measures one question over a kept connection, with the processor time of the server that responds.
func BenchmarkAsk(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "r1") }))
	defer srv.Close()
	pr := New(client.NewPool())
	qn := Question{Run: "r1", Address: strings.TrimPrefix(srv.URL, "http://"), Target: "/report", Identify: identify}
	for b.Loop() {
		if life := pr.Ask(b.Context(), qn); life != (whole.Running{}) {
			b.Fatalf("server is %s", life)
		}
	}
}
