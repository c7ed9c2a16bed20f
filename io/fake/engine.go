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

// EngineSpeed sets the simulated speed and cache size of an Engine.
type EngineSpeed struct {
	// PrefillRate is the number of uncached prompt tokens processed per second.
	PrefillRate float64
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the capacity of the cache in blocks; values below 1 mean 1.
	CacheBlocks int
}

// tokenBytes is the number of prompt bytes that count as one token.
const tokenBytes = 4

// CacheEvent reports that a block was added to the engine's cache or, with Removed set, evicted from it.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   string `json:"block"`
	Removed bool   `json:"removed,omitempty"`
}

// Engine is a fake model engine that runs no model. It generates the words tag-0, tag-1 and so on, where tag comes from
// the prompt; see parseTag.
type Engine struct {
	speed EngineSpeed

	// mu guards the fields below, except prefillSlot.
	mu               sync.Mutex
	incarnation      uint64
	weightVersion    string
	fencing          bool
	lastFence        uint64
	cache            *lru.LRU[string, struct{}]
	events           []CacheEvent
	eventSeq         uint64
	dropEvents       bool
	running          int
	waiting          int
	loading          bool
	weightStore      *WeightStore
	tokensUntilCrash int
	endCrash         EndCrash
	// crashed is done once the current incarnation has crashed; crash cancels it.
	crashed context.Context
	crash   context.CancelFunc
	// prefillSlot has capacity 1: the engine processes one prompt at a time.
	prefillSlot chan struct{}
}

// NewEngine returns an engine that serves the given version of the weights. With fencing, it refuses a load order whose
// fencing number is lower than that of the last accepted order.
func NewEngine(speed EngineSpeed, version string, fencing bool) *Engine {
	en := &Engine{
		speed:         speed,
		weightVersion: version,
		fencing:       fencing,
		weightStore:   NewWeightStore(1, 0),
		prefillSlot:   make(chan struct{}, 1)}
	en.Restart()
	return en
}

// Restart simulates a crash and restart: it aborts running requests, empties the cache, discards the cache events and
// starts a new incarnation.
func (en *Engine) Restart() {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.crash != nil {
		en.crash()
	}
	en.crashed, en.crash = context.WithCancel(context.Background())
	en.incarnation++
	en.events = nil
	en.tokensUntilCrash = 0
	en.cache, _ = lru.NewLRU(max(en.speed.CacheBlocks, 1), func(block string, _ struct{}) { en.appendEvent(block, true) })
}

// CrashAfter makes the engine generate tokens-1 more tokens, counted over all requests, and crash instead of generating
// the next one. Zero cancels a pending crash.
func (en *Engine) CrashAfter(tokens int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.tokensUntilCrash = tokens
}

// SetDropEvents sets whether the engine omits cache events. Omitted events leave a gap in the sequence numbers.
func (en *Engine) SetDropEvents(drop bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.dropEvents = drop
}

// EndCrash is a point at the end of a completion, after its last token.
type EndCrash int

// Points at which an engine can crash.
const (
	NoEndCrash EndCrash = iota
	BeforeUsage
	BeforeDoneMarker
)

// CrashAtEnd makes the engine crash at a point of the next completion that ends; NoEndCrash cancels that.
func (en *Engine) CrashAtEnd(at EndCrash) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.endCrash = at
}

// crashAtEnd crashes the engine and aborts the request if it is to crash at a point.
func (en *Engine) crashAtEnd(at EndCrash) {
	en.mu.Lock()
	crashNow := en.endCrash == at
	if crashNow {
		en.endCrash = NoEndCrash
	}
	en.mu.Unlock()
	if crashNow {
		en.Restart()
		panic(http.ErrAbortHandler)
	}
}

// appendEvent records a cache event unless events are dropped. The caller holds mu.
func (en *Engine) appendEvent(block string, removed bool) {
	en.eventSeq++
	if !en.dropEvents {
		en.events = append(en.events, CacheEvent{Seq: en.eventSeq, Block: block, Removed: removed})
	}
}

