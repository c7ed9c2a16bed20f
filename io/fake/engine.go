package fake

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// EngineSpeed describes how fast an engine is.
type EngineSpeed struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenInterval is the time from one generated token to the next.
	TokenInterval time.Duration
	// BlockTokens is the size of a cached block.
	BlockTokens int
	// CacheBlocks is how many blocks the engine holds.
	CacheBlocks int
}

// tokenBytes is the length of a prompt token in the stand-in's tokenizer.
const tokenBytes = 4

// CacheEvent tells that a block came into the engine's cache or was evicted.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   string `json:"block"`
	Removed bool   `json:"removed,omitempty"`
}

// Engine is a model engine that computes no model: it answers with numbered words.
type Engine struct {
	speed EngineSpeed

	// mu guards the fields below.
	mu          sync.Mutex
	incarnation uint64
	weights     string
	fencing     bool
	fence       uint64
	cache       *lru.LRU[string, struct{}]
	events      []CacheEvent
	eventSeq    uint64
	loseEvents  bool
	running     int
	waiting     int
	loading     bool
	store       *WeightStore
	crashAfter  int
	dead        context.Context
	kill        context.CancelFunc
	// prefill admits one prompt at a time.
	prefill chan struct{}
}

// NewEngine returns an engine that serves weights of a version; with fencing it refuses orders with old numbers.
func NewEngine(speed EngineSpeed, weights string, fencing bool) *Engine {
	en := &Engine{speed: speed, weights: weights, fencing: fencing, store: NewWeightStore(1, 0), prefill: make(chan struct{}, 1)}
	en.Restart()
	return en
}

// Restart makes the engine lose its cache and break its streams, as a crash does.
func (en *Engine) Restart() {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.kill != nil {
		en.kill()
	}
	en.dead, en.kill = context.WithCancel(context.Background())
	en.incarnation++
	en.events = nil
	en.crashAfter = 0
	en.cache, _ = lru.NewLRU(max(en.speed.CacheBlocks, 1), func(block string, _ struct{}) { en.publish(block, true) })
}

// CrashAfter makes the engine crash when it has generated some tokens more.
func (en *Engine) CrashAfter(tokens int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.crashAfter = tokens
}

// SetDropEvents makes the engine publish no cache events, which leaves a gap in their numbers.
func (en *Engine) SetDropEvents(lose bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.loseEvents = lose
}

// publish appends a cache event; the caller holds mu.
func (en *Engine) publish(block string, removed bool) {
	en.eventSeq++
	if !en.loseEvents {
		en.events = append(en.events, CacheEvent{Seq: en.eventSeq, Block: block, Removed: removed})
	}
}

// ServeHTTP serves completions, the state, the cache events and orders to load weights.
func (en *Engine) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch rq.URL.Path {
	case "/v1/completions", "/v1/chat/completions":
		en.serveCompletion(wr, rq)
	case "/state":
		en.serveState(wr)
	case "/events":
		en.serveEvents(wr, rq)
	case "/load":
		en.serveLoad(wr, rq)
	default:
		http.NotFound(wr, rq)
	}
}

