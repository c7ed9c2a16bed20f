package bench

import "time"

// Deployment is the size of one user's system and of its engines.
type Deployment struct {
	name       string
	replicas   int
	entries    int
	zones      int
	workspaces int
	// cachePieces is how many pieces one engine holds.
	cachePieces int
	// price is the extra cost of a recomputed second, from the deployment's preset.
	recomputePrice float64
}

// Name returns the deployment's name.
func (dp Deployment) Name() string { return dp.name }

// Deployments returns the two deployments of today.
func Deployments() []Deployment {
	return []Deployment{
		{name: "mchanga", replicas: 10, entries: 3, zones: 3, workspaces: 8, cachePieces: 240, recomputePrice: 0.5},
		{name: "hradek", replicas: 20, entries: 3, zones: 3, workspaces: 8, cachePieces: 140, recomputePrice: 1.5},
	}
}

// Condition is what happens during a run.
type Condition struct {
	name string
	// shiftPeriod is the time after which other prefixes are hot; zero for never.
	shiftPeriod time.Duration
	// slowServer makes the first server ten times slower than it says from the middle of the run on.
	slowServer bool
	// lostServers go at the middle of the run.
	lostServers int
	// herdRestart makes all entries forget what they learned at the middle of the run.
	restartEntries bool
	// surge multiplies the rate in the middle third of the run.
	peakFactor float64
}

// Name returns the condition's name.
func (cd Condition) Name() string { return cd.name }

// Conditions returns the conditions of the comparison.
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

// Speeds of engines; the slowest and the fastest differ by four.
const (
	minPrefillRate = 6000.0
	maxPrefillRate = 24000.0
	tokenInterval  = 20 * time.Millisecond
	slowdownFactor = 10
	engineSlots    = 32
)

// rateOf returns the prefill rate of a server in tokens per second.
func (dp Deployment) prefillRate(server int) float64 {
	fraction := float64(server%4) / 3
	return minPrefillRate + (maxPrefillRate-minPrefillRate)*fraction
}

// rate returns the requests per second that make up a load. At load 1 all engines compute without a pause if each
// request finds nine tenths of the tokens that the clairvoyant bound finds.
func (dp Deployment) arrivalRate(load float64) float64 {
	const hitShareOfBound = 0.9
	promptTokens := float64((rootPieces+documentPieces+sectionPieces)*pieceTokens + (minTailTokens+maxTailTokens)/2)
	prefixTokens := float64((rootPieces + documentPieces + sectionPieces) * pieceTokens)
	computedTokens := promptTokens - hitShareOfBound*prefixTokens
	totalRate := 0.0
	for server := range dp.replicas {
		totalRate += dp.prefillRate(server)
	}
	return load * totalRate / computedTokens
}
