package reply_test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an answer of a store, a list, a service or an engine in trouble that is used although its head is none.
func TestClientsRejectInvalidHeads(t *testing.T) {
	for _, cl := range calls() {
		sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(cl.body), cl.body)
		if got, err := cl.do(t.Context(), newCutService(t, sound, ordinary).base(len(sound))); err != nil {
			t.Fatalf("%s: got %q, %v", cl.name, got, err)
		}
		for _, change := range [][2]string{{"200 OK", "000 OK"}, {"200 OK", "099 OK"}, {"200 OK", "600 OK"}, {"200 OK", "2000 OK"}, {"200 OK", "101 Switching"},
			{"Connection:", "X Note: a\r\nConnection:"}, {"Connection:", "X-Note : a\r\nConnection:"}, {"Length:", "Length :"}, {"Connection:", "X\x01Note: a\r\nConnection:"},
			{"Connection:", "X-Note: a\x01\r\nConnection:"}, {"Connection:", "X-Note\r\nConnection:"}, {"HTTP/1.1 200 OK", "HTTP/2.0 200 OK"}, {"HTTP", "HTTP/1.1 000 None\r\n\r\nHTTP"},
			{"HTTP", "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\nHTTP"}} {
			text := strings.Replace(sound, change[0], change[1], 1)
			if got, err := cl.do(t.Context(), newCutService(t, text, ordinary).base(len(text))); err == nil {
				t.Errorf("%s, %q in place of %q: got %q", cl.name, change[1], change[0], got)
			}
		}
	}
}