// EngineState is the body of GET /state.
type EngineState struct {
	Incarnation uint64  `json:"incarnation"`
	Weights     string  `json:"weights"`
	PrefillRate float64 `json:"prefill_rate"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Loading     bool    `json:"loading"`
}

func (en *Engine) serveState(wr http.ResponseWriter) {
	en.mu.Lock()
	defer en.mu.Unlock()
	writeJSON(wr, http.StatusOK, EngineState{
		Incarnation: en.incarnation,
		Weights:     en.weights,
		PrefillRate: en.speed.PrefillRate,
		Running:     en.running,
		Waiting:     en.waiting,
		Loading:     en.loading,
	})
}

func (en *Engine) serveEvents(wr http.ResponseWriter, rq *http.Request) {
	var after uint64
	_, _ = fmt.Sscan(rq.URL.Query().Get("after"), &after)
	en.mu.Lock()
	defer en.mu.Unlock()
	events := []CacheEvent{}
	for _, ev := range en.events {
		if ev.Seq > after {
			events = append(events, ev)
		}
	}
	writeJSON(wr, http.StatusOK, events)
}

// LoadOrder is the body of POST /load.
type LoadOrder struct {
	Weights string `json:"weights"`
	Fence   uint64 `json:"fence"`
}

func (en *Engine) serveLoad(wr http.ResponseWriter, rq *http.Request) {
	var order LoadOrder
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.fencing && order.Fence < en.fence {
		http.Error(wr, "old fencing number", http.StatusConflict)
		return
	}
	en.fence = order.Fence
	if en.loading || en.weights == order.Weights {
		return
	}
	en.loading = true
	go en.load(order.Weights, en.incarnation, en.store.begin())
}

// load takes the weight store's time and then serves the new weights with an empty cache.
func (en *Engine) load(weights string, incarnation uint64, took time.Duration) {
	time.Sleep(took)
	en.store.end()
	en.mu.Lock()
	defer en.mu.Unlock()
	en.loading = false
	if en.incarnation == incarnation {
		en.weights = weights
		en.cache.Purge()
	}
}

// SetWeightStore sets the store that weights come from.
func (en *Engine) SetWeightStore(store *WeightStore) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.store = store
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Salt      string    `json:"cache_salt"`
}

func (cr completionRequest) text() string {
	if len(cr.Messages) == 0 {
		return cr.Prompt
	}
	parts := make([]string, 0, len(cr.Messages))
	for _, ms := range cr.Messages {
		parts = append(parts, ms.Content)
	}
	return strings.Join(parts, "\n")
}

func (en *Engine) serveCompletion(wr http.ResponseWriter, rq *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	dead := en.dead
	en.waiting++
	en.mu.Unlock()
	ctx, cancel := context.WithCancel(rq.Context())
	defer cancel()
	defer context.AfterFunc(dead, cancel)()
	prompt := body.text()
	cached, ok := en.compute(ctx, body.Salt, prompt)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer en.leave()
	wr.Header().Set("Content-Type", "text/event-stream")
	tag, begun := tagOf(prompt)
	limit := cmp.Or(body.MaxTokens, 16)
	for i := range limit {
		if !en.generate(ctx) {
			panic(http.ErrAbortHandler)
		}
		sendChunk(wr, len(body.Messages) > 0, fmt.Sprintf(" %s-%d", tag, begun+i))
	}
	sendUsage(wr, len(prompt)/tokenBytes, cached, limit)
}

// compute waits for the prefill and returns the cached tokens, or false if the engine crashed or the caller left.
func (en *Engine) compute(ctx context.Context, salt, prompt string) (int, bool) {
	defer func() {
		en.mu.Lock()
		en.waiting--
		en.mu.Unlock()
	}()
	select {
	case en.prefill <- struct{}{}:
	case <-ctx.Done():
		return 0, false
	}
	defer func() { <-en.prefill }()
	en.mu.Lock()
	cached := en.lookup(salt, prompt)
	en.running++
	en.mu.Unlock()
	missing := len(prompt)/tokenBytes - cached
	if !sleep(ctx, time.Duration(float64(missing)/en.speed.PrefillRate*float64(time.Second))) {
		en.leave()
		return 0, false
	}
	return cached, true
}

// lookup returns how many leading tokens are cached and caches the whole blocks of the prompt; the caller holds mu.
func (en *Engine) lookup(salt, prompt string) int {
	size := en.speed.BlockTokens * tokenBytes
	hash := sha256.Sum256([]byte(en.weights + "\x00" + salt))
	cached, hit := 0, true
	for ; len(prompt) >= size; prompt = prompt[size:] {
		hash = sha256.Sum256(append(hash[:], prompt[:size]...))
		block := string(hash[:8])
		_, ok := en.cache.Get(block)
		hit = hit && ok
		if hit {
			cached += en.speed.BlockTokens
			continue
		}
		en.cache.Add(block, struct{}{})
		en.publish(block, false)
	}
	return cached
}

func (en *Engine) leave() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
}

// generate takes the time of one token; it returns false if the engine crashes or the caller leaves.
func (en *Engine) generate(ctx context.Context) bool {
	en.mu.Lock()
	crash := en.crashAfter == 1
	en.crashAfter = max(en.crashAfter-1, 0)
	en.mu.Unlock()
	if crash {
		en.Restart()
		return false
	}
	return sleep(ctx, en.speed.TokenInterval)
}

func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// tagOf returns the word between the last two # of a prompt and how many words of the answer follow it already.
func tagOf(prompt string) (string, int) {
	parts := strings.Split(prompt, "#")
	if len(parts) < 3 {
		return "word", strings.Count(prompt, " word-")
	}
	tag := parts[len(parts)-2]
	return tag, strings.Count(parts[len(parts)-1], " "+tag+"-")
}

func sendChunk(wr http.ResponseWriter, chat bool, text string) {
	choice := map[string]any{"index": 0, "text": text}
	if chat {
		choice = map[string]any{"index": 0, "delta": map[string]string{"content": text}}
	}
	sendData(wr, map[string]any{"choices": []any{choice}})
}

func sendUsage(wr http.ResponseWriter, prompt, cached, output int) {
	sendData(wr, map[string]any{
		"choices": []any{},
		"usage": map[string]any{
			"prompt_tokens":         prompt,
			"completion_tokens":     output,
			"prompt_tokens_details": map[string]int{"cached_tokens": cached},
		},
	})
	_, _ = fmt.Fprint(wr, "data: [DONE]\n\n")
}

func sendData(wr http.ResponseWriter, value any) {
	text, _ := json.Marshal(value)
	_, _ = fmt.Fprintf(wr, "data: %s\n\n", text)
	_ = http.NewResponseController(wr).Flush()
}
