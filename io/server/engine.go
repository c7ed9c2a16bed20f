package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Limits of an engine's answers.
const (
	maxEventBytes = 1 << 20
	maxErrorBytes = 4 << 10
	stateTimeout  = time.Second
)

// CompletionRequest is one call of a model engine.
type CompletionRequest struct {
	Path      string
	Body      []byte
	RequestID string
	// CacheSalt separates cache entries; the engine uses an entry only under the salt that it was made with.
	CacheSalt string
	// Adapter is the adapter to run with, or nothing.
	Adapter string
	// Priority orders the engine's own queue; a smaller number goes first.
	Priority int
}

// Usage tells what a completion took, in tokens.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Event is one event of an engine's stream.
type Event struct {
	// Data is the event's JSON.
	Data []byte
	// Text is what the event adds to the answer, if it adds anything.
	Text string
}

// State is what an engine reports of itself, with a lag.
type State struct {
	Incarnation uint64  `json:"incarnation"`
	Weights     string  `json:"weights"`
	PrefillRate float64 `json:"prefill_rate"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	// Loading is set while the engine loads weights.
	Loading bool `json:"loading"`
}

// Engine is a model engine.
type Engine interface {
	// Stream runs a completion and passes on the JSON of each event in order. It fails with an *NotSentError, a
	// *StatusError, or a *ExchangeError if the engine did not end the stream.
	Stream(ctx context.Context, call CompletionRequest, emit func(ev Event)) (Usage, error)
	// State returns what the engine reports.
	State(ctx context.Context) (State, error)
	// Load orders the engine to load weights; it fails with a *StatusError if the engine refuses the fencing number. It has
	// no time limit of its own.
	Load(ctx context.Context, weights string, fence uint64) error
}

// HTTPEngine is an Engine behind the OpenAI-compatible interface.
type HTTPEngine struct {
	base   string
	client *http.Client
}

// NewHTTPEngine returns the client of the engine at a base URL.
func NewHTTPEngine(base string) *HTTPEngine {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &HTTPEngine{base: base, client: &http.Client{Transport: transport}}
}

// Stream implements Engine.
func (he *HTTPEngine) Stream(ctx context.Context, call CompletionRequest, emit func(ev Event)) (Usage, error) {
	body, err := engineBody(call)
	if err != nil {
		return Usage{}, &NotSentError{cause: err}
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, he.base+call.Path, bytes.NewReader(body))
	if err != nil {
		return Usage{}, &NotSentError{cause: err}
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Request-Id", call.RequestID)
	rs, err := he.client.Do(rq)
	if err != nil {
		return Usage{}, callError(err)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(rs.Body, maxErrorBytes))
		return Usage{}, &StatusError{status: rs.StatusCode, body: string(text)}
	}
	return readEvents(rs.Body, emit)
}

// engineBody adds the engine's extensions to the caller's JSON.
func engineBody(call CompletionRequest) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, fmt.Errorf("decode body: %w", err)
	}
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	fields["cache_salt"] = call.CacheSalt
	fields["priority"] = call.Priority
	if call.Adapter != "" {
		fields["adapter"] = call.Adapter
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	return body, nil
}

// eventUsage is the part of an event that tells the tokens.
type eventUsage struct {
	Usage *struct {
		Prompt  int64 `json:"prompt_tokens"`
		Output  int64 `json:"completion_tokens"`
		Details struct {
			Cached int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

var (
	dataPrefix = []byte("data: ")
	usageMark  = []byte(`"usage"`)
	endMark    = []byte("[DONE]")
	// errNoEnd is the cause when the connection closes in good order but before the end mark.
	errNoEnd = errors.New("the stream has no end mark")
)

func readEvents(body io.Reader, emit func(ev Event)) (Usage, error) {
	var usage Usage
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, endMark) {
			return usage, nil
		}
		usage = usageOf(data, usage)
		emit(Event{Data: bytes.Clone(data), Text: textOf(data)})
	}
	if err := sc.Err(); err != nil {
		return usage, &ExchangeError{cause: err}
	}
	return usage, &ExchangeError{cause: errNoEnd}
}

// eventText is the part of an event that holds text.
type eventText struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func textOf(data []byte) string {
	var ev eventText
	if err := json.Unmarshal(data, &ev); err != nil || len(ev.Choices) == 0 {
		return ""
	}
	return ev.Choices[0].Text + ev.Choices[0].Delta.Content
}

func usageOf(data []byte, last Usage) Usage {
	if !bytes.Contains(data, usageMark) {
		return last
	}
	var ev eventUsage
	if err := json.Unmarshal(data, &ev); err != nil || ev.Usage == nil {
		return last
	}
	return Usage{PromptTokens: ev.Usage.Prompt, CachedTokens: ev.Usage.Details.Cached, OutputTokens: ev.Usage.Output}
}

// State implements Engine.
func (he *HTTPEngine) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, he.base+"/state", nil)
	if err != nil {
		return State{}, fmt.Errorf("engine state: %w", err)
	}
	rs, err := he.client.Do(rq)
	if err != nil {
		return State{}, fmt.Errorf("engine state: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	var st State
	if err := json.NewDecoder(rs.Body).Decode(&st); err != nil {
		return State{}, fmt.Errorf("engine state: decode: %w", err)
	}
	return st, nil
}

// loadOrder is the body of an order to load weights.
type loadOrder struct {
	Weights string `json:"weights"`
	Fence   uint64 `json:"fence"`
}

// Load implements Engine.
func (he *HTTPEngine) Load(ctx context.Context, weights string, fence uint64) error {
	body, err := json.Marshal(loadOrder{Weights: weights, Fence: fence})
	if err != nil {
		return fmt.Errorf("load order: %w", err)
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, he.base+"/load", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("load order: %w", err)
	}
	rs, err := he.client.Do(rq)
	if err != nil {
		return callError(err)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return &StatusError{status: rs.StatusCode}
	}
	return nil
}
