package usage

// Source tells which process made a record.
type Source string

// The sources of records.
const (
	Entry Source = "entry"
	Agent Source = "agent"
)

// Record is what one request took, as one process saw it; it is immutable once written.
type Record struct {
	// Request is the id that the charge traces to.
	Request string `json:"request"`
	// Try is the id of one sending to an agent; an entry's record has that of the last one.
	Try       string `json:"try"`
	Source    Source `json:"source"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Epoch     uint64 `json:"epoch"`
	// Agent is the address of the agent, Incarnation its start and Engine that of its backend server.
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Engine      uint64 `json:"engine,omitempty"`
	// Prompt, Cached and Output are in tokens.
	Prompt  int64  `json:"prompt,omitempty"`
	Cached  int64  `json:"cached,omitempty"`
	Output  int64  `json:"output,omitempty"`
	Outcome string `json:"outcome"`
}

// Charge is what one request is charged for.
type Charge struct {
	request string
	records []Record
}

// Request returns the id that the charge traces to.
func (ch Charge) Request() string { return ch.request }

// Records returns the records that the charge is made of: the entry's one, or the agents' ones if that is missing.
func (ch Charge) Records() []Record { return ch.records }

// Tokens returns the sums of the prompt, cached and generated tokens.
func (ch Charge) Tokens() (prompt, cached, output int64) {
	for _, rc := range ch.records {
		prompt += rc.Prompt
		cached += rc.Cached
		output += rc.Output
	}
	return prompt, cached, output
}

// Aggregate returns one charge for each request, in the order of the requests' first records. Copies of a record count
// once. An entry's record stands for the whole request; of several, as when a caller resumed its stream at another
// entry, the one with the longest answer does. Without one, the agents' records of its tries are summed up.
func Aggregate(records []Record) []Charge {
	var order []string
	entries := make(map[string]Record)
	agents := make(map[string][]Record)
	tries := make(map[string]bool)
	for _, rc := range records {
		known, hasEntry := entries[rc.Request]
		if !hasEntry && agents[rc.Request] == nil {
			order = append(order, rc.Request)
		}
		if rc.Source == Entry {
			if !hasEntry || isLonger(rc, known) {
				entries[rc.Request] = rc
			}
			continue
		}
		if !tries[rc.Request+"/"+rc.Try] {
			tries[rc.Request+"/"+rc.Try] = true
			agents[rc.Request] = append(agents[rc.Request], rc)
		}
	}
	charges := make([]Charge, 0, len(order))
	for _, request := range order {
		ch := Charge{request: request, records: agents[request]}
		if rc, ok := entries[request]; ok {
			ch.records = []Record{rc}
		}
		charges = append(charges, ch)
	}
	return charges
}

// isLonger orders the records of several entries for one request; the try's id decides between equal ones, so that all
// readers take the same.
func isLonger(rc, known Record) bool {
	if rc.Output != known.Output {
		return rc.Output > known.Output
	}
	return rc.Try > known.Try
}
