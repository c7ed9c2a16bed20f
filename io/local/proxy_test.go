package local

import (
	"net"
	"sync"
	"testing"
)

// cutter forwards connections to a process until it is told to cut them.
type proxy struct {
	target string
	lis    net.Listener

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
	// frozen is held while nothing gets through, as when the process is stopped.
	stallMu sync.RWMutex
}

// newCutter returns a forwarder to an address; it ends with the test.
func newProxy(t testing.TB, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	px := &proxy{target: target, lis: lis}
	go px.serve()
	t.Cleanup(px.shutDown)
	return px, nil
}

func (px *proxy) address() string { return px.lis.Addr().String() }

func (px *proxy) serve() {
	for {
		client, err := px.lis.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", px.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		if !px.track(client, upstream) {
			continue
		}
		go px.forward(client, upstream)
		go px.forward(upstream, client)
	}
}

func (px *proxy) forward(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		px.stallMu.RLock()
		_, werr := to.Write(buf[:count])
		px.stallMu.RUnlock()
		if err != nil || werr != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// freeze holds all bytes back until the returned function is called.
func (px *proxy) stall() (resume func()) {
	px.stallMu.Lock()
	return px.stallMu.Unlock
}

func (px *proxy) track(conns ...net.Conn) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.closed {
		for _, conn := range conns {
			_ = conn.Close()
		}
		return false
	}
	px.conns = append(px.conns, conns...)
	return true
}

// cut breaks all connections; new ones are taken.
func (px *proxy) disconnect() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, conn := range px.conns {
		_ = conn.Close()
	}
	px.conns = nil
}

// cutForGood breaks all connections and takes no more, as when the process is gone.
func (px *proxy) shutDown() {
	px.mu.Lock()
	px.closed = true
	px.mu.Unlock()
	_ = px.lis.Close()
	px.disconnect()
}
