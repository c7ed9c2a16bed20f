package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"shallotcleat/core/answer"
	"shallotcleat/io/server"
)

// Guards against a failure of an engine that is taken for its statement that the call did not run and is wrong.
func TestFailureOfEngineStatesNothing(t *testing.T) {
	var status int
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(status) }))
	defer srv.Close()
	for want, statuses := range map[answer.Outcome][]int{
		answer.NotRun:  {http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests},
		answer.Unknown: {http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusNoContent},
	} {
		for _, status = range statuses {
			_, err := server.NewHTTPEngine(srv.URL).Stream(t.Context(), server.CompletionRequest{Path: "/", Body: []byte("{}")}, func(server.Event) error { return nil })
			er := toFailure(context.Background(), err).ToError()
			if er.Outcome() != want || (er.Code() == answer.BadRequest) != (want == answer.NotRun) {
				t.Errorf("status %d: got %s, %s, want %s", status, er.Code(), er.Outcome(), want)
			}
		}
	}
}
