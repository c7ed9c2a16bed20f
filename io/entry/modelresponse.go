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

// modelResponse writes the response of a model call, either as an event stream or as one JSON object.
type modelResponse struct {
	wr     http.ResponseWriter
	rq     *request
	call   *modelCall
	stream bool
	// started is set once the status line of an event stream was sent.
	started    bool
	text       strings.Builder
	created    int64
	controller *http.ResponseController
	// event is the buffer of the event being written; it is reused.
	event []byte
}

func newModelResponse(wr http.ResponseWriter, rq *request, call *modelCall, stream bool) *modelResponse {
	return &modelResponse{wr: wr, rq: rq, call: call, stream: stream, created: time.Now().Unix(),
		controller: http.NewResponseController(wr)}
}

func (mr *modelResponse) startStream() {
	if mr.started {
		return
	}
	mr.started = true
	mr.wr.Header().Set("Content-Type", "text/event-stream")
	mr.wr.Header().Set("Cache-Control", "no-store")
	mr.wr.Header().Set("X-Outcome", string(answer.Done))
	mr.wr.WriteHeader(http.StatusOK)
}

// writeChunk writes an event of the engine with an event id, or collects its text if the response is not streamed. Events without
// text are dropped.
func (mr *modelResponse) writeChunk(id string, ck *wire.Chunk) {
	if ck.GetText() == "" {
		return
	}
	if !mr.stream {
		mr.text.WriteString(ck.GetText())
		return
	}
	mr.startStream()
	mr.event = append(append(append(mr.event[:0], "id: "...), id...), "\ndata: "...)
	mr.event = append(append(mr.event, ck.GetData()...), "\n\n"...)
	_, _ = mr.wr.Write(mr.event)
	_ = mr.controller.Flush()
}

// writeErrorEvent ends an incomplete stream with an error event.
func (mr *modelResponse) writeErrorEvent(er *answer.Error) {
	encoded, _ := json.Marshal(newErrorResponse(mr.rq, er))
	_, _ = fmt.Fprintf(mr.wr, "event: error\ndata: %s\n\n", encoded)
}

// tokenCounts are the token counts of a response: a usageJSON, or an outputUsageJSON if those of the prompt are not known.
type tokenCounts interface{ isTokenCounts() }

func (usageJSON) isTokenCounts()       {}
func (outputUsageJSON) isTokenCounts() {}

// usageJSON is the JSON encoding of all token counts.
type usageJSON struct {
	Prompt  int64            `json:"prompt_tokens"`
	Output  int64            `json:"completion_tokens"`
	Total   int64            `json:"total_tokens"`
	Details map[string]int64 `json:"prompt_tokens_details"`
}

// cachedTokensKey is the key of the cached tokens in the details of the prompt tokens.
const cachedTokensKey = "cached_tokens"

// outputUsageJSON is the JSON encoding of the generated tokens alone.
type outputUsageJSON struct {
	Output int64 `json:"completion_tokens"`
}

// decodeUsage returns the token counts in the data of an engine's event; ok is false if it has none.
func decodeUsage(data []byte) (us usageJSON, ok bool) {
	var event struct {
		Usage *usageJSON `json:"usage"`
	}
	if err := json.Unmarshal(data, &event); err != nil || event.Usage == nil {
		return usageJSON{}, false
	}
	us = *event.Usage
	us.Total = us.Prompt + us.Output
	return us, true
}

func newUsageJSON(us *wire.Usage) usageJSON {
	return usageJSON{
		Prompt:  us.GetPromptTokens(),
		Output:  us.GetOutputTokens(),
		Total:   us.GetPromptTokens() + us.GetOutputTokens(),
		Details: map[string]int64{cachedTokensKey: us.GetCachedTokens()},
	}
}

// completionJSON is the JSON encoding of a response that is not streamed.
type completionJSON struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceJSON `json:"choices"`
	Usage   tokenCounts  `json:"usage"`
}

type choiceJSON struct {
	Index        int               `json:"index"`
	Text         string            `json:"text,omitempty"`
	Message      map[string]string `json:"message,omitempty"`
	FinishReason string            `json:"finish_reason"`
}

// finish ends a stream with the token counts, or writes the whole response if it is not streamed.
func (mr *modelResponse) finish(us tokenCounts) {
	if mr.stream {
		mr.startStream()
		encoded, _ := json.Marshal(map[string]any{"choices": []any{}, "usage": us})
		_, _ = fmt.Fprintf(mr.wr, "data: %s\n\ndata: [DONE]\n\n", encoded)
		return
	}
	mr.wr.Header().Set("X-Outcome", string(answer.Done))
	choice := choiceJSON{FinishReason: "stop", Text: mr.text.String()}
	object := "text_completion"
	if mr.call.chat {
		object = "chat.completion"
		choice.Text = ""
		choice.Message = map[string]string{"role": "assistant", "content": mr.text.String()}
	}
	writeJSON(mr.wr, http.StatusOK, completionJSON{
		ID:      mr.rq.id,
		Object:  object,
		Created: mr.created,
		Model:   mr.call.prompt.Model,
		Choices: []choiceJSON{choice},
		Usage:   us,
	})
}
