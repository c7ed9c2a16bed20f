package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"shallotcleat/core/answer"
)

// bytesPerToken is the expected length of a token in a prompt.
const bytesPerToken = 4

// defaultMaxTokens is what engines generate when the caller sets no limit.
const defaultMaxTokens = 16

// prompt is the part of a model call's body that the router reads; all other fields go to the engine as they are.
type prompt struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []chatMessage   `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`

	text string
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content that is given as a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parsePrompt returns what the router needs of a body, or the reason why the body is wrong.
func parsePrompt(body []byte, chat bool) (*prompt, *answer.Error) {
	var pt prompt
	if err := json.Unmarshal(body, &pt); err != nil {
		return nil, badRequest("the body is not the JSON of a completion: %v", err)
	}
	if pt.Model == "" {
		return nil, badRequest("model is missing; it names a service")
	}
	if pt.MaxTokens < 0 {
		return nil, badRequest("max_tokens is %d; allowed are whole numbers from 1", pt.MaxTokens)
	}
	if pt.MaxTokens == 0 {
		pt.MaxTokens = defaultMaxTokens
	}
	var er *answer.Error
	if chat {
		pt.text, er = chatText(pt.Messages)
	} else {
		pt.text, er = plainText(pt.Prompt)
	}
	if er != nil {
		return nil, er
	}
	return &pt, nil
}

func badRequest(format string, args ...any) *answer.Error {
	return answer.NewError(answer.BadRequest, answer.NotRun, 0, format, args...)
}

func plainText(raw json.RawMessage) (string, *answer.Error) {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil || text == "" {
		return "", badRequest("prompt must be a string that is not empty")
	}
	return text, nil
}

// chatText joins the messages with their roles, so that equal conversations have equal prefixes.
func chatText(messages []chatMessage) (string, *answer.Error) {
	if len(messages) == 0 {
		return "", badRequest("messages must be a list that is not empty")
	}
	var out strings.Builder
	for i, ms := range messages {
		text, ok := contentText(ms.Content)
		if !ok || ms.Role == "" {
			return "", badRequest("messages[%d] needs a role and a content of text", i)
		}
		out.WriteString(ms.Role)
		out.WriteByte('\n')
		out.WriteString(text)
		out.WriteByte('\n')
	}
	return out.String(), nil
}

func contentText(raw json.RawMessage) (string, bool) {
	if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		var text string
		err := json.Unmarshal(raw, &text)
		return text, err == nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", false
	}
	var out strings.Builder
	for _, pt := range parts {
		if pt.Type != "text" {
			return "", false
		}
		out.WriteString(pt.Text)
	}
	return out.String(), true
}

// tokens returns the expected length of the prompt.
func (pt *prompt) tokens() int { return (len(pt.text) + bytesPerToken - 1) / bytesPerToken }

// continueBody returns the body of a call that goes on after the part of the answer that was sent already. All other fields stay as the
// caller wrote them.
func continueBody(body []byte, chat bool, sent string, tokensLeft int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("decode the caller's body: %w", err)
	}
	changed := map[string]any{"max_tokens": tokensLeft}
	if chat {
		var messages []json.RawMessage
		if err := json.Unmarshal(fields["messages"], &messages); err != nil {
			return nil, fmt.Errorf("decode messages: %w", err)
		}
		said, err := json.Marshal(map[string]string{"role": "assistant", "content": sent})
		if err != nil {
			return nil, fmt.Errorf("encode message: %w", err)
		}
		changed["messages"] = append(messages, said)
		changed["continue_final_message"] = true
		changed["add_generation_prompt"] = false
	} else {
		var text string
		if err := json.Unmarshal(fields["prompt"], &text); err != nil {
			return nil, fmt.Errorf("decode prompt: %w", err)
		}
		changed["prompt"] = text + sent
	}
	for name, value := range changed {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", name, err)
		}
		fields[name] = raw
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	return out, nil
}
