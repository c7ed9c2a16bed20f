package client

import (
	"errors"
	"io"
	"net"
	"testing"

	"shallotcleat/core/whole"
)

// socketPair returns a connection to a server, and the server's end of it.
func socketPair(t *testing.T) (*socket, *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	near, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return &socket{Conn: near}, far.(*net.TCPConn)
}

// Guards against an end of a connection that reading takes for one in good order, since a write was told of the error first, or a write that is still
// pending; and against an upload that keeps the end of an answer from being read.
func TestEndOfConnectionDuringWrite(t *testing.T) {
	const text = "part"
	long := make([]byte, 64<<20)
	for _, tt := range []struct {
		name string
		// end ends the connection at the server.
		end func(far *net.TCPConn)
		// writeFirst is set if a write meets the error before anything is read.
		writeFirst bool
		want       whole.Ending
	}{
		{"reset, write first", func(far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, true, whole.Reset{}},
		{"reset, read first", func(far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, false, whole.Reset{}},
		{"closed unread, write first", func(far *net.TCPConn) { _ = far.Close() }, true, whole.Reset{}},
		{"half-closed, then reset, write first", func(far *net.TCPConn) { _ = far.CloseWrite(); _ = far.SetLinger(0); _ = far.Close() }, true, whole.Reset{}},
		{"half-closed, upload pending", func(far *net.TCPConn) { _ = far.CloseWrite() }, false, whole.Finished{}},
	} {
		so, far := socketPair(t)
		written := make(chan error, 1)
		go func() { _, err := so.Write(long); written <- err }()
		// The server ends the connection once a part of the upload has come.
		if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(far, text)
		tt.end(far)
		if tt.writeFirst {
			if err := <-written; EndingOf(err) != (whole.Reset{}) {
				t.Fatalf("%s: the write ended with %v", tt.name, err)
			}
			// net/http goes on writing; Read may have set the deadline already.
			_ = so.SetWriteDeadline(past)
			if _, err := so.Write([]byte("more")); err == nil {
				t.Fatalf("%s: a write after the error did not fail", tt.name)
			}
		}
		received, err := io.ReadAll(so)
		var we *WriteError
		if got := EndingOf(err); got != tt.want || string(received) != text || tt.writeFirst && !errors.As(err, &we) {
			t.Errorf("%s: got %q, ended by %s (%v), want %s", tt.name, received, got, err, tt.want)
		}
	}
}

// Guards against the same where the kernel has given up a server that does not acknowledge the request.
func TestWriteErrorsEndAnswers(t *testing.T) {
	for ending, want := range map[whole.Ending]bool{whole.Finished{}: false, whole.Interrupted{}: false, whole.Reset{}: true, whole.Silent{}: true} {
		so, far := socketPair(t)
		so.failure = errorOf(ending)
		_ = far.CloseWrite()
		if _, err := so.Read(make([]byte, 1)); (err != io.EOF) != want || want && EndingOf(err) != ending {
			t.Errorf("write ended by %s: reading ends with %v", ending, err)
		}
	}
}
