package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"shallotcleat/io/local"
)

const (
	// endlessTime is how long a flood of calls to a faulty backend server lasts.
	endlessTime = 6 * time.Second
	// maxWrittenBytes is where the answers without end of a test pause, so that a test that fails does not use up the machine's memory.
	maxWrittenBytes = 1 << 30
)

// newEndlessCluster returns a flooded cluster with a model agent whose engine answers all but ordinary prompts with write, as does the plain service
// for paths that begin with /endless.
func newEndlessCluster(t *testing.T, write func(conn net.Conn)) *floodedCluster {
	t.Helper()
	fc := newFloodedCluster(t, func(wr http.ResponseWriter, hr *http.Request) bool {
		if strings.HasPrefix(hr.URL.Path, "/endless") {
			writeRaw(wr, write)
			return true
		}
		return false
	})
	fc.modelAgents = append(fc.modelAgents, fc.startAgent("dispatch", "--model", http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		body, _ := io.ReadAll(hr.Body)
		switch {
		case hr.URL.Path == "/state":
			_, _ = io.WriteString(wr, `{"incarnation":1,"weights":"v1","prefill_rate":100000}`)
		case bytes.Contains(body, []byte("ordinary")):
			wr.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(wr, "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n")
		default:
			writeRaw(wr, write)
		}
	})))
	fc.checkCompleted(t, "before the flood")
	return fc
}

// writeRaw writes an answer with its head to the connection of a response.
func writeRaw(wr http.ResponseWriter, write func(conn net.Conn)) {
	conn, _, err := wr.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	write(conn)
}

// checkCompleted checks that an ordinary completion is served; it is repeated as long as it is refused.
func (fc *floodedCluster) checkCompleted(t *testing.T, when string) {
	t.Helper()
	statuses := make(map[int]int)
	for deadline := time.Now().Add(floodTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		cp, rp, err := local.NewCaller(fc.entryAddresses[0], callerKey).Complete(t.Context(), "dispatch", "ordinary", 1)
		switch {
		case err != nil:
			statuses[0]++
		case rp.Status == http.StatusOK && cp.Text() == "a":
			return
		default:
			statuses[rp.Status]++
		}
	}
	t.Fatalf("no completion is served %s: requests by status %v", when, statuses)
}

// writeForever writes a head, then pieces again and again until one fails.
func writeForever(head string, pieces ...string) func(conn net.Conn) {
	var written atomic.Int64
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for err == nil && written.Load() < maxWrittenBytes {
			for _, piece := range pieces {
				if _, err = io.WriteString(conn, piece); err != nil {
					break
				}
				written.Add(int64(len(piece)))
			}
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// Answers without end of a faulty engine or plain service, to many calls at once, do not use up the memory of its agent or of entries, which serve
// other requests during and after.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		head       = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		streamHead = head + "Content-Type: text/event-stream\r\n\r\n"
	)
	text := strings.Repeat("x", 32<<10)
	var lines strings.Builder
	for i := 0; lines.Len() < 60_000; i++ {
		fmt.Fprintf(&lines, "a%d:\r\n", i)
	}
	stream := `{"model":"dispatch","prompt":"p","max_tokens":100000000,"stream":true}`
	call := `{"model":"dispatch","prompt":"p","max_tokens":100000000}`
	tokens := strings.Repeat("data: {\"choices\":[{\"text\":\"t\"}]}\n\n", 1000)
	for name, tt := range map[string]struct {
		path, body string
		write      func(conn net.Conn)
	}{
		"stream of tokens":          {"/v1/completions", stream, writeForever(streamHead, tokens)},
		"tokens of a call":          {"/v1/completions", call, writeForever(streamHead, tokens)},
		"long tokens of a call":     {"/v1/completions", call, writeForever(streamHead, `data: {"choices":[{"text":"`+text+"\"}]}\n\n")},
		"empty events":              {"/v1/completions", stream, writeForever(streamHead, strings.Repeat("data: \n\n", 4000))},
		"comments":                  {"/v1/completions", stream, writeForever(streamHead, strings.Repeat(": x\n\n", 4000))},
		"event without end":         {"/v1/completions", stream, writeForever(streamHead+"data: ", text)},
		"lines of an event":         {"/v1/completions", stream, writeForever(streamHead, strings.Repeat("data: x\n", 4000))},
		"long events":               {"/v1/completions", stream, writeForever(streamHead, "data: "+strings.Repeat("x", 1_000_000)+"\n\n")},
		"failure":                   {"/v1/completions", stream, writeForever("HTTP/1.1 500 Failed\r\nConnection: close\r\n\r\n", text)},
		"header line of an engine":  {"/v1/completions", stream, writeForever("HTTP/1.1 200 OK\r\nX-Long: ", text)},
		"header lines of an engine": {"/v1/completions", stream, writeForever("HTTP/1.1 200 OK\r\n", lines.String())},
		"interim responses":         {"/v1/completions", stream, writeForever("", "HTTP/1.1 103 Early Hints\r\n"+lines.String()+"\r\n")},
		"body of a service":         {"/services/stock/endless", "", writeForever(head+"\r\n", text)},
		"chunks of a service":       {"/services/stock/endless", "", writeForever(head+"Transfer-Encoding: chunked\r\n\r\n", "8000\r\n"+text+"\r\n")},
		"header lines of a service": {"/services/stock/endless", "", writeForever("HTTP/1.1 200 OK\r\n", lines.String())},
		"longest bodies of a service": {"/services/stock/endless", "", func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, 4<<20)
			for range (4 << 20) / len(text) {
				_, _ = io.WriteString(conn, text)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fc := newEndlessCluster(t, tt.write)
			method := http.MethodPost
			if tt.body == "" {
				method = http.MethodPut
			}
			fc.flood(fc.entryAddresses[0], func(conn net.Conn, _ int) {
				_, _ = conn.Write(entryHead(method, tt.path))
				_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(tt.body), tt.body)
				// Callers read what they get.
				_ = conn.SetReadDeadline(time.Now().Add(endlessTime))
				_, _ = io.Copy(io.Discard, conn)
			})
			fc.checkAnswered(t, "during the flood", 5)
			fc.checkProcesses(t, "during the flood")
			fc.closeAll()
			fc.checkAnswered(t, "after the flood", 5)
			fc.checkCompleted(t, "after the flood")
			fc.checkProcesses(t, "after the flood")
		})
	}
}
