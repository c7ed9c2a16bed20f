package intake

import (
	"errors"
	"net/http"
	"time"

	"shallotcleat/core/memory"
)

// lingerTime bounds what net/http still reads of a request whose body was refused.
const lingerTime = 500 * time.Millisecond

// ErrNoLength means that the end of a body is not known: a version of HTTP without chunks, and no length. net/http removes the header that
// names chunks then, and takes the body for empty.
var ErrNoLength = errors.New("request body without a length")

// lacksLength reports whether a request may have a body of which the end is not known.
func lacksLength(hr *http.Request) bool {
	switch hr.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return !hr.ProtoAtLeast(1, 1) && len(hr.Header["Content-Length"]) == 0
	}
	return false
}

// CloseAfterOldRequest makes the response to a request of a version of HTTP without chunks end the connection: what follows the request may be chunks of
// it, and would be read as the next one.
func CloseAfterOldRequest(wr http.ResponseWriter, hr *http.Request) {
	if !hr.ProtoAtLeast(1, 1) {
		wr.Header().Set("Connection", "close")
	}
}

// ReadBody reads the body of a request of at most maxBytes. It fails with ErrNoLength, with ErrTooLong, before it reads anything if the
// length was announced, with memory.ErrShort, or with the error of the read; the response must then end the connection, which ReadBody prepares.
// The caller closes the claim of the returned data in every case.
func ReadBody(bg *memory.Budget, wr http.ResponseWriter, hr *http.Request, maxBytes int64) (*Data, error) {
	controller := http.NewResponseController(wr)
	cl := bg.Open(time.Now(), memory.Body, func() {
		// Ends the pending read. A connection that has ended needs no deadline.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	dt := NewData(cl)
	if lacksLength(hr) {
		Refuse(wr)
		return dt, ErrNoLength
	}
	if hr.ContentLength == 0 {
		return dt, nil
	}
	err := ErrTooLong
	if hr.ContentLength <= maxBytes {
		cl.Arrive(time.Now(), max(hr.ContentLength, 0))
		err = dt.ReadAll(hr.Body, hr.ContentLength, maxBytes)
	}
	if err == nil {
		err = cl.Use()
	}
	if err != nil {
		dt.Recycle()
		cl.ShrinkTo(0)
		Refuse(wr)
		return dt, err
	}
	return dt, nil
}

// Refuse makes the response to a request whose body is not read end the connection soon.
func Refuse(wr http.ResponseWriter) {
	wr.Header().Set("Connection", "close")
	// Without a deadline, net/http would wait for the rest of the body. A connection that has ended needs none.
	_ = http.NewResponseController(wr).SetReadDeadline(time.Now().Add(lingerTime))
}
