package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// send sends a request with an id and returns the port of the connection that carried it.
func send(t *testing.T, pl *Pool, address, id string) string {
	t.Helper()
	rs, err := pl.Do(t.Context(), address, &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "a.example"})
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Close()
	port, err := io.ReadAll(rs)
	if err != nil {
		t.Fatal(err)
	}
	return string(port)
}

// Guards against TWICE and REFUSED: a connection that carries an id twice can't tell a copy of the first response from the second response.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		_, _ = io.WriteString(wr, hr.RemoteAddr)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	pl := NewPool()
	first := send(t, pl, address, "a")
	if again := send(t, pl, address, "b"); again != first {
		t.Error("a request with another id takes a new connection")
	}
	second := send(t, pl, address, "a")
	if second == first {
		t.Error("a connection carries an id twice")
	}
	if third := send(t, pl, address, "a"); third == first || third == second {
		t.Error("a connection carries an id twice")
	}
	if again := send(t, pl, address, "c"); again == first || again == second {
		t.Error("the connection that was used last is not preferred")
	}
	// Connections that have carried an id stay in the pool for others.
	ports := make(map[string]int)
	for n := range 2 * maxCarried {
		ports[send(t, pl, address, fmt.Sprint("n", n))]++
	}
	for port, count := range ports {
		if count > maxCarried {
			t.Errorf("connection %s carried %d requests", port, count)
		}
	}
	if len(ports) > 3 {
		t.Errorf("%d requests took %d connections", 2*maxCarried, len(ports))
	}
}

// The use of a connection tells a new one from a kept one, and counts the responses to other requests that came first.
func TestConnUse(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader, earlier := bufio.NewReader(conn), ""
		for {
			hr, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", hr.Header.Get("X-Id"))
			_, _ = io.WriteString(conn, earlier+response)
			earlier = response
		}
	}()
	pl := NewPool()
	for n, want := range []ConnUse{{}, {requests: 1, skipped: 1}, {requests: 2, skipped: 1}} {
		id := fmt.Sprint(n)
		var use ConnUse
		time.Sleep(time.Duration(n) * time.Millisecond)
		rs, err := pl.Do(t.Context(), lis.Addr().String(), &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{"X-Id": {id}},
			Carried: func(cu ConnUse) { use = cu }, Matches: func(hd http.Header) bool { return hd.Get("X-Id") == id }})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, rs); err != nil {
			t.Fatal(err)
		}
		rs.Close()
		if use.Requests() != want.requests || use.Skipped() != want.skipped || (use.Idle() > 0) != (n > 0) {
			t.Errorf("request %d: got %+v, want %+v", n, use, want)
		}
	}
}

// Guards against an answer that is taken to have ended when its end was read: the process may have been paused meanwhile.
func TestLastHeardIsWhenTheEndArrived(t *testing.T) {
	const pause = 200 * time.Millisecond
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		conn, _, _ := wr.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		time.Sleep(pause)
		_ = conn.Close()
	}))
	defer srv.Close()
	begin := time.Now()
	rs, err := NewPool().Do(t.Context(), strings.TrimPrefix(srv.URL, "http://"), &Request{Method: http.MethodGet, Target: "/", Host: "a.example"})
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Close()
	time.Sleep(3 * pause)
	if _, err := io.ReadAll(rs); err != nil {
		t.Fatal(err)
	}
	if heard := rs.LastHeard().Sub(begin); heard < pause*9/10 || heard > 2*pause {
		t.Errorf("the end came %s after the request, want about %s", heard, pause)
	}
}