// ServeHTTP serves completions, the state, the cache events and load orders.
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
	Incarnation   uint64  `json:"incarnation"`
	WeightVersion string  `json:"weights"`
	PrefillRate   float64 `json:"prefill_rate"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Loading       bool    `json:"loading"`
}

func (en *Engine) serveState(wr http.ResponseWriter) {
	en.mu.Lock()
	defer en.mu.Unlock()
	writeJSON(wr, http.StatusOK, EngineState{
		Incarnation:   en.incarnation,
		WeightVersion: en.weightVersion,
		PrefillRate:   en.speed.PrefillRate,
		Running:       en.running,
		Waiting:       en.waiting,
		Loading:       en.loading,
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
	WeightVersion string `json:"weights"`
	Fence         uint64 `json:"fence"`
}

func (en *Engine) serveLoad(wr http.ResponseWriter, rq *http.Request) {
	var order LoadOrder
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.fencing && order.Fence < en.lastFence {
		http.Error(wr, "outdated fencing number", http.StatusConflict)
		return
	}
	en.lastFence = order.Fence
	if en.loading || en.weightVersion == order.WeightVersion {
		return
	}
	en.loading = true
	go en.load(order.WeightVersion, en.incarnation, en.weightStore.beginLoad())
}

// load waits for loadTime, then switches to the new version and empties the cache. If the engine restarted meanwhile,
// the load is discarded.
func (en *Engine) load(version string, incarnation uint64, loadTime time.Duration) {
	time.Sleep(loadTime)
	en.weightStore.endLoad()
	en.mu.Lock()
	defer en.mu.Unlock()
	en.loading = false
	if en.incarnation == incarnation {
		en.weightVersion = version
		en.cache.Purge()
	}
}

// SetWeightStore sets the store that the engine loads weights from.
func (en *Engine) SetWeightStore(store *WeightStore) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.weightStore = store
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	CacheSalt string    `json:"cache_salt"`
}

func (cr completionRequest) promptText() string {
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
	crashed := en.crashed
	en.waiting++
	en.mu.Unlock()
	ctx, cancel := context.WithCancel(rq.Context())
	defer cancel()
	defer context.AfterFunc(crashed, cancel)()
	prompt := body.promptText()
	cached, ok := en.prefill(ctx, body.CacheSalt, prompt)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer en.endRequest()
	wr.Header().Set("Content-Type", "text/event-stream")
	tag, generated := parseTag(prompt)
	limit := cmp.Or(body.MaxTokens, 16)
	for i := range limit {
		if !en.generateToken(ctx) {
			panic(http.ErrAbortHandler)
		}
		sendChunk(wr, len(body.Messages) > 0, fmt.Sprintf(" %s-%d", tag, generated+i))
	}
	en.crashAtEnd(BeforeUsage)
	sendUsage(wr, len(prompt)/tokenBytes, cached, limit)
	en.crashAtEnd(BeforeDoneMarker)
	_, _ = fmt.Fprint(wr, "data: [DONE]\n\n")
}

// prefill simulates processing the prompt and returns the number of cached tokens. It returns false if the engine
// crashed or the client disconnected; otherwise the request is running and the caller must call endRequest.
func (en *Engine) prefill(ctx context.Context, salt, prompt string) (int, bool) {
	defer func() {
		en.mu.Lock()
		en.waiting--
		en.mu.Unlock()
	}()
	select {
	case en.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return 0, false
	}
	defer func() { <-en.prefillSlot }()
	en.mu.Lock()
	cached := en.cachePrompt(salt, prompt)
	en.running++
	en.mu.Unlock()
	missing := len(prompt)/tokenBytes - cached
	if !sleep(ctx, time.Duration(float64(missing)/en.speed.PrefillRate*float64(time.Second))) {
		en.endRequest()
		return 0, false
	}
	return cached, true
}

// cachePrompt returns the number of leading tokens of the prompt that are cached, and caches its complete blocks. The
// hash of a block covers the weight version, the salt and all earlier blocks. The caller holds mu.
func (en *Engine) cachePrompt(salt, prompt string) int {
	size := en.speed.BlockTokens * tokenBytes
	hash := sha256.Sum256([]byte(en.weightVersion + "\x00" + salt))
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
		en.appendEvent(block, false)
	}
	return cached
}

func (en *Engine) endRequest() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
}

// generateToken waits for the time of one token. It returns false if the engine crashes or the client disconnects.
func (en *Engine) generateToken(ctx context.Context) bool {
	en.mu.Lock()
	crashNow := en.tokensUntilCrash == 1
	en.tokensUntilCrash = max(en.tokensUntilCrash-1, 0)
	en.mu.Unlock()
	if crashNow {
		en.Restart()
		return false
	}
	return sleep(ctx, en.speed.TokenInterval)
}

// sleep waits for delay and reports whether it elapsed before ctx was done.
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

// parseTag returns the tag of a prompt, which is the text between its last two # characters, and the number of
// generated words that follow the tag. Without a tag it returns "word". The count lets a prompt that ends with the
// output so far continue the numbering.
func parseTag(prompt string) (string, int) {
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

func sendUsage(wr http.ResponseWriter, promptTokens, cachedTokens, outputTokens int) {
	sendData(wr, map[string]any{
		"choices": []any{},
		"usage": map[string]any{
			"prompt_tokens":         promptTokens,
			"completion_tokens":     outputTokens,
			"prompt_tokens_details": map[string]int{"cached_tokens": cachedTokens},
		},
	})
}

func sendData(wr http.ResponseWriter, value any) {
	text, _ := json.Marshal(value)
	_, _ = fmt.Fprintf(wr, "data: %s\n\n", text)
	_ = http.NewResponseController(wr).Flush()
}
