package usage

// Source is the kind of process that wrote a record.
type Source string

// Sources of records.
const (
	Entry Source = "entry"
	Agent Source = "agent"
)

// Record is the usage of one request as observed by one process. It is immutable once written.
type Record struct {
	// Request is the id of the request that is charged.
	Request string `json:"request"`
	// Try is the id of one attempt at an agent. An entry's record has the id of the last attempt.
	Try       string `json:"try"`
	Source    Source `json:"source"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Epoch     uint64 `json:"epoch"`
	// Agent is the address of the agent, Incarnation identifies the start of its process, and Engine that of its
	// backend server.
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Engine      uint64 `json:"engine,omitempty"`
	// Prompt, Cached and Output are numbers of tokens.
	Prompt  int64  `json:"prompt,omitempty"`
	Cached  int64  `json:"cached,omitempty"`
	Output  int64  `json:"output,omitempty"`
	Outcome string `json:"outcome"`
}

// Charge is the usage that one request is charged for.
type Charge struct {
	request string
	records []Record
}

// Request returns the id of the request that is charged.
func (ch Charge) Request() string { return ch.request }

// Records returns the records that the charge sums up: one entry's record, or the agents' records if no entry wrote one.
func (ch Charge) Records() []Record { return ch.records }

// Tokens returns the numbers of prompt, cached and generated tokens.
func (ch Charge) Tokens() (prompt, cached, output int64) {
	for _, rc := range ch.records {
		prompt += rc.Prompt
		cached += rc.Cached
		output += rc.Output
	}
	return prompt, cached, output
}

// Aggregate returns one charge per request, in the order of the requests' first records. Copies of a record count once. An
// entry's record covers the whole request. If several entries wrote one, because the caller resumed its stream at another
// entry, the one with the most generated tokens is used. Without an entry's record, the agents' records of all attempts are
// summed up.
func Aggregate(records []Record) []Charge {
	var order []string
	entryRecords := make(map[string]Record)
	agentRecords := make(map[string][]Record)
	seenAttempts := make(map[string]bool)
	for _, rc := range records {
		best, hasEntry := entryRecords[rc.Request]
		if !hasEntry && agentRecords[rc.Request] == nil {
			order = append(order, rc.Request)
		}
		if rc.Source == Entry {
			if !hasEntry || supersedes(rc, best) {
				entryRecords[rc.Request] = rc
			}
			continue
		}
		if !seenAttempts[rc.Request+"/"+rc.Try] {
			seenAttempts[rc.Request+"/"+rc.Try] = true
			agentRecords[rc.Request] = append(agentRecords[rc.Request], rc)
		}
	}
	charges := make([]Charge, 0, len(order))
	for _, request := range order {
		ch := Charge{request: request, records: agentRecords[request]}
		if rc, ok := entryRecords[request]; ok {
			ch.records = []Record{rc}
		}
		charges = append(charges, ch)
	}
	return charges
}

// supersedes reports whether rc replaces other; both are entries' records of the same request. Those with equal numbers of
// generated tokens are ordered by the attempt's id, so that all readers choose the same one.
func supersedes(rc, other Record) bool {
	if rc.Output != other.Output {
		return rc.Output > other.Output
	}
	return rc.Try > other.Try
}
