package gate

import (
	"time"

	"shallotcleat/core/route"
)

// Limits of callers that the configuration does not set.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
)

// callerLimits returns the limits of callers by a routing table, which may be nil.
func callerLimits(tb *route.Table) route.Limits {
	var lm route.Limits
	if tb != nil {
		lm = tb.Limits()
	}
	if lm.MaxHeaderBytes <= 0 {
		lm.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if lm.MaxBodyBytes <= 0 {
		lm.MaxBodyBytes = defaultMaxBodyBytes
	}
	if lm.HeaderTimeout <= 0 {
		lm.HeaderTimeout = defaultHeaderTimeout
	}
	if lm.IdleTimeout <= 0 {
		lm.IdleTimeout = defaultIdleTimeout
	}
	return lm
}
