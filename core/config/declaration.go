package config

import (
	"path"
	"slices"
	"time"
)

// Kind is the kind of a service.
type Kind string

// Kinds of services: model engines and plain HTTP services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Workspace is a tenant: the hash of its callers' bearer key, its share of the backend servers and the services that it
// may use.
type Workspace struct {
	name     string
	keyHash  string
	share    int
	services []string
}

// Name returns the workspace's name.
func (ws Workspace) Name() string { return ws.name }

// KeyHash returns the SHA-256 of the workspace's bearer key in lower-case hexadecimal.
func (ws Workspace) KeyHash() string { return ws.keyHash }

// Share returns the workspace's weight in fair sharing.
func (ws Workspace) Share() int { return ws.share }

// Allows reports whether the workspace may use a service. A workspace that lists no services may use all.
func (ws Workspace) Allows(service string) bool {
	if len(ws.services) == 0 {
		return true
	}
	for _, allowed := range ws.services {
		if allowed == service {
			return true
		}
	}
	return false
}

// Service is a group of interchangeable backend servers.
type Service struct {
	name    string
	kind    Kind
	model   string
	weights string
	adapter string
	// once and repeatable list the calls of a plain service that must not and that may be repeated, as "METHOD /path".
	once       []string
	repeatable []string
	fencing    bool
}

// Name returns the service's name. Callers give it as the model or in the path.
func (sv Service) Name() string { return sv.name }

// Kind returns the kind of the service.
func (sv Service) Kind() Kind { return sv.kind }

// Model returns the name of the model that the engines serve.
func (sv Service) Model() string { return sv.model }

// WeightVersion returns the version of the model's weights.
func (sv Service) WeightVersion() string { return sv.weights }

// Adapter returns the adapter, with its version, that the service's calls use, or the empty string.
func (sv Service) Adapter() string { return sv.adapter }

// Fencing reports whether the engines refuse load orders with an outdated fencing number.
func (sv Service) Fencing() bool { return sv.fencing }

// AtMostOnce reports whether a call must not be repeated: it is declared at-most-once, or its method is POST or PATCH
// and it is not declared repeatable. The path is compared in its cleaned form and must not contain a query.
func (sv Service) AtMostOnce(method, callPath string) bool {
	call := method + " " + path.Clean(callPath)
	if slices.Contains(sv.once, call) {
		return true
	}
	return (method == "POST" || method == "PATCH") && !slices.Contains(sv.repeatable, call)
}

// Preset is a named set of scheduling parameters and limits; one preset is in force at a time.
type Preset struct {
	name           string
	recomputePrice float64
	checkTokens    int
	checkReserve   float64
	queueLimit     int
	timeout        time.Duration
	loadsAtOnce    int
}

// Name returns the preset's name.
func (pr Preset) Name() string { return pr.name }

// RecomputePrice returns the cost of one second of recomputation in seconds of waiting, beyond the second itself.
func (pr Preset) RecomputePrice() float64 { return pr.recomputePrice }

// CheckTokens returns the largest max_tokens with which a model call is classified as short.
func (pr Preset) CheckTokens() int { return pr.checkTokens }

// CheckReserve returns the fraction of a backend server's slots that only short requests may use, at least 0 and less
// than 1.
func (pr Preset) CheckReserve() float64 { return pr.checkReserve }

// QueueLimit returns the number of requests of each class that may wait at one agent.
func (pr Preset) QueueLimit() int { return pr.queueLimit }

// Timeout returns the total time limit of a request.
func (pr Preset) Timeout() time.Duration { return pr.timeout }

// LoadsAtOnce returns the number of engines that may load weights concurrently.
func (pr Preset) LoadsAtOnce() int { return pr.loadsAtOnce }

// Declaration is the validated content of a declarations file; it is immutable.
type Declaration struct {
	workspaces []Workspace
	services   []Service
	presets    []Preset
}

// Workspaces returns the workspaces in file order. The slice must not be modified.
func (dc *Declaration) Workspaces() []Workspace { return dc.workspaces }

// Services returns the services in file order. The slice must not be modified.
func (dc *Declaration) Services() []Service { return dc.services }

// Presets returns the presets in file order. The slice must not be modified.
func (dc *Declaration) Presets() []Preset { return dc.presets }

// Preset returns the preset with the given name.
func (dc *Declaration) Preset(name string) (Preset, bool) {
	for _, pr := range dc.presets {
		if pr.name == name {
			return pr, true
		}
	}
	return Preset{}, false
}
