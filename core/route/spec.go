package route

import "time"

// Spec is the content of a configuration, as an operator's file or a platform's store tells it.
type Spec struct {
	// Version grows with each configuration.
	Version    uint64
	Routes     []RouteSpec
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	Limits     Limits
}

// RouteSpec is one route.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	// Once says that a call may run at most once.
	AtMostOnce bool
	// Stream says that answers are event streams; Resumable, that a stream may go on at another server.
	Stream    bool
	Resumable bool
	// Timeout is how long a caller waits at most, Target the time to a good answer, Gap the longest good pause in a stream.
	Timeout       time.Duration
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Attempts bounds the servers on which one call runs.
	MaxAttempts int
	// Priority is the rank of the calls; 0 is the most urgent.
	Priority int
	// Open says that callers need no key.
	Anonymous    bool
	TrafficSplit []WeightedService
}

// Target is a service with its share of a route's calls.
type WeightedService struct {
	Service string
	Weight  int
}

// ServiceSpec is one service.
type ServiceSpec struct {
	Name string
	// Engine is set if the servers are model engines.
	Engine bool
}

// WorkspaceSpec is one workspace.
type WorkspaceSpec struct {
	Name string
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated says that the workspace shares no cache with others.
	Isolated bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
