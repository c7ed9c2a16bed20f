package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/wire"
)

// output writes the answer of a model call: as a stream of events, or whole.
type output struct {
	wr     http.ResponseWriter
	rq     *request
	call   *modelCall
	stream bool
	// started is set when the status line has been sent.
	started bool
	text    strings.Builder
	created int64
	flusher *http.ResponseController
	// line is the memory of the event that is written.
	line []byte
}

func newOutput(wr http.ResponseWriter, rq *request, call *modelCall, stream bool) *output {
	return &output{wr: wr, rq: rq, call: call, stream: stream, created: time.Now().Unix(), flusher: http.NewResponseController(wr)}
}

func (ou *output) start() {
	if ou.started {
		return
	}
	ou.started = true
	ou.wr.Header().Set("Content-Type", "text/event-stream")
	ou.wr.Header().Set("Cache-Control", "no-store")
	ou.wr.Header().Set("X-Outcome", string(answer.Done))
	ou.wr.WriteHeader(http.StatusOK)
}

// chunk passes an event of the engine on under an id; events that add nothing to the answer are left out.
func (ou *output) chunk(id string, ck *wire.Chunk) {
	if ck.GetText() == "" {
		return
	}
	if !ou.stream {
		ou.text.WriteString(ck.GetText())
		return
	}
	ou.start()
	ou.line = append(append(append(ou.line[:0], "id: "...), id...), "\ndata: "...)
	ou.line = append(append(ou.line, ck.GetData()...), "\n\n"...)
	_, _ = ou.wr.Write(ou.line)
	_ = ou.flusher.Flush()
}

// fail ends a stream that can't be completed with an error event.
func (ou *output) fail(er *answer.Error) {
	text, _ := json.Marshal(errorOf(ou.rq, er))
	_, _ = fmt.Fprintf(ou.wr, "event: error\ndata: %s\n\n", text)
}

// usageShape is the JSON of the tokens that an answer took.
type usageShape struct {
	Prompt  int64            `json:"prompt_tokens"`
	Output  int64            `json:"completion_tokens"`
	Total   int64            `json:"total_tokens"`
	Details map[string]int64 `json:"prompt_tokens_details"`
}

func usageOf(us *wire.Usage) usageShape {
	return usageShape{
		Prompt:  us.GetPromptTokens(),
		Output:  us.GetOutputTokens(),
		Total:   us.GetPromptTokens() + us.GetOutputTokens(),
		Details: map[string]int64{"cached_tokens": us.GetCachedTokens()},
	}
}

// wholeShape is the JSON of an answer that is not streamed.
type wholeShape struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choiceShape `json:"choices"`
	Usage   usageShape    `json:"usage"`
}

type choiceShape struct {
	Index        int               `json:"index"`
	Text         string            `json:"text,omitempty"`
	Message      map[string]string `json:"message,omitempty"`
	FinishReason string            `json:"finish_reason"`
}

// end completes the answer.
func (ou *output) end(us *wire.Usage) {
	if ou.stream {
		ou.start()
		text, _ := json.Marshal(map[string]any{"choices": []any{}, "usage": usageOf(us)})
		_, _ = fmt.Fprintf(ou.wr, "data: %s\n\ndata: [DONE]\n\n", text)
		return
	}
	ou.wr.Header().Set("X-Outcome", string(answer.Done))
	choice := choiceShape{FinishReason: "stop", Text: ou.text.String()}
	object := "text_completion"
	if ou.call.chat {
		object = "chat.completion"
		choice.Text = ""
		choice.Message = map[string]string{"role": "assistant", "content": ou.text.String()}
	}
	writeJSON(ou.wr, http.StatusOK, wholeShape{
		ID:      ou.rq.id,
		Object:  object,
		Created: ou.created,
		Model:   ou.call.prompt.Model,
		Choices: []choiceShape{choice},
		Usage:   usageOf(us),
	})
}
