package local

import (
	"io"
	"net"
	"sync"
	"testing"
)

// cutter forwards connections to a process until it is told to cut them.
type cutter struct {
	target string
	lis    net.Listener

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// newCutter returns a forwarder to an address; it ends with the test.
func newCutter(t testing.TB, target string) (*cutter, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ct := &cutter{target: target, lis: lis}
	go ct.serve()
	t.Cleanup(ct.cutForGood)
	return ct, nil
}

func (ct *cutter) address() string { return ct.lis.Addr().String() }

func (ct *cutter) serve() {
	for {
		conn, err := ct.lis.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", ct.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		if !ct.keep(conn, back) {
			continue
		}
		go copyAndClose(conn, back)
		go copyAndClose(back, conn)
	}
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (ct *cutter) keep(conns ...net.Conn) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.closed {
		for _, conn := range conns {
			_ = conn.Close()
		}
		return false
	}
	ct.conns = append(ct.conns, conns...)
	return true
}

// cut breaks all connections; new ones are taken.
func (ct *cutter) cut() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, conn := range ct.conns {
		_ = conn.Close()
	}
	ct.conns = nil
}

// cutForGood breaks all connections and takes no more, as when the process is gone.
func (ct *cutter) cutForGood() {
	ct.mu.Lock()
	ct.closed = true
	ct.mu.Unlock()
	_ = ct.lis.Close()
	ct.cut()
}
