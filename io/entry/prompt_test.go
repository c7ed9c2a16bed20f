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
		// text is that of the prompt; message is part of the error for wrong bodies.
		text    string
		message string
	}{
		{name: "plain", body: `{"model":"m","prompt":"abc"}`, text: "abc"},
		{name: "chat", body: `{"model":"m","messages":[{"role":"user","content":"a"}]}`, chat: true, text: "user\na\n"},
		{name: "chat in parts", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, chat: true, text: "user\nab\n"},
		{name: "no JSON", body: `{`, message: "not the JSON of a completion"},
		{name: "no model", body: `{"prompt":"abc"}`, message: "model is missing"},
		{name: "empty prompt", body: `{"model":"m","prompt":""}`, message: "prompt must be"},
		{name: "prompt of another type", body: `{"model":"m","prompt":[1,2]}`, message: "prompt must be"},
		{name: "no messages", body: `{"model":"m","messages":[]}`, chat: true, message: "messages must be"},
		{name: "image", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, chat: true, message: "messages[0]"},
		{name: "no role", body: `{"model":"m","messages":[{"content":"a"}]}`, chat: true, message: "messages[0]"},
		{name: "negative limit", body: `{"model":"m","prompt":"a","max_tokens":-1}`, message: "max_tokens is -1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pt, er := parsePrompt([]byte(tc.body), tc.chat)
			switch {
			case er == nil && tc.message != "":
				t.Fatalf("the body is taken, its text is %q", pt.text)
			case er != nil && (tc.message == "" || !strings.Contains(er.Message(), tc.message)):
				t.Fatalf("error: %s", er.Message())
			case er != nil && (er.Code() != answer.BadRequest || er.Outcome() != answer.NotRun):
				t.Fatalf("code %s, outcome %s", er.Code(), er.Outcome())
			case er == nil && (pt.text != tc.text || pt.MaxTokens != defaultMaxTokens):
				t.Errorf("text %q, at most %d tokens", pt.text, pt.MaxTokens)
			}
		})
	}
}

// A call that goes on keeps all fields of the caller's body as they were written, also numbers that no float holds.
func TestContinuedBodyKeepsItsFields(t *testing.T) {
	plain, err := continueBody([]byte(`{"model":"m","prompt":"abc","seed":9007199254740993,"max_tokens":9}`), false, "de", 7)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"prompt":"abcde"`, `"max_tokens":7`, `"seed":9007199254740993`} {
		if !strings.Contains(string(plain), want) {
			t.Errorf("%s is not in %s", want, plain)
		}
	}
	chat, err := continueBody([]byte(`{"model":"m","messages":[{"role":"user","content":"a","weight":9007199254740993}]}`), true, "b", 7)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"weight":9007199254740993`, `"content":"b"`, `"role":"assistant"`, `"continue_final_message":true`} {
		if !strings.Contains(string(chat), want) {
			t.Errorf("%s is not in %s", want, chat)
		}
	}
}

// The id of an event leads any entry to its stream; what is no such id is told to the caller.
func TestEventIDs(t *testing.T) {
	rt := resumeToken{Agent: "10.0.0.1:7000", Incarnation: 3, Stream: "s"}
	got, er := decodeToken(rt.prefix() + "17")
	if rt.seq = 17; er != nil || got != rt {
		t.Errorf("got %+v, %v", got, er)
	}
	for _, id := range []string{"", "17", rt.prefix(), rt.prefix() + "x", "!!." + "1"} {
		if _, er := decodeToken(id); er == nil || er.Code() != answer.BadRequest {
			t.Errorf("the id %q is taken", id)
		}
	}
}

// A refusal says that nothing ran only if that is true of all tries.
func TestFinalError(t *testing.T) {
	refused := answer.NewError(answer.Overloaded, answer.NotRun, refusedRetryAfter, "full")
	rq := &request{}
	if er := rq.finalError(refused); er.Outcome() != answer.NotRun {
		t.Errorf("outcome %s though nothing ran", er.Outcome())
	}
	rq.note(answer.NewError(answer.ServerFailed, answer.Unknown, 0, "reset"))
	rq.note(refused)
	if er := rq.finalError(refused); er.Outcome() != answer.Unknown || er.RetryAfter() != refusedRetryAfter {
		t.Errorf("outcome %s after a try that may have run", er.Outcome())
	}
	if rq.finalError(nil) != nil {
		t.Error("an answer became an error")
	}
}

// The path goes on as it was escaped.
func TestForwardPath(t *testing.T) {
	called, err := url.Parse("http://entry/services/stock/a%2Fb/../c?q=%20")
	if err != nil {
		t.Fatal(err)
	}
	if got := forwardPath(called, "stock"); got != "/a%2Fb/../c?q=%20" {
		t.Errorf("got %q", got)
	}
}
