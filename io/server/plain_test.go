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
