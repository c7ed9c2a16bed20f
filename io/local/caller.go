package local

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// readyPollInterval is the interval at which WaitReady polls an entry.
const readyPollInterval = 20 * time.Millisecond

// Caller is an HTTP client that sends the requests of one workspace to one entry.
type Caller struct {
	baseURL string
	key     string
	client  *http.Client
}

// NewCaller returns a caller of the entry at address, which is host:port. key is the API key of the workspace.
func NewCaller(address, key string) *Caller {
	return &Caller{baseURL: "http://" + address, key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Response is the response to a request, with the headers that tests read.
type Response struct {
	Status     int
	RequestID  string
	Outcome    string
	RetryAfter string
	Body       []byte
}

// Code returns the error code in the body, or the empty string.
func (rsp Response) Code() string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(rsp.Body, &body)
	return body.Error.Code
}

// Completion is the body of a response that is not streamed, as the OpenAI API defines it.
type Completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage struct {
		PromptTokens int `json:"prompt_tokens"`
		OutputTokens int `json:"completion_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Text returns the generated text of a completion or chat completion.
func (cp Completion) Text() string {
	if len(cp.Choices) == 0 {
		return ""
	}
	return cp.Choices[0].Text + cp.Choices[0].Message.Content
}

// Do sends one request and reads the whole response. headers are pairs of name and value.
func (ca *Caller) Do(ctx context.Context, method, path string, body []byte, headers ...string) (Response, error) {
	rs, err := ca.send(ctx, method, path, body, headers)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	return Response{
		Status:     rs.StatusCode,
		RequestID:  rs.Header.Get("X-Request-Id"),
		Outcome:    rs.Header.Get("X-Outcome"),
		RetryAfter: rs.Header.Get("Retry-After"),
		Body:       text,
	}, nil
}

func (ca *Caller) send(ctx context.Context, method, path string, body []byte, headers []string) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, ca.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	rq.Header.Set("Authorization", "Bearer "+ca.key)
	rq.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	rs, err := ca.client.Do(rq)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return rs, nil
}

// PlaceOrder sends an order with an idempotency key to the stock service.
func (ca *Caller) PlaceOrder(ctx context.Context, key, body string) (Response, error) {
	return ca.Do(ctx, http.MethodPost, "/services/stock/orders", []byte(body), "Idempotency-Key", key)
}

// Complete requests a completion that is not streamed. The response is also returned for other statuses than 200.
func (ca *Caller) Complete(ctx context.Context, model, prompt string, maxTokens int) (Completion, Response, error) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens})
	if err != nil {
		return Completion{}, Response{}, fmt.Errorf("encode completion request: %w", err)
	}
	rsp, err := ca.Do(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return Completion{}, rsp, err
	}
	var cp Completion
	if err := json.Unmarshal(rsp.Body, &cp); err != nil {
		return cp, rsp, fmt.Errorf("decode completion %q: %w", rsp.Body, err)
	}
	return cp, rsp, nil
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// Text returns the generated text in the event's data, or the empty string.
func (ev Event) Text() string {
	var body struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(ev.Data), &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text + body.Choices[0].Delta.Content
}

// Stream sends a request for a stream and calls onEvent for each event until the stream ends or onEvent returns false.
// The response has no Outcome, and a Body only if its status is not 200.
func (ca *Caller) Stream(ctx context.Context, method, path string, body []byte,
	onEvent func(Event) bool, headers ...string) (Response, error) {
	rs, err := ca.send(ctx, method, path, body, headers)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	rsp := Response{Status: rs.StatusCode, RequestID: rs.Header.Get("X-Request-Id"), RetryAfter: rs.Header.Get("Retry-After")}
	if rs.StatusCode != http.StatusOK {
		rsp.Body, err = io.ReadAll(rs.Body)
		return rsp, err
	}
	return rsp, readStream(rs.Body, onEvent)
}

func readStream(body io.Reader, onEvent func(Event) bool) error {
	var ev Event
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), ": ")
		switch name {
		case "id":
			ev.ID = value
		case "event":
			ev.Name = value
		case "data":
			ev.Data = value
		case "":
			if !onEvent(ev) {
				return nil
			}
			ev = Event{}
		}
	}
	return sc.Err()
}

// WaitReady polls an entry until it is ready. It returns an error after timeout.
func WaitReady(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return fmt.Errorf("create request: %w", err)
		}
		rs, err := http.DefaultClient.Do(rq)
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry %s is not ready: %w", address, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}
