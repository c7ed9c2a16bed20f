package table

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a response that says nothing about cells or versions and is taken for one that says that there are none.
func TestResponsesThatSayNothingAreUnavailable(t *testing.T) {
	var text string
	status := http.StatusOK
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(status)
		_, _ = io.WriteString(wr, text)
	}))
	defer srv.Close()
	ht := NewHTTP(srv.URL)
	writes := []Write{{Key: "a"}, {Key: "b"}}
	for _, tt := range []struct {
		text                      string
		cells, versions, conflict bool
	}{
		{`{"cells":[]}`, true, false, true},
		// A service written in Go encodes an empty list like this.
		{`{"cells":null}`, true, false, true},
		{`{"versions":[1,2]}`, false, true, false},
		{`{"versions":[1]}`, false, false, false},
		{`{"versions":null}`, false, false, false},
		{`{}`, false, false, false},
		{`null`, false, false, false},
		{`[]`, false, false, false},
		{``, false, false, false},
	} {
		text, status = tt.text, http.StatusOK
		isUnavailable := func(err error) bool { var ue *UnavailableError; return errors.As(err, &ue) }
		if _, err := ht.Read(t.Context(), []string{"a"}); (err == nil) != tt.cells || err != nil && !isUnavailable(err) {
			t.Errorf("read, %q: got %v", tt.text, err)
		}
		if _, err := ht.Scan(t.Context(), "a", 1); (err == nil) != tt.cells || err != nil && !isUnavailable(err) {
			t.Errorf("scan, %q: got %v", tt.text, err)
		}
		if _, err := ht.Commit(t.Context(), writes); (err == nil) != tt.versions || err != nil && !isUnavailable(err) {
			t.Errorf("commit, %q: got %v", tt.text, err)
		}
		status = http.StatusConflict
		var ce *ConflictError
		if _, err := ht.Commit(t.Context(), writes); errors.As(err, &ce) != tt.conflict || !tt.conflict && !isUnavailable(err) {
			t.Errorf("conflict, %q: got %v", tt.text, err)
		}
	}
}
