package fake

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// PlainService is a fake plain service that counts the requests it ran. It does not deduplicate orders by their
// idempotency key, so the counts reveal an order that ran twice.
type PlainService struct {
	// mu guards the fields below.
	mu          sync.Mutex
	delay       time.Duration
	dropsLeft   int
	dropLookups bool
	runCounts   map[string]int
	lookupCount int
}

// NewPlainService returns a service that takes delay to run an order.
func NewPlainService(delay time.Duration) *PlainService {
	return &PlainService{delay: delay, runCounts: make(map[string]int)}
}

// DropResponses makes the next count orders run and then close the connection without a response.
func (ps *PlainService) DropResponses(count int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.dropsLeft = count
}

// SetDropLookups sets whether lookups close the connection without a response.
func (ps *PlainService) SetDropLookups(drop bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.dropLookups = drop
}

// RunCount returns how often the order with an idempotency key ran.
func (ps *PlainService) RunCount(key string) int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.runCounts[key]
}

// TotalRuns returns how many orders ran, repeated runs included.
func (ps *PlainService) TotalRuns() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	total := 0
	for _, count := range ps.runCounts {
		total += count
	}
	return total
}

// LookupCount returns how many lookups ran.
func (ps *PlainService) LookupCount() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.lookupCount
}

// ServeHTTP answers /healthz without counting it. On all other paths it runs a POST as an order and any other request
// as a lookup.
func (ps *PlainService) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/healthz" {
		return
	}
	if rq.Method != http.MethodPost {
		ps.mu.Lock()
		ps.lookupCount++
		drop := ps.dropLookups
		ps.mu.Unlock()
		if drop {
			panic(http.ErrAbortHandler)
		}
		writeJSON(wr, http.StatusOK, map[string]string{"path": rq.URL.Path, "stock": "12"})
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	key := rq.Header.Get("Idempotency-Key")
	ps.mu.Lock()
	ps.runCounts[key]++
	dropResponse := ps.dropsLeft > 0
	if dropResponse {
		ps.dropsLeft--
	}
	delay := ps.delay
	ps.mu.Unlock()
	time.Sleep(delay)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(wr, http.StatusCreated, map[string]string{"order": key, "echo": string(body)})
}
