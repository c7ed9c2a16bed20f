package local

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a response that a caller with HTTP/1.0 cannot tell from one that was cut off, because its entry was killed or disconnected the
// caller: without a length, it ends with its connection, and the kernel closes that in good order.
func TestResponsesToHTTP10CallersShowTheirEnd(t *testing.T) {
	cl := newCluster(t, clusterOptions{engines: 1, plainServices: 1, entries: 1})
	long := strings.Repeat("x", 5000)
	for _, tt := range []struct{ name, method, path, headers, body string }{
		{"lookup", "GET", "/services/stock/" + long, "", ""},
		{"order", "POST", "/services/stock/orders", "Idempotency-Key: k\r\n", long},
		{"completion", "POST", "/v1/completions", "", fmt.Sprintf(`{"model":"dispatch","prompt":%q,"max_tokens":400}`, taggedPrompt(long))},
	} {
		conn, err := net.Dial("tcp", cl.entries[0].Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
			tt.method, tt.path, mchangaKey, tt.headers, len(tt.body), tt.body)
		rs, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: tt.method})
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		body, err := io.ReadAll(rs.Body)
		if err != nil || rs.StatusCode/100 != 2 {
			t.Errorf("%s: got %d %.200q, %v", tt.name, rs.StatusCode, body, err)
		}
		isDocument := tt.name == "completion" && json.Valid(body)
		if rs.ContentLength != int64(len(body)) && !isDocument {
			t.Errorf("%s: %d bytes, of which the header says %d", tt.name, len(body), rs.ContentLength)
		}
		_ = conn.Close()
	}
}
