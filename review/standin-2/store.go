package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// expectation is a row and the version that it must have.
type expectation struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
}

// store is a stand-in for the platform's store. It answers at once, loses nothing and keeps its whole history.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", st.get)
	mux.HandleFunc("GET /rows-feed", st.feed)
	mux.HandleFunc("POST /rows-tx", st.transact)
	return http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		wr.Header().Set("Store-Era", "0")
		mux.ServeHTTP(wr, hr)
	})
}

// put writes a row as the operator or a server does.
func (st *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.apply(row{Table: table, Key: key, Value: text, Version: st.version})
}

// apply applies one change; the caller holds mu.
func (st *store) apply(rw row) {
	path := rw.Table + "\x00" + rw.Part + "\x00" + rw.Key
	if rw.Tombstone {
		delete(st.rows, path)
	} else {
		st.rows[path] = rw
	}
	st.history = append(st.history, rw)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) nowMillis() int64 { return time.Since(st.began).Milliseconds() }

func (st *store) get(wr http.ResponseWriter, hr *http.Request) {
	query := hr.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := []row{}
	for _, rw := range st.rows {
		if rw.Table == query.Get("table") && rw.Part == query.Get("part") && rw.Key >= query.Get("from-rev") &&
			(query.Get("to") == "" || rw.Key < query.Get("to")) {
			rows = append(rows, rw)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	writeJSON(wr, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more-pages": more, "ver": st.version, "now-ms": st.nowMillis()})
}

func (st *store) feed(wr http.ResponseWriter, hr *http.Request) {
	query := hr.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		st.mu.Lock()
		rows, version, changed := []row{}, st.version, st.changed
		for _, rw := range st.history {
			if rw.Table == query.Get("table") && rw.Version > after {
				rows = append(rows, rw)
			}
		}
		st.mu.Unlock()
		ended := false
		if len(rows) == 0 {
			select {
			case <-changed:
			case <-timeout:
				ended = true
			case <-hr.Context().Done():
				return
			}
		}
		if len(rows) > 0 || ended {
			writeJSON(wr, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now-ms": st.nowMillis()})
			return
		}
	}
}

func (st *store) transact(wr http.ResponseWriter, hr *http.Request) {
	var tx struct {
		Expected []expectation `json:"expected"`
		Writes   []row         `json:"writes"`
		Deletes  []row         `json:"deletes"`
	}
	if err := json.NewDecoder(hr.Body).Decode(&tx); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	conflict, current := false, []row{}
	for _, ex := range tx.Expected {
		rw, ok := st.rows[ex.Table+"\x00"+ex.Part+"\x00"+ex.Key]
		if ok {
			current = append(current, rw)
		}
		conflict = conflict || rw.Version != ex.Version
	}
	if conflict {
		writeJSON(wr, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": st.version, "now-ms": st.nowMillis()})
		return
	}
	st.version++
	for _, wt := range tx.Writes {
		wt.Version = st.version
		st.apply(wt)
	}
	for _, dl := range tx.Deletes {
		st.apply(row{Table: dl.Table, Part: dl.Part, Key: dl.Key, Version: st.version, Tombstone: true})
	}
	writeJSON(wr, http.StatusOK, map[string]any{"ver": st.version, "now-ms": st.nowMillis()})
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	check(err)
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
	wr.WriteHeader(status)
	_, _ = wr.Write(text)
}
