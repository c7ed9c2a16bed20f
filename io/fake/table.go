package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcleat/io/table"
)

// Table is an in-memory table service.
type Table struct {
	// mu guards the fields below.
	mu    sync.Mutex
	cells map[string]table.Cell
	down  bool
	delay time.Duration
	// dropEvery is n if every nth commit is handled without a response; zero drops none.
	dropEvery int
	commits   int
	reads     int
}

// NewTable returns an empty table service.
func NewTable() *Table { return &Table{cells: make(map[string]table.Cell)} }

// SetDown sets whether the service fails all requests with status 503.
func (tb *Table) SetDown(down bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.down = down
}

// SetDelay sets the delay before each request is handled.
func (tb *Table) SetDelay(delay time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.delay = delay
}

// SetDropEvery makes every nth commit close the connection without a response; its writes take effect unless they
// conflict. Zero drops none.
func (tb *Table) SetDropEvery(n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.dropEvery = n
}

// CallCounts returns the numbers of commits and of reads; scans count as reads.
func (tb *Table) CallCounts() (commits, reads int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.commits, tb.reads
}

// ServeHTTP implements the protocol of package table.
func (tb *Table) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	tb.mu.Lock()
	down, delay := tb.down, tb.delay
	tb.mu.Unlock()
	time.Sleep(delay)
	if down {
		http.Error(wr, "down", http.StatusServiceUnavailable)
		return
	}
	switch rq.URL.Path {
	case "/commit":
		tb.serveCommit(wr, rq)
	case "/read":
		tb.serveRead(wr, rq)
	case "/scan":
		tb.serveScan(wr, rq)
	default:
		http.NotFound(wr, rq)
	}
}

func (tb *Table) serveCommit(wr http.ResponseWriter, rq *http.Request) {
	var body table.CommitRequest
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	tb.mu.Lock()
	versions, conflicts := tb.commit(body.Writes)
	dropResponse := tb.dropEvery > 0 && tb.commits%tb.dropEvery == 0
	tb.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if versions == nil {
		writeJSON(wr, http.StatusConflict, table.CellsResponse{Cells: conflicts})
		return
	}
	writeJSON(wr, http.StatusOK, table.CommitResponse{Versions: versions})
}

// commit applies all writes or none and returns the new versions. If a version does not match, it returns nil and the
// stored cells of the written keys. The caller holds mu.
func (tb *Table) commit(writes []table.Write) ([]uint64, []table.Cell) {
	tb.commits++
	for _, wt := range writes {
		if tb.cells[wt.Key].Version != wt.ExpectedVersion {
			return nil, tb.lookup(keysOf(writes))
		}
	}
	versions := make([]uint64, 0, len(writes))
	for _, wt := range writes {
		tb.cells[wt.Key] = table.Cell{Key: wt.Key, Value: wt.Value, Version: wt.ExpectedVersion + 1}
		versions = append(versions, wt.ExpectedVersion+1)
	}
	return versions, nil
}

func keysOf(writes []table.Write) []string {
	keys := make([]string, 0, len(writes))
	for _, wt := range writes {
		keys = append(keys, wt.Key)
	}
	return keys
}

// lookup returns the stored cells of those keys that exist. The caller holds mu.
func (tb *Table) lookup(keys []string) []table.Cell {
	var cells []table.Cell
	for _, key := range keys {
		if cl, ok := tb.cells[key]; ok {
			cells = append(cells, cl)
		}
	}
	return cells
}

func (tb *Table) serveRead(wr http.ResponseWriter, rq *http.Request) {
	var body table.ReadRequest
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	tb.mu.Lock()
	tb.reads++
	cells := tb.lookup(body.Keys)
	tb.mu.Unlock()
	writeJSON(wr, http.StatusOK, table.CellsResponse{Cells: cells})
}

func (tb *Table) serveScan(wr http.ResponseWriter, rq *http.Request) {
	var body table.ScanRequest
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(wr, http.StatusOK, table.CellsResponse{Cells: tb.Scan(body.Prefix, body.Limit)})
}

// Scan returns at most limit cells whose keys begin with a prefix, sorted by key.
func (tb *Table) Scan(prefix string, limit int) []table.Cell {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.reads++
	var cells []table.Cell
	for key, cl := range tb.cells {
		if strings.HasPrefix(key, prefix) {
			cells = append(cells, cl)
		}
	}
	slices.SortFunc(cells, func(left, right table.Cell) int { return strings.Compare(left.Key, right.Key) })
	return cells[:min(limit, len(cells))]
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}
