package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"shallotcleat/core/memory"
)

// newTestBudget returns a budget of about 1 MB.
func newTestBudget() *memory.Budget { return memory.NewBudget(3_500_000) }

// unread is a body that must not be read.
type unread struct{ t *testing.T }

func (ur unread) Read([]byte) (int, error) {
	ur.t.Error("the body is read")
	return 0, io.EOF
}

// A body whose announced length is over the limit is refused before it is read, however much is sent.
func TestAnnouncedOversizedBodyIsNotRead(t *testing.T) {
	hr := httptest.NewRequest(http.MethodPost, "/", unread{t})
	hr.ContentLength = 400_000_000
	rec := httptest.NewRecorder()
	data, err := ReadBody(newTestBudget(), rec, hr, 1000)
	defer data.Claim().Close()
	if !errors.Is(err, ErrTooLong) || rec.Header().Get("Connection") != "close" {
		t.Errorf("got %v, header %v", err, rec.Header())
	}
}

// Bodies are read unchanged whatever the size of the pieces in which they arrive, and take no more than twice their length and one
// piece, nor less than their length.
func TestBodyArrivesInPieces(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 70_000, 300_000} {
		for _, announced := range []bool{true, false} {
			bg := newTestBudget()
			want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			hr := httptest.NewRequest(http.MethodPost, "/", &onePiece{rest: want})
			hr.ContentLength = -1
			if announced {
				hr.ContentLength = int64(size)
			}
			data, err := ReadBody(bg, httptest.NewRecorder(), hr, 300_000)
			if err != nil {
				t.Fatalf("%d bytes: %v", size, err)
			}
			if got := bytes.Join(data.Pieces(), nil); !bytes.Equal(got, want) || data.Len() != size {
				t.Errorf("%d bytes: got %d other bytes", size, len(got))
			}
			if held := int(bg.Held(memory.Body)); held < size || held > 2*size+maxPieceBytes {
				t.Errorf("%d bytes: %d held", size, held)
			}
			joined, err := data.Join()
			if err != nil || !bytes.Equal(joined, want) {
				t.Errorf("%d bytes: joined to %d bytes, %v", size, len(joined), err)
			}
			data.Claim().Close()
			if held := bg.Held(memory.Body); held != 0 {
				t.Errorf("%d bytes: %d held after the end", size, held)
			}
		}
	}
}

// onePiece returns at most 1,000 bytes at once.
type onePiece struct{ rest []byte }

func (op *onePiece) Read(buffer []byte) (int, error) {
	if len(op.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer[:min(len(buffer), 1000)], op.rest)
	op.rest = op.rest[count:]
	return count, nil
}

// A body over the limit of which no length is announced ends at the limit, and frees its memory.
func TestUnannouncedOversizedBody(t *testing.T) {
	bg := newTestBudget()
	hr := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", 200_000)))
	hr.ContentLength = -1
	data, err := ReadBody(bg, httptest.NewRecorder(), hr, 100_000)
	defer data.Claim().Close()
	if held := bg.Held(memory.Body); !errors.Is(err, ErrTooLong) || held != 0 {
		t.Errorf("got %v, %d bytes held", err, held)
	}
}

// A connection is not evicted while its request runs, although nothing arrives on it, and is evicted when memory is short afterwards.
func TestPeerInUseIsNotEvicted(t *testing.T) {
	bg := newTestBudget()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	running, finish := make(chan struct{}), make(chan struct{})
	srv := drpcserver.New(blockingHandler{running: running, finish: finish})
	served := make(chan struct{})
	go func() { _ = ServePeers(ctx, srv, lis, bg); close(served) }()
	defer func() { cancel(); <-served }()
	conn, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	invoke := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: []byte("rpc"), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true})
	if _, err := conn.Write(invoke); err != nil {
		t.Fatal(err)
	}
	<-running
	// grow claims all of the memory that large claims may have, when the connection has been silent for half a minute.
	grow := func() error {
		cl := bg.Open(time.Now(), memory.Response, func() {})
		defer cl.Close()
		return cl.Grow(time.Now().Add(30*time.Second), bg.Total()*3/4)
	}
	if err := grow(); !errors.Is(err, memory.ErrShort) {
		t.Errorf("while a request runs: got %v", err)
	}
	close(finish)
	for deadline := time.Now().Add(10 * time.Second); bg.Held(memory.Connection) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection is not closed when memory is short after its request")
		}
		if err := grow(); err != nil && !errors.Is(err, memory.ErrShort) {
			t.Fatal(err)
		}
	}
}

// blockingHandler runs requests until finish is closed.
type blockingHandler struct{ running, finish chan struct{} }

func (bh blockingHandler) HandleRPC(stream drpc.Stream, _ string) error {
	defer UsePeer(stream.Context())()
	close(bh.running)
	<-bh.finish
	return nil
}
