package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as it is sent.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is an in-memory stand-in of the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a replica does.
func (st *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ver++
	st.apply(row{Table: table, Key: key, Value: text, Ver: st.ver})
	st.notify()
}

func (st *store) apply(rw row) {
	id := rowID(rw.Table, rw.Part, rw.Key)
	if rw.Tombstone {
		delete(st.rows, id)
	} else {
		st.rows[id] = rw
	}
	st.history = append(st.history, rw)
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) now() int64 { return time.Since(st.began).Milliseconds() }

// selected returns the rows of a table and part in ascending order of their keys.
func (st *store) selected(table, part, from, to string) []row {
	rows := []row{}
	for _, rw := range st.rows {
		if rw.Table == table && rw.Part == part && rw.Key >= from && (to == "" || rw.Key < to) {
			rows = append(rows, rw)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func reply(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}

// ServeHTTP serves the calls on rows.
func (st *store) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := hr.URL.Query()
	switch hr.Method + " " + hr.URL.Path {
	case "GET /rows-get":
		st.mu.Lock()
		defer st.mu.Unlock()
		rows := st.selected(query.Get("table"), query.Get("part"), query.Get("from-rev"), query.Get("to"))
		limit, _ := strconv.Atoi(query.Get("limit"))
		if limit <= 0 || limit > 500 {
			limit = 500
		}
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		reply(wr, http.StatusOK, map[string]any{"rows": rows, "more-pages": more, "ver": st.ver, "now-ms": st.now()})
	case "GET /rows-feed":
		st.serveFeed(wr, hr)
	case "POST /rows-tx":
		st.serveTransaction(wr, hr)
	default:
		reply(wr, http.StatusNotFound, map[string]any{})
	}
}

func (st *store) serveFeed(wr http.ResponseWriter, hr *http.Request) {
	query := hr.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(min(millis, 30_000)) * time.Millisecond)
	for waiting := true; ; {
		st.mu.Lock()
		rows := []row{}
		for _, rw := range st.history {
			if rw.Table == query.Get("table") && rw.Ver > after {
				rows = append(rows, rw)
			}
		}
		ver, changed := st.ver, st.changed
		st.mu.Unlock()
		if len(rows) > 0 || !waiting {
			reply(wr, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now-ms": st.now()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-hr.Context().Done():
			return
		}
	}
}

func (st *store) serveTransaction(wr http.ResponseWriter, hr *http.Request) {
	var tx struct{ Expected, Writes, Deletes []row }
	if err := json.NewDecoder(hr.Body).Decode(&tx); err != nil {
		reply(wr, http.StatusBadRequest, map[string]any{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, rw := range append(append([]row{}, tx.Writes...), tx.Deletes...) {
		if rw.Table == "op" || rw.Table == "servers" {
			reply(wr, http.StatusForbidden, map[string]any{})
			return
		}
	}
	current, holds := []row{}, true
	for _, rw := range tx.Expected {
		known, ok := st.rows[rowID(rw.Table, rw.Part, rw.Key)]
		if ok {
			current = append(current, known)
		}
		holds = holds && known.Ver == rw.Ver
	}
	if !holds {
		reply(wr, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": st.ver, "now-ms": st.now()})
		return
	}
	st.ver++
	for _, rw := range tx.Writes {
		rw.Ver = st.ver
		st.apply(rw)
	}
	for _, rw := range tx.Deletes {
		st.apply(row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Ver: st.ver, Tombstone: true})
	}
	st.notify()
	reply(wr, http.StatusOK, map[string]any{"ver": st.ver, "now-ms": st.now()})
}
