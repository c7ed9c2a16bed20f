package intake

import (
	"net/http"
	"time"

	"shallotcleat/core/memory"
)

// lingerTime bounds what net/http still reads of a request whose body was refused.
const lingerTime = 500 * time.Millisecond

// ReadBody reads the body of a request of at most maxBytes. It fails with ErrTooLong, before it reads anything if the length was
// announced, with memory.ErrShort, or with the error of the read; the response must then end the connection, which ReadBody prepares.
// The caller closes the claim of the returned data in every case.
func ReadBody(bg *memory.Budget, wr http.ResponseWriter, hr *http.Request, maxBytes int64) (*Data, error) {
	controller := http.NewResponseController(wr)
	cl := bg.Open(time.Now(), memory.Body, func() {
		// Ends the pending read. A connection that has ended needs no deadline.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	dt := NewData(cl)
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
