package local

import (
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
	// frozen is held while nothing gets through, as when the process is stopped.
	frozen sync.RWMutex
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
		go ct.copyAndClose(conn, back)
		go ct.copyAndClose(back, conn)
	}
}

func (ct *cutter) copyAndClose(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		ct.frozen.RLock()
		_, werr := to.Write(buf[:count])
		ct.frozen.RUnlock()
		if err != nil || werr != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// freeze holds all bytes back until the returned function is called.
func (ct *cutter) freeze() (thaw func()) {
	ct.frozen.Lock()
	return ct.frozen.Unlock
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
