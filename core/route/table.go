package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route is a compiled route; it is immutable.
type Route struct{ spec RouteSpec }

// Name returns the route's name.
func (rt *Route) Name() string { return rt.spec.Name }

// Once reports whether a call may run at most once. A stream that can't be resumed is such a call.
func (rt *Route) AtMostOnce() bool {
	return rt.spec.AtMostOnce || (rt.spec.Stream && !rt.spec.Resumable)
}

// Stream reports whether answers are event streams.
func (rt *Route) Stream() bool { return rt.spec.Stream }

// Resumable reports whether a broken stream may go on at another server.
func (rt *Route) Resumable() bool { return rt.spec.Stream && rt.spec.Resumable }

// Timeout returns how long a caller waits at most; zero means no limit.
func (rt *Route) Timeout() time.Duration { return rt.spec.Timeout }

// Target returns the time within which an answer is good.
func (rt *Route) TargetLatency() time.Duration { return rt.spec.TargetLatency }

// Attempts returns on how many servers one call may run, at least one.
func (rt *Route) MaxAttempts() int { return max(rt.spec.MaxAttempts, 1) }

// Priority returns the rank of the route's calls; 0 is the most urgent.
func (rt *Route) Priority() int { return rt.spec.Priority }

// Open reports whether callers need no key.
func (rt *Route) Anonymous() bool { return rt.spec.Anonymous }

// Service returns the service of a call; the same id gets the same one.
func (rt *Route) Service(requestID string) string {
	total := 0
	for _, tg := range rt.spec.TrafficSplit {
		total += max(tg.Weight, 0)
	}
	if total == 0 {
		if len(rt.spec.TrafficSplit) == 0 {
			return ""
		}
		return rt.spec.TrafficSplit[0].Service
	}
	turn := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, tg := range rt.spec.TrafficSplit {
		if turn -= max(tg.Weight, 0); turn < 0 {
			return tg.Service
		}
	}
	return ""
}

// Service is a compiled service; it is immutable.
type Service struct{ spec ServiceSpec }

// Name returns the service's name.
func (sv *Service) Name() string { return sv.spec.Name }

// IsEngine reports whether the servers are model engines.
func (sv *Service) IsEngine() bool { return sv.spec.Engine }

// Workspace is a compiled workspace; it is immutable.
type Workspace struct{ spec WorkspaceSpec }

// Name returns the workspace's name; it is empty for callers of open routes.
func (ws *Workspace) Name() string { return ws.spec.Name }

// Isolated reports whether the workspace shares no cache with others.
func (ws *Workspace) Isolated() bool { return ws.spec.Isolated }

// Rank returns the urgency of the workspace's calls on a route; 0 is the most urgent.
func (ws *Workspace) Priority(rt *Route) int {
	if ws.spec.HasPriority {
		return ws.spec.Priority
	}
	return rt.spec.Priority
}

// Table is a compiled configuration; it is immutable.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Workspace
	// keyed says that calls need the key of a workspace.
	keyed bool
}

// Compile returns the table of a configuration.
func Compile(sp Spec) *Table {
	tb := &Table{
		version:  sp.Version,
		limits:   sp.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(sp.Services)),
		byKey:    make(map[string]*Workspace),
		keyed:    len(sp.Workspaces) > 0,
	}
	for _, rs := range sp.Routes {
		tb.byHost[rs.Host] = append(tb.byHost[rs.Host], &Route{spec: rs})
	}
	for _, routes := range tb.byHost {
		slices.SortStableFunc(routes, func(one, other *Route) int {
			return len(other.spec.Prefix) - len(one.spec.Prefix)
		})
	}
	for _, ss := range sp.Services {
		tb.services[ss.Name] = &Service{spec: ss}
	}
	for _, wsp := range sp.Workspaces {
		ws := &Workspace{spec: wsp}
		for _, key := range wsp.Keys {
			tb.byKey[key] = ws
		}
	}
	return tb
}

// Version returns the number of the configuration.
func (tb *Table) Version() uint64 { return tb.version }

// Limits returns what callers may send.
func (tb *Table) Limits() Limits { return tb.limits }

// Match returns the route of a host whose prefix is the longest one that begins the path, or nil.
func (tb *Table) Match(host, path string) *Route {
	for _, rt := range tb.byHost[host] {
		if strings.HasPrefix(path, rt.spec.Prefix) {
			return rt
		}
	}
	return nil
}

// anyone is the workspace of callers without a key.
var anyone = &Workspace{}

// Authenticate returns the workspace of a key on a route, or nil if it may not use the route.
func (tb *Table) Authenticate(rt *Route, key string) *Workspace {
	if ws, ok := tb.byKey[key]; ok {
		return ws
	}
	if rt.Anonymous() || !tb.keyed {
		return anyone
	}
	return nil
}

// Service returns the service with a name, or nil.
func (tb *Table) Service(name string) *Service { return tb.services[name] }
