package bench

import "time"

// Deployment describes one simulated system.
type Deployment struct {
	name       string
	replicas   int
	entries    int
	zones      int
	workspaces int
	// cachePieces is the capacity of one engine's prefix cache in pieces.
	cachePieces int
	// recomputePrice is the cost of one second of recomputation in seconds of waiting, beyond the second itself, as in the
	// deployment's preset.
	recomputePrice float64
}

// Name returns the deployment's name.
func (dp Deployment) Name() string { return dp.name }

// Deployments returns the deployments to compare policies on.
func Deployments() []Deployment {
	return []Deployment{
		{name: "mchanga", replicas: 10, entries: 3, zones: 3, workspaces: 8, cachePieces: 240, recomputePrice: 0.5},
		{name: "hradek", replicas: 20, entries: 3, zones: 3, workspaces: 8, cachePieces: 140, recomputePrice: 1.5},
	}
}

// Condition is a disturbance of a run, such as a load peak or a failed server.
type Condition struct {
	name string
	// shiftPeriod is the period after which other prefixes become the hottest; zero means never.
	shiftPeriod time.Duration
	// slowServer makes the first server ten times slower than it advertises from the middle of the run on.
	slowServer bool
	// lostServers is the number of servers that fail in the middle of the run.
	lostServers int
	// restartEntries makes all entries lose their routing state in the middle of the run.
	restartEntries bool
	// peakFactor multiplies the request rate in the middle third of the run.
	peakFactor float64
}

// Name returns the condition's name.
func (cd Condition) Name() string { return cd.name }

// Conditions returns the conditions to compare policies under.
func Conditions() []Condition {
	return []Condition{
		{name: "calm", peakFactor: 1},
		{name: "peak", peakFactor: 1.3},
		{name: "hot-shift", peakFactor: 1, shiftPeriod: 20 * time.Second},
		{name: "slow-server", peakFactor: 1, slowServer: true},
		{name: "replicas-lost", peakFactor: 1, lostServers: 2},
		{name: "herd-restart", peakFactor: 1, restartEntries: true},
	}
}

// Speeds of engines. Prefill rates are in tokens per second and differ by a factor of up to four; tokenInterval is the
// time per output token.
const (
	minPrefillRate = 6000.0
	maxPrefillRate = 24000.0
	tokenInterval  = 20 * time.Millisecond
	slowdownFactor = 10
)

// prefillRate returns the prefill rate of a server in tokens per second.
func (dp Deployment) prefillRate(server int) float64 {
	fraction := float64(server%4) / 3
	return minPrefillRate + (maxPrefillRate-minPrefillRate)*fraction
}

// arrivalRate returns the requests per second at a relative load. At load 1 all engines are fully utilized if the cache
// hits of each request are nine tenths of the clairvoyant bound, which is taken to be all tokens but those of the tail.
func (dp Deployment) arrivalRate(load float64) float64 {
	const hitShareOfBound = 0.9
	promptTokens := float64((rootPieces+documentPieces+sectionPieces)*pieceTokens + (minTailTokens+maxTailTokens)/2)
	prefixTokens := float64((rootPieces + documentPieces + sectionPieces) * pieceTokens)
	computedPerRequest := promptTokens - hitShareOfBound*prefixTokens
	totalRate := 0.0
	for server := range dp.replicas {
		totalRate += dp.prefillRate(server)
	}
	return load * totalRate / computedPerRequest
}
