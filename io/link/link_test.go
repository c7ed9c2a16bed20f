package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/io/wire"
)

// answering is an agent that replies to calls and sends two frames of streams.
type answering struct {
	wire.DRPCAgentUnimplementedServer
}

const replyBody = "content of a reply"

func (*answering) Call(context.Context, *wire.SubmitRequest) (*wire.CallReply, error) {
	return &wire.CallReply{HttpStatus: 200, Body: []byte(replyBody)}, nil
}

func (*answering) Submit(_ *wire.SubmitRequest, out wire.DRPCAgent_SubmitStream) error {
	for seq := range 2 {
		if err := out.Send(&wire.Frame{Seq: uint64(seq + 1), Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Text: replyBody}}}); err != nil {
			return err
		}
	}
	return nil
}

// recorder is a connection that keeps what is written to it.
type recorder struct {
	net.Conn
	mu   sync.Mutex
	sent bytes.Buffer
}

func (rc *recorder) Write(text []byte) (int, error) {
	rc.mu.Lock()
	_, _ = rc.sent.Write(text)
	rc.mu.Unlock()
	return rc.Conn.Write(text)
}

func listenOnLoopback(t *testing.T) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// answerOf returns the bytes that an agent sends in response to a call.
func answerOf(t *testing.T, call func(address string)) []byte {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, &answering{}); err != nil {
		t.Fatal(err)
	}
	lis := listenOnLoopback(t)
	served := make(chan *recorder, 1)
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		rc := &recorder{Conn: conn}
		served <- rc
		_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: ManagerOptions()}).ServeOne(t.Context(), rc)
	}()
	call(lis.Addr().String())
	rc := <-served
	time.Sleep(20 * time.Millisecond)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return bytes.Clone(rc.sent.Bytes())
}

// cutAgent is an address at which a part of an answer is sent, and the connection is then closed in good order, or kept if closes is not set.
func cutAgent(t *testing.T, answer []byte, closes bool) string {
	lis := listenOnLoopback(t)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write(answer)
				if closes {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards against a message between processes that is cut off, with its connection closed in good order as that of a killed process, and is taken for a
// shorter or an empty one.
func TestMessagesCutAtEachByte(t *testing.T) {
	call := func(address string) (*wire.CallReply, error) {
		pl := NewPool()
		defer func() { _ = pl.Close() }()
		return pl.Agent(address).Call(t.Context(), &wire.SubmitRequest{Service: "s"})
	}
	answer := answerOf(t, func(address string) {
		if reply, err := call(address); err != nil || string(reply.GetBody()) != replyBody {
			t.Fatalf("got %v, %v", reply, err)
		}
	})
	for cut := range len(answer) + 1 {
		reply, err := call(cutAgent(t, answer[:cut], true))
		if err == nil && (string(reply.GetBody()) != replyBody || reply.GetHttpStatus() != 200) {
			t.Errorf("cut after %d of %d bytes: got %v as a whole reply", cut, len(answer), reply)
		}
	}
	// What was recorded is a whole reply. With the end of the connection right behind it, the RPC library may notice that first.
	if reply, err := call(cutAgent(t, answer, false)); err != nil || string(reply.GetBody()) != replyBody {
		t.Errorf("not cut: got %v, %v", reply, err)
	}
	stream := func(address string) (frames int, err error) {
		pl := NewPool()
		defer func() { _ = pl.Close() }()
		out, err := pl.Agent(address).Submit(t.Context(), &wire.SubmitRequest{Service: "s"})
		if err != nil {
			return 0, err
		}
		defer func() { _ = out.Close() }()
		for {
			fr, err := out.Recv()
			if err != nil {
				return frames, err
			}
			frames++
			if fr.GetSeq() != uint64(frames) || fr.GetChunk().GetText() != replyBody {
				t.Errorf("frame %d: got %v", frames, fr)
			}
		}
	}
	answer = answerOf(t, func(address string) { _, _ = stream(address) })
	for cut := range len(answer) + 1 {
		if frames, err := stream(cutAgent(t, answer[:cut], true)); frames == 2 && cut < len(answer)/2 || err == nil {
			t.Errorf("cut after %d of %d bytes: got %d frames, %v", cut, len(answer), frames, err)
		}
	}
}
