package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/scope"
)

// Route is a compiled route; it is immutable.
type Route struct{ spec RouteSpec }

// Name returns the route's name.
func (rt *Route) Name() string { return rt.spec.Name }

// AtMostOnce reports whether a call must not run more than once. This includes streams that cannot be resumed.
func (rt *Route) AtMostOnce() bool {
	return rt.spec.AtMostOnce || (rt.spec.Stream && !rt.spec.Resumable)
}

// Stream reports whether responses are event streams.
func (rt *Route) Stream() bool { return rt.spec.Stream }

// Resumable reports whether another server can continue a broken stream.
func (rt *Route) Resumable() bool { return rt.spec.Stream && rt.spec.Resumable }

// Timeout returns the maximum duration of a call, or zero if the route sets none.
func (rt *Route) Timeout() time.Duration { return rt.spec.Timeout }

// TargetLatency returns the latency goal of a response.
func (rt *Route) TargetLatency() time.Duration { return rt.spec.TargetLatency }

// TargetGap returns the longest pause between events with which a stream is still on time, or zero if the route names none.
func (rt *Route) TargetGap() time.Duration { return rt.spec.TargetGap }

// MaxAttempts returns the maximum number of servers on which a call may run; it is at least one.
func (rt *Route) MaxAttempts() int { return max(rt.spec.MaxAttempts, 1) }

// Priority returns the priority of the route's calls; 0 is the highest.
func (rt *Route) Priority() int { return rt.spec.Priority }

// Anonymous reports whether callers need no API key.
func (rt *Route) Anonymous() bool { return rt.spec.Anonymous }

