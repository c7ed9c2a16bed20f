package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status int
	// complete is set if the answer has ended as it should.
	complete bool
	err      error
	body     string
	events   []event
	gate     *process
	sentAt   time.Time
	// inTouch is set if the gate was in touch when the attempt was sent.
	inTouch bool
	// retryAfter is the time after which the client may come back, as the gate told it.
	retryAfter time.Duration
}

type event struct {
	number int
	text   string
}

// request describes an attempt of a client.
type request struct {
	id, method, path, body string
	zone                   string
	hash                   int
	deadline               time.Time
	isStream               bool
	parts                  string
	lastEvent              int
	resumes                string
}

const (
	host   = "jepu9.example"
	apiKey = "ctnfzs989anu6wsjnban"
	tenant = "sese880"
)

// send makes one attempt on a new connection.
func (rn *run) send(rq request) answer {
	an := answer{gate: rn.gateFor(rq.zone, rq.hash), sentAt: time.Now()}
	an.inTouch = an.gate.inTouch(an.sentAt)
	ctx, cancel := context.WithDeadline(context.Background(), rq.deadline)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+an.gate.settings["listen.front"]+rq.path, strings.NewReader(rq.body))
	check(err)
	hr.Host = host
	hr.Header.Set("X-Request-Id", rq.id)
	hr.Header.Set("X-Api-Key", apiKey)
	hr.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(rq.deadline).Milliseconds(), 10))
	if rq.isStream {
		hr.Header.Set("X-Model", modelName)
		hr.Header.Set("X-Token-Counts", "1450,40")
		hr.Header.Set("X-Prefix-Hash", rq.parts)
	}
	if rq.resumes != "" {
		hr.Header.Set("Resumes", rq.resumes)
		hr.Header.Set("Last-Event-Id", strconv.Itoa(rq.lastEvent))
	}
	rn.recordf("sent id=%s to=%s in-touch=%t %s resumes=%s after=%d", rq.id, an.gate.settings["node-name"], an.inTouch, rq.path, rq.resumes, rq.lastEvent)
	rs, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(hr)
	if err != nil {
		an.err = err
		rn.recordf("ended id=%s error=%q", rq.id, err)
		return an
	}
	defer func() { _ = rs.Body.Close() }()
	an.status = rs.StatusCode
	if seconds, err := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64); err == nil {
		an.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if rs.StatusCode == http.StatusOK && rs.Header.Get("X-Server-Seal") != "" && rq.isStream {
		an.readEvents(rs.Body)
	} else {
		var body []byte
		body, an.err = io.ReadAll(rs.Body)
		an.body, an.complete = string(body), an.err == nil
	}
	rn.recordf("answered id=%s status=%d events=%d complete=%t body=%q", rq.id, an.status, len(an.events), an.complete, strings.TrimSpace(an.body))
	return an
}

// readEvents reads the events of a stream until it ends.
func (an *answer) readEvents(body io.Reader) {
	reader := bufio.NewReader(body)
	var number int
	var text string
	for {
		line, err := reader.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case err == io.EOF && line == "":
			an.complete = true
			return
		case err != nil:
			an.err = fmt.Errorf("read stream: %w", err)
			return
		case strings.HasPrefix(line, "id:"):
			number, _ = strconv.Atoi(strings.TrimSpace(line[len("id:"):]))
		case strings.HasPrefix(line, "data:"):
			text = strings.TrimSpace(line[len("data:"):])
		case line == "" && text != "":
			an.events = append(an.events, event{number: number, text: text})
			text = ""
		}
	}
}
