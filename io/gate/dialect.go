package gate

import (
	"net/http"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/core/route"
	"shallotcleat/io/feed"
)

// Asked is what a caller's header says.
type RequestInfo struct {
	// ID is the request's id; it is empty if the caller sent none.
	RequestID string
	// Key is the caller's key of a workspace.
	APIKey string
	// Patience is how long the caller waits; zero means that it did not say.
	Timeout time.Duration
	Model   string
	// Parts are the parts of the prompt in order and Tokens is its length.
	PromptParts  []pick.Part
	PromptTokens int
	// Output is the expected number of tokens of the answer, or zero.
	ExpectedTokens int
	// LastEvent is the id of the last event that the caller has of a stream that it resumes.
	LastEventID string
}

// Attempt is what a gate adds to a request for one server.
type AttemptInfo struct {
	// ServerID is the server that the request is meant for; another one at its address refuses.
	ServerID string
	// Left is how long the answer is waited for.
	Timeout   time.Duration
	Workspace string
	// Rank is the urgency from 0, the most urgent, to 9.
	Priority int
	// CacheSalt separates caches that must not be shared; it is empty for calls without a prompt.
	CacheSalt string
	// Version is that of the weights which the server must have, or zero.
	WeightVersion uint64
	// CacheSource is the address of a server to copy cached parts from, or empty.
	CacheSourceAddress string
	// LastEvent is the id of the event after which a stream goes on, or empty.
	LastEventID string
}

// Told is what the header of a server's answer says.
type ResponseInfo struct {
	RequestID string
	// NotRun says that the server did not run the request.
	NotExecuted bool
	// Sealed says that the answer bears a server's signature.
	Signed bool
	// Server is the id of the server that answered, if it told.
	ServerID string
	// Version is that of the weights, or zero.
	WeightVersion uint64
}

// Dialect translates between the headers and rows of a platform and the gate's own types.
type Dialect interface {
	// Decode reads a caller's header.
	DecodeRequest(hd http.Header) RequestInfo
	// Encode returns the header for a server: that of the caller without what only the system may set or what concerns one
	// connection, and the attempt's own fields.
	EncodeRequest(hd http.Header, info AttemptInfo) http.Header
	// Told reads the header of a server's answer.
	DecodeResponse(status int, hd http.Header) ResponseInfo

	// Tables returns the names of the tables that a gate follows.
	Tables() Tables
	// Configuration returns the configuration in a row of the operators' table; ok is false for other rows.
	DecodeConfig(rw feed.Row) (sp route.Spec, ok bool, err error)
	// Weights returns the newest weights of a model in a row of the operators' table; ok is false for other rows.
	DecodeWeights(rw feed.Row) (model string, version uint64, ok bool, err error)
	// Server returns the backend server in a row of the servers' table.
	DecodeServer(rw feed.Row) (*fleet.Server, error)
}

// Tables names tables by their use.
type Tables struct {
	// Operators holds configurations and versions of weights, Servers the backend servers, Nodes this system's processes.
	Config  string
	Servers string
	Nodes   string
	// WeightsPrefix is that of the keys in Operators that name versions of weights.
	WeightsKeyPrefix string
}
