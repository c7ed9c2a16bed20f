package fake

import (
	"sync"
	"time"
)

// WeightStore models a store with limited bandwidth: a load that starts as one of more than maxConcurrent active loads
// takes proportionally longer.
type WeightStore struct {
	maxConcurrent int
	loadTime      time.Duration
	// mu guards the fields below.
	mu             sync.Mutex
	activeLoads    int
	maxActiveLoads int
}

// NewWeightStore returns a store from which a load takes loadTime while at most maxConcurrent loads are active.
// maxConcurrent must be positive.
func NewWeightStore(maxConcurrent int, loadTime time.Duration) *WeightStore {
	return &WeightStore{maxConcurrent: maxConcurrent, loadTime: loadTime}
}

// beginLoad counts a load as active and returns how long it takes. The caller must call endLoad after that time.
func (ws *WeightStore) beginLoad() time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.activeLoads++
	ws.maxActiveLoads = max(ws.maxActiveLoads, ws.activeLoads)
	return ws.loadTime * time.Duration(max(ws.activeLoads, ws.maxConcurrent)) / time.Duration(ws.maxConcurrent)
}

func (ws *WeightStore) endLoad() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.activeLoads--
}

// MaxConcurrentLoads returns the largest number of loads that were active at the same time.
func (ws *WeightStore) MaxConcurrentLoads() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.maxActiveLoads
}
