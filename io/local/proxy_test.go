package local

import (
	"net"
	"sync"
	"testing"
)

// proxy forwards TCP connections to a process and can stall or break them.
type proxy struct {
	target string
	lis    net.Listener

	// mu guards conns and closed.
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
	// stallMu is held for writing while the proxy is stalled, and for reading during each write.
	stallMu sync.RWMutex
}

// newProxy starts a proxy to the target address that shuts down at the end of the test.
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

// forward copies bytes until a read or write fails, then closes both connections.
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

// stall holds back all bytes until resume is called, as if the process were suspended. Connections are still accepted.
func (px *proxy) stall() (resume func()) {
	px.stallMu.Lock()
	return px.stallMu.Unlock
}

// track registers connections for disconnect. After shutDown it closes them and returns false.
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

// disconnect closes all connections; new ones are still accepted.
func (px *proxy) disconnect() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, conn := range px.conns {
		_ = conn.Close()
	}
	px.conns = nil
}

// shutDown closes all connections and accepts no more, as if the process had ended.
func (px *proxy) shutDown() {
	px.mu.Lock()
	px.closed = true
	px.mu.Unlock()
	_ = px.lis.Close()
	px.disconnect()
}
