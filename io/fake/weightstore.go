package fake

import (
	"sync"
	"time"
)

// WeightStore takes longer for each load when more engines load at once than it bears.
type WeightStore struct {
	limit int
	took  time.Duration
	// mu guards the counts.
	mu      sync.Mutex
	loading int
	peak    int
}

// NewWeightStore returns a store from which a load takes a time.
func NewWeightStore(limit int, took time.Duration) *WeightStore {
	return &WeightStore{limit: limit, took: took}
}

func (ws *WeightStore) begin() time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.loading++
	ws.peak = max(ws.peak, ws.loading)
	return ws.took * time.Duration(max(ws.loading, ws.limit)) / time.Duration(ws.limit)
}

func (ws *WeightStore) end() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.loading--
}

// MaxConcurrentLoads returns how many engines loaded at once at the most.
func (ws *WeightStore) MaxConcurrentLoads() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.peak
}
