package route

import "time"

// Spec is the content of a configuration, decoded from an operator's file or the platform's store.
type Spec struct {
	// Version increases with each configuration.
	Version  uint64
	Routes   []RouteSpec
	Services []ServiceSpec
	// CacheStores keep cached prompt prefixes of all engines.
	CacheStores []CacheStoreSpec
	Workspaces  []WorkspaceSpec
	Limits      Limits
}

// RouteSpec describes a route.
type RouteSpec struct {
	Name string
	// Host is the host name of the calls, without a port; Prefix is the prefix of their escaped paths.
	Host   string
	Prefix string
	// AtMostOnce is set if a call must not run more than once.
	AtMostOnce bool
	// Stream is set if responses are event streams, Resumable if another server can continue a broken stream.
	Stream    bool
	Resumable bool
	// Timeout is the maximum duration of a call, TargetLatency the latency goal of a response.
	Timeout       time.Duration
	TargetLatency time.Duration
	// TargetGap is the longest pause between events with which a stream is still on time, or zero if the route names none.
	TargetGap time.Duration
	// MaxAttempts is the maximum number of servers on which a call may run. Attempts that did not run are not counted.
	MaxAttempts int
	// Priority is the priority of the calls; 0 is the highest.
	Priority int
	// Anonymous is set if callers need no API key.
	Anonymous bool
	// TrafficSplit holds the services that handle the calls.
	TrafficSplit []WeightedService
}

// WeightedService is a service with its relative share of a route's calls.
type WeightedService struct {
	Service string
	Weight  int
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name string
	// Engine is set if the servers are model engines.
	Engine bool
	// HealthPath is the path of the servers' health checks, or empty if unknown.
	HealthPath string
	// CacheTokenBytes is the size of the cached prefix of one token at the service's engines, or zero.
	CacheTokenBytes int
	// Moves is set if an engine can copy a running call to another one, over a link of LinkBytesPerSecond.
	Moves              bool
	LinkBytesPerSecond float64
	// CopyLifetime is how long an engine keeps a copy of a call that nobody uses, or zero if unknown.
	CopyLifetime time.Duration
	// Slots is the number of calls that an engine runs at once, and CacheTokens the capacity of its KV cache; zero means unknown.
	Slots       int
	CacheTokens int
}

// CacheStoreSpec describes a store of cached prompt prefixes.
type CacheStoreSpec struct {
	Address string
	Zone    string
	// LinkBytesPerSecond is the rate of the store's link.
	LinkBytesPerSecond float64
}

// WorkspaceSpec describes a workspace.
type WorkspaceSpec struct {
	Name string
	// Keys are the API keys of the workspace.
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated is set if the workspace shares no cached parts of prompts with others.
	Isolated bool
	// Quota limits what the workspace may use over all gates.
	Quota QuotaSpec
	// Problems say which of the workspace's figures were not usable.
	Problems []string
}

// QuotaSpec limits a workspace to Rate per second and a Burst, in requests or in tokens. A Rate of zero is no limit.
type QuotaSpec struct {
	Rate   float64
	Burst  float64
	Tokens bool
	// UncachedTokens is what a request counts that does not say how many tokens it has.
	UncachedTokens float64
}

// Limits bound the size of a request, the time that a caller may take to send its header, and the time for which a connection
// may stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
