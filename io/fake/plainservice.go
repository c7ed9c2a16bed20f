package fake

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// PlainService is a service that counts what it ran. It does not recognise repeated orders, so that each double run shows.
type PlainService struct {
	// mu guards the fields below.
	mu      sync.Mutex
	delay   time.Duration
	drop    int
	runs    map[string]int
	lookups int
}

// NewPlainService returns a service that takes a time for each order.
func NewPlainService(delay time.Duration) *PlainService {
	return &PlainService{delay: delay, runs: make(map[string]int)}
}

// DropResponses makes the next orders run without an answer.
func (pl *PlainService) DropResponses(count int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.drop = count
}

// RunCount returns how often the order with an idempotency key ran.
func (pl *PlainService) RunCount(key string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.runs[key]
}

// TotalRuns returns how many orders ran.
func (pl *PlainService) TotalRuns() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	total := 0
	for _, count := range pl.runs {
		total += count
	}
	return total
}

// LookupCount returns how many lookups ran.
func (pl *PlainService) LookupCount() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.lookups
}

// ServeHTTP serves POST /orders, which counts, and GET on every other path, which does not.
func (pl *PlainService) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/healthz" {
		return
	}
	if rq.Method != http.MethodPost {
		pl.mu.Lock()
		pl.lookups++
		pl.mu.Unlock()
		writeJSON(wr, http.StatusOK, map[string]string{"path": rq.URL.Path, "stock": "12"})
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	key := rq.Header.Get("Idempotency-Key")
	pl.mu.Lock()
	pl.runs[key]++
	dropped := pl.drop > 0
	if dropped {
		pl.drop--
	}
	delay := pl.delay
	pl.mu.Unlock()
	time.Sleep(delay)
	if dropped {
		panic(http.ErrAbortHandler)
	}
	writeJSON(wr, http.StatusCreated, map[string]string{"order": key, "echo": string(body)})
}
