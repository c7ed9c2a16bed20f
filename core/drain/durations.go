package drain

import (
	"sync"
	"time"
)

// Parameters of the expected durations.
const (
	// latestWeight is the weight of the latest request in the mean duration and in the mean deviation from it.
	latestWeight = 0.1
	// deviations is how many mean deviations over the mean a duration is expected to be: most requests take less.
	deviations = 2
	// maxRoutes bounds the routes that are kept.
	maxRoutes = 1024
)

// Durations learns how long servers take for the requests of each route. Its methods may be called from any goroutine.
type Durations struct {
	// mu guards the fields below.
	mu     sync.Mutex
	routes map[string]*duration
}

type duration struct {
	mean, deviation time.Duration
}

// NewDurations returns durations without requests.
func NewDurations() *Durations { return &Durations{routes: make(map[string]*duration)} }

// Record records how long a request took that was served.
func (ds *Durations) Record(route string, took time.Duration) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	du, ok := ds.routes[route]
	if !ok {
		if len(ds.routes) < maxRoutes {
			ds.routes[route] = &duration{mean: took}
		}
		return
	}
	du.deviation += time.Duration(latestWeight * float64((took-du.mean).Abs()-du.deviation))
	du.mean += time.Duration(latestWeight * float64(took-du.mean))
}

// Expected returns the duration that most requests of a route do not exceed, or zero if none is known.
func (ds *Durations) Expected(route string) time.Duration {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	du, ok := ds.routes[route]
	if !ok {
		return 0
	}
	return du.mean + deviations*du.deviation
}
