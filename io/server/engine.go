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

	"shallotcleat/io/client"
	"shallotcleat/io/reply"
)

// Limits of an engine's responses.
const (
	maxEventBytes = 1 << 20
	maxErrorBytes = 4 << 10
	stateTimeout  = time.Second
)

// CompletionRequest is a completion request to a model engine.
type CompletionRequest struct {
	Path string
	// Body is a JSON object in the OpenAI format.
	Body      []byte
	RequestID string
	// CacheSalt partitions the engine's prefix cache: the engine reuses a cache entry only under the salt with which it
	// was created.
	CacheSalt string
	// Adapter is the name of the adapter to use, or empty for none.
	Adapter string
	// Priority orders the engine's own queue; lower values run first.
	Priority int
}

// Usage holds the numbers of tokens that a completion used.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Event is one server-sent event of an engine's stream.
type Event struct {
	// Data is the JSON of the event.
	Data []byte
	// Text is the generated text in the event, which may be empty.
	Text string
}

// State is the state that an engine reports; it lags behind the engine.
type State struct {
	// Incarnation is a number that is new at each start of the engine.
	Incarnation uint64 `json:"incarnation"`
	// WeightVersion is the version of the weights that the engine serves.
	WeightVersion string `json:"weights"`
	// PrefillRate is the advertised prefill rate in tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Loading reports whether the engine is loading weights.
	Loading bool `json:"loading"`
}

// Engine is a client of a model engine.
type Engine interface {
	// Stream runs a completion and calls onEvent for each event in order, until it fails. Its error is a *NotSentError, a *StatusError,
	// or an *ExchangeError if no complete stream arrived or onEvent failed.
	Stream(ctx context.Context, cr CompletionRequest, onEvent func(ev Event) error) (Usage, error)
	// State returns the state that the engine reports.
	State(ctx context.Context) (State, error)
	// Load orders the engine to load a version of the weights. It returns a *StatusError if the engine refuses the
	// fencing number. It has no timeout of its own.
	Load(ctx context.Context, version string, fence uint64) error
}

// HTTPEngine is an Engine with an OpenAI-compatible API.
type HTTPEngine struct {
	baseURL string
	client  *http.Client
}

// NewHTTPEngine returns a client of the engine at a base URL.
func NewHTTPEngine(baseURL string) *HTTPEngine {
	transport := client.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: reply.MaxHeaderBytes})
	return &HTTPEngine{baseURL: baseURL, client: &http.Client{Transport: transport}}
}

// Stream implements Engine.
func (he *HTTPEngine) Stream(ctx context.Context, cr CompletionRequest, onEvent func(ev Event) error) (Usage, error) {
	body, err := requestBody(cr)
	if err != nil {
		return Usage{}, &NotSentError{cause: err}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, he.baseURL+cr.Path, bytes.NewReader(body))
	if err != nil {
		return Usage{}, &NotSentError{cause: err}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("X-Request-Id", cr.RequestID)
	httpResponse, err := he.client.Do(httpRequest)
	if err != nil {
		return Usage{}, classifyError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(httpResponse.Body, maxErrorBytes))
		return Usage{}, &StatusError{status: httpResponse.StatusCode, body: string(text)}
	}
	return readEvents(httpResponse.Body, onEvent)
}

// requestBody returns the caller's JSON object with streaming enabled and the fields of the engine's extensions set.
func requestBody(cr CompletionRequest) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(cr.Body, &fields); err != nil {
		return nil, fmt.Errorf("decode request body: %w", err)
	}
	if fields == nil {
		return nil, errors.New("decode request body: not a JSON object")
	}
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	fields["cache_salt"] = cr.CacheSalt
	fields["priority"] = cr.Priority
	if cr.Adapter != "" {
		fields["adapter"] = cr.Adapter
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode request body: %w", err)
	}
	return body, nil
}

// eventUsage is the part of an event that holds token counts.
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
	usageKey   = []byte(`"usage"`)
	doneMarker = []byte("[DONE]")
	// errNoDoneMarker is the cause of an ExchangeError if the connection is closed cleanly before the [DONE] marker.
	errNoDoneMarker = errors.New("stream ended without the [DONE] marker")
)

// readEvents calls onEvent for each event up to the [DONE] marker and returns the token counts of the last event that
// has any. An event counts once the empty line after it has arrived.
func readEvents(body io.Reader, onEvent func(ev Event) error) (Usage, error) {
	var usage Usage
	var data []byte
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	sc.Split(scanWholeLines)
	for sc.Scan() {
		if len(sc.Bytes()) > 0 {
			if line, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix); ok {
				data = append(data, line...)
			}
			if len(data) > maxEventBytes {
				return usage, &ExchangeError{cause: bufio.ErrTooLong}
			}
			continue
		}
		if data == nil {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return usage, nil
		}
		usage = decodeUsage(data, usage)
		if err := onEvent(Event{Data: data, Text: decodeText(data)}); err != nil {
			return usage, &ExchangeError{cause: err}
		}
		data = nil
	}
	if err := sc.Err(); err != nil {
		return usage, &ExchangeError{cause: err}
	}
	return usage, &ExchangeError{cause: errNoDoneMarker}
}

// scanWholeLines is bufio.ScanLines without a last line that has no line end: it was cut off.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// eventText is the part of an event that holds generated text, of a completion (text) or a chat completion (delta).
type eventText struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// decodeText returns the generated text of an event, or the empty string if it has none.
func decodeText(data []byte) string {
	var ev eventText
	if err := json.Unmarshal(data, &ev); err != nil || len(ev.Choices) == 0 {
		return ""
	}
	return ev.Choices[0].Text + ev.Choices[0].Delta.Content
}

// decodeUsage returns the token counts of an event, or last if it has none.
func decodeUsage(data []byte, last Usage) Usage {
	if !bytes.Contains(data, usageKey) {
		return last
	}
	var ev eventUsage
	if err := json.Unmarshal(data, &ev); err != nil || ev.Usage == nil {
		return last
	}
	return Usage{PromptTokens: ev.Usage.Prompt, CachedTokens: ev.Usage.Details.Cached, OutputTokens: ev.Usage.Output}
}

// maxStateBytes bounds the body of an engine's state.
const maxStateBytes = 1 << 20

// State implements Engine.
func (he *HTTPEngine) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, he.baseURL+"/state", nil)
	if err != nil {
		return State{}, fmt.Errorf("get engine state: %w", err)
	}
	httpResponse, err := he.client.Do(httpRequest)
	if err != nil {
		return State{}, fmt.Errorf("get engine state: %w", err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.StatusCode != http.StatusOK {
		return State{}, &StatusError{status: httpResponse.StatusCode}
	}
	var st State
	if _, err := reply.Decode(httpResponse, maxStateBytes, &st); err != nil {
		return State{}, fmt.Errorf("get engine state: %w", err)
	}
	return st, nil
}

// loadOrder is the request body of a load order.
type loadOrder struct {
	WeightVersion string `json:"weights"`
	Fence         uint64 `json:"fence"`
}

// Load implements Engine.
func (he *HTTPEngine) Load(ctx context.Context, version string, fence uint64) error {
	body, err := json.Marshal(loadOrder{WeightVersion: version, Fence: fence})
	if err != nil {
		return fmt.Errorf("encode load order: %w", err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, he.baseURL+"/load", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create load order: %w", err)
	}
	httpResponse, err := he.client.Do(httpRequest)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.StatusCode != http.StatusOK {
		return &StatusError{status: httpResponse.StatusCode}
	}
	return nil
}
