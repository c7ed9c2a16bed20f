package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"shallotcleat/core/answer"
)

// bytesPerToken is the assumed average length of a token, used to estimate prompt lengths.
const bytesPerToken = 4

// defaultMaxTokens is the engines' limit of generated tokens for calls without max_tokens.
const defaultMaxTokens = 16

// prompt holds the fields of a model call's body that the entry reads; all other fields are passed to the engine unchanged.
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

// contentPart is one element of a message content that is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parsePrompt decodes and validates the body of a model call.
func parsePrompt(body []byte, chat bool) (*prompt, *answer.Error) {
	var pt prompt
	if err := json.Unmarshal(body, &pt); err != nil {
		return nil, badRequest("decode request body: not the JSON of a completion: %v", err)
	}
	if pt.Model == "" {
		return nil, badRequest("model is missing; want the name of a service")
	}
	if pt.MaxTokens < 0 {
		return nil, badRequest("max_tokens is %d; want a positive integer", pt.MaxTokens)
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
		return "", badRequest("prompt must be a non-empty string")
	}
	return text, nil
}

// chatText concatenates the messages with their roles, so that conversations with equal beginnings have equal prefixes.
func chatText(messages []chatMessage) (string, *answer.Error) {
	if len(messages) == 0 {
		return "", badRequest("messages must be a non-empty list")
	}
	var out strings.Builder
	for i, ms := range messages {
		text, ok := contentText(ms.Content)
		if !ok || ms.Role == "" {
			return "", badRequest("messages[%d]: want a role and text content", i)
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

// tokens returns the estimated length of the prompt in tokens.
func (pt *prompt) tokens() int { return (len(pt.text) + bytesPerToken - 1) / bytesPerToken }

// continuationBody returns the body of a call that continues a response after relayedText, with at most maxTokens further tokens.
// All other fields stay as the caller wrote them.
func continuationBody(body []byte, chat bool, relayedText string, maxTokens int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("decode request body: %w", err)
	}
	overrides := map[string]any{"max_tokens": maxTokens}
	if chat {
		var messages []json.RawMessage
		if err := json.Unmarshal(fields["messages"], &messages); err != nil {
			return nil, fmt.Errorf("decode messages: %w", err)
		}
		relayedMessage, err := json.Marshal(map[string]string{"role": "assistant", "content": relayedText})
		if err != nil {
			return nil, fmt.Errorf("encode message: %w", err)
		}
		overrides["messages"] = append(messages, relayedMessage)
		overrides["continue_final_message"] = true
		overrides["add_generation_prompt"] = false
	} else {
		var text string
		if err := json.Unmarshal(fields["prompt"], &text); err != nil {
			return nil, fmt.Errorf("decode prompt: %w", err)
		}
		overrides["prompt"] = text + relayedText
	}
	for name, value := range overrides {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", name, err)
		}
		fields[name] = raw
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	return encoded, nil
}
