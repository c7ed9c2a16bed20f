package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more-pages"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"now-ms"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	start   time.Time

	mu      sync.Mutex
	version uint64
	era     int
	rows    map[string]row
	history []row
	changed chan struct{}
}

// storeDelay is the time that each call takes.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	st := &store{start: time.Now(), era: 1, rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", st.handleGet)
	mux.HandleFunc("GET /rows-feed", st.handleFeed)
	mux.HandleFunc("POST /rows-tx", st.handleTransaction)
	lis, err := net.Listen("tcp", freeAddress())
	check(err)
	st.address = lis.Addr().String()
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
			time.Sleep(storeDelay)
			mux.ServeHTTP(wr, hr)
		}))
	}()
	return st
}

// put writes a row as the operator or a server does.
func (st *store) put(table, key, value string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.apply(row{Table: table, Key: key, Value: []byte(value), Version: st.version})
}

// remove deletes a row.
func (st *store) remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.apply(row{Table: table, Key: key, Version: st.version, Deleted: true})
}

// apply applies one change; the caller holds mu.
func (st *store) apply(rw row) {
	id := rw.Table + "/" + rw.Part + "/" + rw.Key
	if rw.Deleted {
		delete(st.rows, id)
	} else {
		st.rows[id] = rw
	}
	st.history = append(st.history, rw)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) reply(wr http.ResponseWriter, status int, reply rowsReply) {
	reply.NowMs = time.Since(st.start).Milliseconds()
	if reply.Rows == nil {
		reply.Rows = []row{}
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(reply)
}

func (st *store) handleGet(wr http.ResponseWriter, hr *http.Request) {
	query := hr.URL.Query()
	st.mu.Lock()
	defer st.mu.Unlock()
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	reply := rowsReply{Version: st.version}
	for rw := range maps.Values(st.rows) {
		if rw.Table == query.Get("table") && rw.Part == query.Get("part") && rw.Key >= query.Get("from-rev") &&
			(query.Get("to") == "" || rw.Key < query.Get("to")) {
			reply.Rows = append(reply.Rows, rw)
		}
	}
	slices.SortFunc(reply.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	if len(reply.Rows) > limit {
		reply.Rows, reply.More = reply.Rows[:limit], true
	}
	st.reply(wr, http.StatusOK, reply)
}

func (st *store) handleFeed(wr http.ResponseWriter, hr *http.Request) {
	query := hr.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		st.mu.Lock()
		reply := rowsReply{Version: st.version}
		for _, rw := range st.history {
			if rw.Table == query.Get("table") && rw.Version > after {
				reply.Rows = append(reply.Rows, rw)
			}
		}
		unknown, era, changed := after > st.version, st.era, st.changed
		st.mu.Unlock()
		if unknown {
			wr.Header().Set("Store-Era", strconv.Itoa(era))
			st.reply(wr, http.StatusGone, rowsReply{Version: reply.Version})
			return
		}
		ended := len(reply.Rows) > 0
		select {
		case <-timeout:
			ended = true
		default:
		}
		if ended {
			wr.Header().Set("Store-Era", strconv.Itoa(era))
			st.reply(wr, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timeout = time.After(0)
		case <-hr.Context().Done():
			return
		}
	}
}

func (st *store) handleTransaction(wr http.ResponseWriter, hr *http.Request) {
	var tx struct{ Expected, Writes, Deletes []row }
	if err := json.NewDecoder(hr.Body).Decode(&tx); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, rw := range slices.Concat(tx.Writes, tx.Deletes) {
		if rw.Table == "op" || rw.Table == "servers" {
			wr.WriteHeader(http.StatusForbidden)
			return
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	conflict := false
	var current []row
	for _, expected := range tx.Expected {
		rw, ok := st.rows[expected.Table+"/"+expected.Part+"/"+expected.Key]
		if ok {
			current = append(current, rw)
		}
		conflict = conflict || rw.Version != expected.Version
	}
	if conflict {
		st.reply(wr, http.StatusPreconditionFailed, rowsReply{Rows: current, Version: st.version})
		return
	}
	st.version++
	for _, rw := range tx.Writes {
		st.apply(row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Value: rw.Value, Version: st.version})
	}
	for _, rw := range tx.Deletes {
		st.apply(row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: st.version, Deleted: true})
	}
	st.reply(wr, http.StatusOK, rowsReply{Version: st.version})
}
