package gate

import (
	"net/http"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/core/route"
	"shallotcleat/io/feed"
)

// RequestInfo is the decoded header of a caller's request.
type RequestInfo struct {
	// RequestID is empty if the caller sent none.
	RequestID string
	// APIKey identifies the caller's workspace; it is empty if the caller sent none.
	APIKey string
	// Timeout is how long the caller waits; zero means that it is not specified.
	Timeout time.Duration
	Model   string
	// PromptParts are the parts of the prompt in order; PromptTokens is its length.
	PromptParts  []pick.Part
	PromptTokens int
	// CountedTokens is what the request counts towards a limit in tokens, if HasTokenCount is set.
	CountedTokens float64
	HasTokenCount bool
	// ExpectedTokens is the expected number of output tokens, or zero.
	ExpectedTokens int
	// LastEventID is the id of the last event that the caller received of a stream that it resumes, or empty.
	LastEventID string
	// Resumes is the id of the request that brought the first event of the stream that the caller resumes, or empty.
	Resumes string
}

// AttemptInfo is what the gate adds to the header of one attempt.
type AttemptInfo struct {
	// ServerID is the id of the intended server; a different server at the address rejects the request.
	ServerID string
	// Timeout is the remaining time until the deadline of the request.
	Timeout   time.Duration
	Workspace string
	// Priority is the priority from 0, the highest, to 9.
	Priority int
	// CacheSalt separates cached prompt prefixes that must not be shared; it is empty unless the server is an engine.
	CacheSalt string
	// WeightVersion is the version of the weights that the server must have, or zero.
	WeightVersion uint64
	// CacheSourceAddress is the address of a server from which to copy cached parts, or empty.
	CacheSourceAddress string
	// CacheSaveAddress is the address of a store to which to save the cached parts, or empty.
	CacheSaveAddress string
	// LastEventID is the id of the event after which a stream continues, or empty.
	LastEventID string
	// RunHandle names the copy of a stopped run that the server continues, and RunSourceAddress is where it was stopped; both may be empty.
	RunHandle        string
	RunSourceAddress string
}

// ResponseInfo is the decoded header of a server's response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to, or empty.
	RequestID string
	// NotExecuted is set if the server did not run the request.
	NotExecuted bool
	// Signed is set if the response carries a server's signature.
	Signed bool
	// ServerID is the id of the server that responded, or empty.
	ServerID string
	// WeightVersion is the version of the weights that the server used, or zero.
	WeightVersion uint64
	// Leaving is set if the server announces that it stops.
	Leaving bool
	// RetryAfter is how long the server, which rejected the request, wants no other one; zero if it did not say.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the server takes from all gates together, or zero if it named none.
	Limit float64
}

// Dialect translates between the headers and rows of a platform and the types of this package.
type Dialect interface {
	// DecodeRequest decodes a caller's header.
	DecodeRequest(hd http.Header) RequestInfo
	// EncodeRequest returns the header for a server: the caller's header without hop-by-hop headers and headers that only the
	// system may set, plus the fields of info.
	EncodeRequest(hd http.Header, info AttemptInfo) http.Header
	// DecodeResponse decodes the status and header of a server's response.
	DecodeResponse(status int, hd http.Header) ResponseInfo

	// LifeTarget returns the path at which the servers of a service show that they run.
	LifeTarget(sv *route.Service) string
	// DecodeLife decodes such a response, whose body may be cut off. It returns the id of the server, or "", and the start of its run in Unix
	// milliseconds, or zero.
	DecodeLife(hd http.Header, body []byte) (serverID string, startUnixMilli int64)

	// Tables returns the names of the tables that a gate watches.
	Tables() Tables
	// DecodeConfig decodes a configuration from a row of the config table; ok is false for other rows.
	DecodeConfig(rw feed.Row) (sp route.Spec, ok bool, err error)
	// DecodeWeights decodes the newest weight version of a model from a row of the config table; ok is false for other rows.
	DecodeWeights(rw feed.Row) (model string, version uint64, ok bool, err error)
	// DecodeServer decodes a backend server from a row of the servers table.
	DecodeServer(rw feed.Row) (*fleet.Server, error)
}

// Tables holds the names of the store tables that a gate uses.
type Tables struct {
	// Config holds configurations and weight versions, Servers the backend servers, Nodes the processes of this system.
	Config  string
	Servers string
	Nodes   string
	// WeightsKeyPrefix is the key prefix of the rows in Config that hold weight versions.
	WeightsKeyPrefix string
}
