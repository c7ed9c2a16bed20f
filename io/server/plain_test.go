package server

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A plain service's response without a length is whole when its connection ends, but not when it is reset.
func TestPlainResponseEnds(t *testing.T) {
	const unframed, short = "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nwhole"
	for _, tt := range []struct {
		text         string
		reset, whole bool
	}{{unframed, false, true}, {unframed, true, false}, {short, false, false}} {
		srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			conn, _, err := wr.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, tt.text)
			if tt.reset {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}))
		for _, key := range []string{"", "k"} {
			rs, err := NewHTTPPlainService(srv.URL).Do(t.Context(), Request{Method: http.MethodPost, Path: "/", IdempotencyKey: key})
			var ee *ExchangeError
			if tt.whole && (err != nil || string(rs.Body) != "whole") || !tt.whole && !errors.As(err, &ee) {
				t.Errorf("%+v, key %q: got %q, %v", tt, key, rs.Body, err)
			}
		}
		srv.Close()
	}
}

// The response of a service that ends with its connection, as a killed process does, is not whole, however much of it arrived.
func TestResponseOfEndedServiceIsIncomplete(t *testing.T) {
	for _, key := range []string{"", "k"} {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			conn, _, err := wr.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwho")
			_ = srv.Listener.Close()
			_ = conn.Close()
		}))
		rs, err := NewHTTPPlainService(srv.URL).Do(t.Context(), Request{Method: http.MethodPost, Path: "/", IdempotencyKey: key})
		var ee *ExchangeError
		if !errors.As(err, &ee) {
			t.Errorf("key %q: got %q, %v", key, rs.Body, err)
		}
		srv.Close()
	}
}

// Guards against a request that fails since the connection is that of a server with HTTP/1.0, which is kept but serves one request only.
func TestRequestsToHTTP10Service(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		conn, _, err := wr.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole")
		_, _ = io.Copy(io.Discard, conn)
	}))
	defer srv.Close()
	service := NewHTTPPlainService(srv.URL)
	for _, key := range []string{"", "", "k", "", "k"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			rs, err := service.Do(t.Context(), Request{Method: method, Path: "/", IdempotencyKey: key})
			if err != nil || string(rs.Body) != "whole" {
				t.Errorf("%s, key %q: got %q, %v", method, key, rs.Body, err)
			}
		}
	}
}

// Guards against a part of a response that is taken for a whole one, also as the recorded result of an order, since the service reset the connection
// while the request was still being written; and against a whole one that is thrown away then.
func TestPlainResponseDuringUpload(t *testing.T) {
	const unframed, whole = "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	const tries, pause = 8, 20 * time.Millisecond
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	for _, tt := range []struct {
		name, text string
		whole      bool
		pause      time.Duration
		end        func(conn *net.TCPConn)
	}{
		{"no length, reset", unframed, false, pause, reset},
		{"no length, closed unread", unframed, false, pause, func(*net.TCPConn) {}},
		{"no length, end in good order", unframed, true, pause, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		{"no length, reset at once", unframed, false, 0, reset},
		{"length, reset", whole, true, pause, reset},
		{"length, reset at once", whole, true, 0, reset},
		{"length, closed unread at once", whole, true, 0, func(*net.TCPConn) {}},
		{"chunks, reset at once", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true, 0, reset},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
			if hr.URL.Path == "/healthz" {
				return
			}
			conn, _, err := wr.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, tt.text)
			time.Sleep(tt.pause)
			tt.end(conn.(*net.TCPConn))
			_ = conn.Close()
		}))
		for _, key := range []string{"", "k"} {
			wrong := 0
			for range tries {
				rs, err := NewHTTPPlainService(srv.URL).Do(t.Context(), Request{Method: http.MethodPost, Path: "/", IdempotencyKey: key, Body: make([]byte, 9<<20)})
				var ee *ExchangeError
				if tt.whole && (err != nil || string(rs.Body) != "whole") || !tt.whole && !errors.As(err, &ee) {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%s, key %q: %d of %d wrong", tt.name, key, wrong, tries)
			}
		}
		srv.Close()
	}
}
