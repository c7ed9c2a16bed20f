package config

import (
	"path"
	"slices"
	"time"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of backend servers.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Workspace is a customer's area: its callers' key, its share of the backend servers, the services that it may use.
type Workspace struct {
	name     string
	keyHash  string
	share    int
	services []string
}

// Name returns the workspace's name.
func (ws Workspace) Name() string { return ws.name }

// KeyHash returns the SHA-256 of the workspace's bearer key in lower-case hexadecimal digits.
func (ws Workspace) KeyHash() string { return ws.keyHash }

// Share returns the workspace's weight in fair sharing.
func (ws Workspace) Share() int { return ws.share }

// Allows reports whether the workspace may use a service; a workspace without a list may use all.
func (ws Workspace) Allows(service string) bool {
	if len(ws.services) == 0 {
		return true
	}
	for _, sv := range ws.services {
		if sv == service {
			return true
		}
	}
	return false
}

// Service is a group of backend servers that answer the same calls.
type Service struct {
	name    string
	kind    Kind
	model   string
	weights string
	adapter string
	// once and repeatable are calls of plain services in the form "METHOD /path".
	once       []string
	repeatable []string
	fencing    bool
}

// Name returns the service's name; callers name it as the model or in the path.
func (sv Service) Name() string { return sv.name }

// Kind returns whether the service's backend servers are model engines.
func (sv Service) Kind() Kind { return sv.kind }

// Model returns the model that the engines serve.
func (sv Service) Model() string { return sv.model }

// Weights returns the version of the model's weights.
func (sv Service) Weights() string { return sv.weights }

// Adapter returns the adapter and its version that the service's calls run with, or nothing.
func (sv Service) Adapter() string { return sv.adapter }

// Fencing reports whether the engines refuse orders that carry an old fencing number.
func (sv Service) Fencing() bool { return sv.fencing }

// Once reports whether a call may run at most once: the declaration says so, or the method is POST or PATCH and the
// declaration does not say that the call may be repeated. The path is compared in its shortest form, without a query.
func (sv Service) AtMostOnce(method, callPath string) bool {
	call := method + " " + path.Clean(callPath)
	if slices.Contains(sv.once, call) {
		return true
	}
	return (method == "POST" || method == "PATCH") && !slices.Contains(sv.repeatable, call)
}

// Preset is a set of prices and limits for one kind of day.
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

// RecomputePrice returns the seconds of waiting that one second of recomputation is worth beside its own time.
func (pr Preset) RecomputePrice() float64 { return pr.recomputePrice }

// CheckTokens returns the greatest max_tokens with which a model call counts as a quick check.
func (pr Preset) CheckTokens() int { return pr.checkTokens }

// CheckReserve returns the part of a backend server's slots that only quick checks and lookups may use, from 0 to 1.
func (pr Preset) CheckReserve() float64 { return pr.checkReserve }

// QueueLimit returns how many requests may wait at one agent.
func (pr Preset) QueueLimit() int { return pr.queueLimit }

// Timeout returns how long a request may take in all.
func (pr Preset) Timeout() time.Duration { return pr.timeout }

// LoadsAtOnce returns how many engines may load weights at the same time.
func (pr Preset) LoadsAtOnce() int { return pr.loadsAtOnce }

// Declaration is the checked content of a declarations file; it is immutable.
type Declaration struct {
	workspaces []Workspace
	services   []Service
	presets    []Preset
}

// Workspaces returns the workspaces in the order of the file.
func (dc *Declaration) Workspaces() []Workspace { return dc.workspaces }

// Services returns the services in the order of the file.
func (dc *Declaration) Services() []Service { return dc.services }

// Presets returns the presets in the order of the file.
func (dc *Declaration) Presets() []Preset { return dc.presets }

// Preset returns the preset with a name.
func (dc *Declaration) Preset(name string) (Preset, bool) {
	for _, pr := range dc.presets {
		if pr.name == name {
			return pr, true
		}
	}
	return Preset{}, false
}