// Service returns the name of the service that handles a call. A hash of the request id selects it by weight, so calls with the
// same id get the same service. If all weights are zero, it is the first service. The name is empty if the route has no services.
func (rt *Route) Service(requestID string) string {
	total := 0
	for _, wsv := range rt.spec.TrafficSplit {
		total += max(wsv.Weight, 0)
	}
	if total == 0 {
		if len(rt.spec.TrafficSplit) == 0 {
			return ""
		}
		return rt.spec.TrafficSplit[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, wsv := range rt.spec.TrafficSplit {
		if point -= max(wsv.Weight, 0); point < 0 {
			return wsv.Service
		}
	}
	return ""
}

// Allows reports whether the route sends calls to a service.
func (rt *Route) Allows(service string) bool {
	return slices.Contains(rt.Services(), service)
}

// Services returns the names of the services to which the route sends calls.
func (rt *Route) Services() []string {
	var names []string
	for _, wsv := range rt.spec.TrafficSplit {
		if wsv.Weight > 0 {
			names = append(names, wsv.Service)
		}
	}
	if len(names) == 0 && len(rt.spec.TrafficSplit) > 0 {
		return []string{rt.spec.TrafficSplit[0].Service}
	}
	return names
}

// HostKey returns the key of a host in the result of StreamRoutes.
func HostKey(host string) uint64 { return xxhash.Sum64String(host) }

// StreamRoutes returns a digest of each host's routes of streams, with their services and weights, by the key of the host.
func (tb *Table) StreamRoutes() map[uint64]uint64 {
	digests := make(map[uint64]uint64)
	for host, routes := range tb.routesByHost {
		for _, rt := range routes {
			if rt.spec.Stream {
				// A sum does not depend on the order of routes.
				digests[HostKey(host)] += xxhash.Sum64String(fmt.Sprintf("%q %t %v", rt.spec.Prefix, rt.spec.Resumable, rt.spec.TrafficSplit))
			}
		}
	}
	return digests
}

// ResumableServices returns the names of the services to which routes of resumable streams send calls.
func (tb *Table) ResumableServices() []string {
	var names []string
	for _, routes := range tb.routesByHost {
		for _, rt := range routes {
			if rt.Resumable() {
				names = append(names, rt.Services()...)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// StagedServices returns the names of the services whose engines can hand running streams over, and to which routes with a target for
// the pauses of streams send calls.
func (tb *Table) StagedServices() []string {
	var names []string
	for _, routes := range tb.routesByHost {
		for _, rt := range routes {
			if !rt.Stream() || rt.TargetGap() <= 0 {
				continue
			}
			for _, name := range rt.Services() {
				if sv := tb.services[name]; sv != nil && sv.Moves() && sv.CacheTokenBytes() > 0 && sv.LinkBytesPerSecond() > 0 {
					names = append(names, name)
				}
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Service is a compiled service; it is immutable.
type Service struct{ spec ServiceSpec }

// Name returns the service's name.
func (sv *Service) Name() string { return sv.spec.Name }

// IsEngine reports whether the servers are model engines.
func (sv *Service) IsEngine() bool { return sv.spec.Engine }

// HealthPath returns the path of the servers' health checks, or "" if unknown.
func (sv *Service) HealthPath() string { return sv.spec.HealthPath }

// Moves reports whether the service's engines can copy a running call to another engine.
func (sv *Service) Moves() bool { return sv.spec.Engine && sv.spec.Moves }

// CacheTokenBytes returns the size of the KV cache of one token, or zero if unknown.
func (sv *Service) CacheTokenBytes() int { return sv.spec.CacheTokenBytes }

// LinkBytesPerSecond returns the rate of an engine's link, or zero if unknown.
func (sv *Service) LinkBytesPerSecond() float64 { return sv.spec.LinkBytesPerSecond }

// Workspace is a compiled workspace; it is immutable.
type Workspace struct{ spec WorkspaceSpec }

// Name returns the workspace's name; it is empty for anonymous callers.
func (ws *Workspace) Name() string { return ws.spec.Name }

// Quota returns the limit of the workspace.
func (ws *Workspace) Quota() QuotaSpec { return ws.spec.Quota }

// Priority returns the priority of the workspace's calls on a route; 0 is the highest.
func (ws *Workspace) Priority(rt *Route) int {
	if ws.spec.HasPriority {
		return ws.spec.Priority
	}
	return rt.spec.Priority
}

// Table is the routing table compiled from a configuration; it is immutable.
type Table struct {
	version         uint64
	limits          Limits
	routesByHost    map[string][]*Route
	services        map[string]*Service
	workspacesByKey map[string]*Workspace
	sharing         scope.Sharing
	// requiresKey is set if the configuration has workspaces; calls of routes that are not anonymous then need an API key.
	requiresKey bool
}

// Compile returns the routing table of a configuration.
func Compile(sp Spec) *Table {
	tb := &Table{
		version:         sp.Version,
		limits:          sp.Limits,
		routesByHost:    make(map[string][]*Route),
		services:        make(map[string]*Service, len(sp.Services)),
		workspacesByKey: make(map[string]*Workspace),
		requiresKey:     len(sp.Workspaces) > 0,
	}
	for _, rs := range sp.Routes {
		tb.routesByHost[rs.Host] = append(tb.routesByHost[rs.Host], &Route{spec: rs})
	}
	for _, routes := range tb.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return len(b.spec.Prefix) - len(a.spec.Prefix)
		})
	}
	for _, ss := range sp.Services {
		tb.services[ss.Name] = &Service{spec: ss}
	}
	isolated := make(map[string]bool, len(sp.Workspaces))
	for _, wsp := range sp.Workspaces {
		ws := &Workspace{spec: wsp}
		isolated[wsp.Name] = isolated[wsp.Name] || wsp.Isolated
		for _, key := range wsp.Keys {
			tb.workspacesByKey[key] = ws
		}
	}
	tb.sharing = scope.NewSharing(isolated)
	return tb
}

// Version returns the version of the configuration.
func (tb *Table) Version() uint64 { return tb.version }

// IsolatedWorkspaces returns the sorted names of the workspaces that share no cached parts of prompts with others.
func (tb *Table) IsolatedWorkspaces() []string { return tb.sharing.Isolated() }

// SharedScope returns the scope of the cached parts of prompts of all workspaces that are not isolated.
func (tb *Table) SharedScope() scope.Scope { return tb.sharing.Shared() }

// Scope returns the scope of a workspace's cached parts of prompts. The workspace may be one of an earlier configuration.
func (tb *Table) Scope(ws *Workspace) scope.Scope {
	if ws == anonymous {
		return tb.sharing.Shared()
	}
	return tb.sharing.Of(ws.Name())
}

// Limits returns the request limits of the configuration.
func (tb *Table) Limits() Limits { return tb.limits }

// Match returns the host's route with the longest prefix that matches the escaped path, or nil.
func (tb *Table) Match(host, path string) *Route {
	for _, rt := range tb.routesByHost[host] {
		if strings.HasPrefix(path, rt.spec.Prefix) {
			return rt
		}
	}
	return nil
}

// anonymous is the workspace of callers without the API key of a workspace.
var anonymous = &Workspace{}

// Authenticate returns the workspace that an API key belongs to. If there is none, it returns the anonymous workspace if the
// route is anonymous or the configuration has no workspaces, and nil otherwise.
func (tb *Table) Authenticate(rt *Route, key string) *Workspace {
	if ws, ok := tb.workspacesByKey[key]; ok {
		return ws
	}
	if rt.Anonymous() || !tb.requiresKey {
		return anonymous
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (tb *Table) Service(name string) *Service { return tb.services[name] }
