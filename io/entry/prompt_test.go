package entry

import (
	"net/url"
	"strings"
	"testing"

	"shallotcleat/core/answer"
)

func TestParsePrompt(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
		chat bool
		// text is the expected prompt text; message is expected to be part of the error for invalid bodies.
		text    string
		message string
	}{
		{name: "plain", body: `{"model":"m","prompt":"abc"}`, text: "abc"},
		{name: "chat", body: `{"model":"m","messages":[{"role":"user","content":"a"}]}`, chat: true, text: "user\na\n"},
		{name: "chat in parts",
			body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
			chat: true, text: "user\nab\n"},
		{name: "no JSON", body: `{`, message: "not the JSON of a completion"},
		{name: "no model", body: `{"prompt":"abc"}`, message: "model is missing"},
		{name: "empty prompt", body: `{"model":"m","prompt":""}`, message: "prompt must be"},
		{name: "prompt of another type", body: `{"model":"m","prompt":[1,2]}`, message: "prompt must be"},
		{name: "no messages", body: `{"model":"m","messages":[]}`, chat: true, message: "messages must be"},
		{name: "image", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
			chat: true, message: "messages[0]"},
		{name: "no role", body: `{"model":"m","messages":[{"content":"a"}]}`, chat: true, message: "messages[0]"},
		{name: "negative limit", body: `{"model":"m","prompt":"a","max_tokens":-1}`, message: "max_tokens is -1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pt, er := parsePrompt([]byte(tc.body), tc.chat)
			switch {
			case er == nil && tc.message != "":
				t.Fatalf("got text %q, want an error with %q", pt.text, tc.message)
			case er != nil && (tc.message == "" || !strings.Contains(er.Message(), tc.message)):
				t.Fatalf("got error %q, want one with %q", er.Message(), tc.message)
			case er != nil && (er.Code() != answer.BadRequest || er.Outcome() != answer.NotRun):
				t.Fatalf("got code %s, outcome %s; want %s, %s", er.Code(), er.Outcome(), answer.BadRequest, answer.NotRun)
			case er == nil && (pt.text != tc.text || pt.MaxTokens != defaultMaxTokens):
				t.Errorf("got text %q, max_tokens %d; want %q, %d", pt.text, pt.MaxTokens, tc.text, defaultMaxTokens)
			}
		})
	}
}

// The body of a continued call keeps all other fields as the caller wrote them. Decoding numbers as float64 would change integers
// above 2^53.
func TestContinuationBodyKeepsFields(t *testing.T) {
	plain, err := continuationBody([]byte(`{"model":"m","prompt":"abc","seed":9007199254740993,"max_tokens":9}`), false, "de", 7)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"prompt":"abcde"`, `"max_tokens":7`, `"seed":9007199254740993`} {
		if !strings.Contains(string(plain), want) {
			t.Errorf("%s is not in %s", want, plain)
		}
	}
	chat, err := continuationBody([]byte(`{"model":"m","messages":[{"role":"user","content":"a","weight":9007199254740993}]}`),
		true, "b", 7)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"weight":9007199254740993`, `"content":"b"`, `"role":"assistant"`,
		`"continue_final_message":true`} {
		if !strings.Contains(string(chat), want) {
			t.Errorf("%s is not in %s", want, chat)
		}
	}
}

// An event id decodes to the same resume token in any entry; an invalid id is a bad request.
func TestResumeTokenRoundTrip(t *testing.T) {
	rt := resumeToken{Agent: "10.0.0.1:7000", Incarnation: 3, Stream: "s"}
	got, er := decodeResumeToken(rt.prefix() + "17")
	if rt.seq = 17; er != nil || got != rt {
		t.Errorf("got token %+v, error %v; want %+v", got, er, rt)
	}
	for _, id := range []string{"", "17", rt.prefix(), rt.prefix() + "x", "!!." + "1"} {
		if _, er := decodeResumeToken(id); er == nil || er.Code() != answer.BadRequest {
			t.Errorf("id %q: got error %v, want code %s", id, er, answer.BadRequest)
		}
	}
}

// The final error reports the outcome not_run only if no attempt may have run.
func TestFinalErrorKeepsUnknownOutcome(t *testing.T) {
	refused := answer.NewError(answer.Overloaded, answer.NotRun, defaultRetryAfter, "full")
	rq := &request{}
	if er := rq.finalError(refused); er.Outcome() != answer.NotRun {
		t.Errorf("got outcome %s, want %s: no attempt may have run", er.Outcome(), answer.NotRun)
	}
	rq.recordOutcome(answer.NewError(answer.ServerFailed, answer.Unknown, 0, "reset"))
	rq.recordOutcome(refused)
	if er := rq.finalError(refused); er.Outcome() != answer.Unknown || er.RetryAfter() != defaultRetryAfter {
		t.Errorf("got outcome %s, retry after %v; want %s, %v: an attempt may have run",
			er.Outcome(), er.RetryAfter(), answer.Unknown, defaultRetryAfter)
	}
	if rq.finalError(nil) != nil {
		t.Error("got an error for a request without one")
	}
}

// The path and the query are forwarded as the caller escaped them.
func TestForwardPathKeepsEscapes(t *testing.T) {
	callURL, err := url.Parse("http://entry/services/stock/a%2Fb/../c?q=%20")
	if err != nil {
		t.Fatal(err)
	}
	if got := forwardPath(callURL, "stock"); got != "/a%2Fb/../c?q=%20" {
		t.Errorf("got %q", got)
	}
}
