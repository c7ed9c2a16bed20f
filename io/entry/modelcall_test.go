package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/answer"
	"shallotcleat/core/config"
	"shallotcleat/core/member"
	"shallotcleat/core/prefix"
	"shallotcleat/core/scope"
	"shallotcleat/core/stamp"
	"shallotcleat/io/link"
	"shallotcleat/io/logs"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/wire"
)

// Names and limits in the tests' configuration.
const (
	testKey       = "mchanga-key"
	testWorkspace = "mchanga"
	testModel     = "dispatch-7b"
	testTokens    = 4
)

// submission is one call that a fake agent received.
type submission struct {
	agent   string
	weights string
	salt    string
	// begun is set if the call continues a response; accepted is set if the agent did not refuse it.
	begun    bool
	accepted bool
}

// agentGroup is a group of fake agents. An entry learns the weights of their engines only from their replies.
type agentGroup struct {
	agents []*weightAgent
	// mu guards the fields below and those of the agents.
	mu          sync.Mutex
	lastStamp   stamp.Stamp
	submissions []submission
}

// weightAgent is a fake agent, which refuses calls for other weights than those that its engine serves.
type weightAgent struct {
	wire.DRPCAgentUnimplementedServer
	group   *agentGroup
	address string
	// weights is the version that the engine serves; status is the one that the agent reports.
	weights string
	status  string
	leaving bool
	// crashAfter is the number of tokens after which the engine crashes; the agent then leaves. Zero means that it doesn't.
	crashAfter int
}

func newAgentGroup(t *testing.T, count int) *agentGroup {
	t.Helper()
	ag := &agentGroup{}
	for range count {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		wa := &weightAgent{group: ag, address: lis.Addr().String()}
		ag.agents = append(ag.agents, wa)
		mux := drpcmux.New()
		if err := wire.DRPCRegisterAgent(mux, wa); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()}).Serve(ctx, lis)
		}()
		t.Cleanup(func() { cancel(); <-done })
	}
	return ag
}

// setWeights sets the version that all engines serve and their agents report.
func (ag *agentGroup) setWeights(version string) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	for _, wa := range ag.agents {
		wa.weights, wa.status = version, version
	}
}

// newStatus returns a status that is newer than those before.
func (ag *agentGroup) newStatus(version string, wait time.Duration, leaving bool) member.Status {
	ag.lastStamp++
	return member.NewStatus(ag.lastStamp, 1, 1, 1, version, wait, 1e6, leaving)
}

// announce records the status of each agent in an entry, as if it had polled them. The entry prefers agents with lower indexes.
func (ag *agentGroup) announce(en *Entry) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	for i, wa := range ag.agents {
		st := ag.newStatus(wa.status, time.Duration(i)*time.Hour, wa.leaving)
		en.board.Members().RecordStatus(time.Now(), wa.address, st)
	}
}

// takeSubmissions returns the calls received since the last time.
func (ag *agentGroup) takeSubmissions() []submission {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	taken := ag.submissions
	ag.submissions = nil
	return taken
}

// reply returns a frame with the agent's status. The caller holds the group's mu.
func (wa *weightAgent) reply(fr *wire.Frame) *wire.Frame {
	fr.Status = wire.FromStatus(wa.group.newStatus(wa.status, 0, wa.leaving))
	return fr
}

// Submit refuses a call for other weights or replies with a word for each token.
func (wa *weightAgent) Submit(rq *wire.SubmitRequest, out wire.DRPCAgent_SubmitStream) error {
	for _, fr := range wa.handle(rq) {
		if err := out.Send(fr); err != nil {
			return err
		}
	}
	return nil
}

func (wa *weightAgent) handle(rq *wire.SubmitRequest) []*wire.Frame {
	wa.group.mu.Lock()
	defer wa.group.mu.Unlock()
	sm := submission{agent: wa.address, weights: rq.GetWeights(), salt: rq.GetSalt(), begun: rq.GetBegun()}
	sm.accepted = sm.weights == wa.weights
	wa.group.submissions = append(wa.group.submissions, sm)
	if !sm.accepted {
		er := answer.NewError(answer.StaleWeights, answer.NotRun, time.Second, "the engine serves %q", wa.weights)
		return []*wire.Frame{wa.reply(&wire.Frame{Kind: &wire.Frame_Refused{Refused: wire.FromError(er)}})}
	}
	frames := []*wire.Frame{wa.reply(&wire.Frame{Kind: &wire.Frame_Accepted{Accepted: &wire.Accepted{StreamId: "s"}}})}
	for i := range testTokens {
		if wa.crashAfter > 0 && i == wa.crashAfter {
			wa.leaving = true
			er := answer.NewError(answer.ServerFailed, answer.Unknown, time.Second, "the engine crashed")
			frames = append(frames, wa.reply(&wire.Frame{Kind: &wire.Frame_Failed{Failed: wire.FromError(er)}}))
			break
		}
		text := " " + wa.weights
		data := fmt.Appendf(nil, `{"choices":[{"text":%q}]}`, text)
		frames = append(frames, wa.reply(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: data, Text: text}}}))
	}
	if wa.crashAfter == 0 {
		frames = append(frames, wa.reply(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Usage: &wire.Usage{}}}}))
	}
	for i, fr := range frames {
		fr.Seq = uint64(i + 1)
	}
	return frames
}

// newTestEntry returns an entry that knows the agents of a group but polls none of them. The declared version is "v2".
func newTestEntry(t *testing.T, ag *agentGroup) *Entry {
	t.Helper()
	lg, err := logs.New(t.Output(), "error", "entry")
	if err != nil {
		t.Fatal(err)
	}
	rec, err := trace.New("entry", lg)
	if err != nil {
		t.Fatal(err)
	}
	pool := link.NewPool()
	t.Cleanup(func() { _ = pool.Close() })
	opts := Options{PieceTokens: 50, MaxBodyBytes: 1 << 20, Recorder: rec, Pool: pool, RandomSeed: 1}
	for _, wa := range ag.agents {
		opts.SeedVMs = append(opts.SeedVMs, vmlist.VM{Address: wa.address, Role: vmlist.RoleAgent, Service: "dispatch"})
	}
	en := New(opts)
	text := fmt.Appendf(nil, `
services:
  - {name: dispatch, kind: model, model: %s, weights: v2}
workspaces:
  - {name: %s, key-sha256: %s}
presets:
  - {name: ordinary, timeout: 30s}
`, testModel, testWorkspace, config.Hash([]byte(testKey)))
	sn, err := config.NewSnapshot(config.NewHead(1, config.Hash(text), "ordinary", "first"), text)
	if err != nil {
		t.Fatal(err)
	}
	en.board.Adopt(sn)
	return en
}

// requestStream sends a request for a stream to an entry and returns the response.
func requestStream(en *Entry) *httptest.ResponseRecorder {
	body := fmt.Appendf(nil, `{"model":"dispatch","prompt":%q,"max_tokens":%d,"stream":true}`,
		strings.Repeat("sand ", 200), testTokens)
	rq := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+testKey)
	rr := httptest.NewRecorder()
	en.routes().ServeHTTP(rr, rq)
	return rr
}

// If all engines have loaded other weights than the entry knows, a request is refused once and then runs on the weights of the
// engine that refused it, with the salt of these weights.
func TestCallMovesToWeightsOfRefusingEngine(t *testing.T) {
	ag := newAgentGroup(t, 4*maxAttempts)
	for range 8 {
		ag.setWeights("v1")
		// A new entry has a full retry budget.
		en := newTestEntry(t, ag)
		ag.announce(en)
		ag.setWeights("v2")
		rr := requestStream(en)
		got := ag.takeSubmissions()
		if rr.Code != http.StatusOK || strings.Count(rr.Body.String(), " v2") != testTokens {
			t.Errorf("status %d after %d attempts: %s", rr.Code, len(got), rr.Body)
			continue
		}
		var want []submission
		for _, version := range []string{"v1", "v2"} {
			want = append(want, submission{agent: ag.agents[0].address, weights: version, accepted: version == "v2",
				salt: prefix.NewSeed(scope.Own(testWorkspace), testModel, "", version).Salt()})
		}
		if !slices.Equal(got, want) {
			t.Errorf("attempts %+v, want %+v", got, want)
		}
	}
}

// A response that has begun keeps its weights: if the next engine has loaded others meanwhile, it goes on at an engine that still
// has them, or ends with an error if there is none.
func TestBegunCallKeepsWeights(t *testing.T) {
	const begunTokens = 2
	for _, others := range []int{1, 2} {
		ag := newAgentGroup(t, 1+others)
		// The requests are spread over the versions by their ids, so that one of them may not show the fault.
		for range 8 {
			ag.setWeights("v1")
			first, second := ag.agents[0], ag.agents[1]
			first.leaving, first.crashAfter = false, begunTokens
			en := newTestEntry(t, ag)
			ag.announce(en)
			second.weights, second.status = "v2", "v2"
			rr := requestStream(en)
			tokens, done := begunTokens, others > 1
			if done {
				tokens += testTokens
			}
			text := rr.Body.String()
			if strings.Contains(text, " v2") || strings.Count(text, " v1") != tokens || strings.Contains(text, "[DONE]") != done {
				t.Errorf("%d other engines: want %d tokens of v1, done %t, got %s", others, tokens, done, text)
			}
			for i, sm := range ag.takeSubmissions() {
				if sm.weights != "v1" || sm.begun != (i > 0) {
					t.Errorf("%d other engines: attempt %d is %+v, want weights v1", others, i+1, sm)
				}
			}
		}
	}
}

// If the refusing engine takes no calls now, the call runs on the weights of other engines.
func TestCallLeavesWeightsOfUnusableEngine(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  string
		leaving bool
	}{
		{name: "loading", status: member.LoadingWeights},
		{name: "leaving", status: "v2", leaving: true},
		{name: "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ag := newAgentGroup(t, 2)
			ag.setWeights("v1")
			first := ag.agents[0]
			en := newTestEntry(t, ag)
			ag.announce(en)
			first.weights, first.status, first.leaving = "v2", tc.status, tc.leaving
			rr := requestStream(en)
			if got := ag.takeSubmissions(); rr.Code != http.StatusOK || len(got) != 2 || got[1].weights != "v1" {
				t.Errorf("status %d after attempts %+v", rr.Code, got)
			}
		})
	}
}

// An engine whose weights are unknown gets no calls while those of others are known, and calls are not refused because of it. If no
// agent knows the weights of its engine, the engines are used all the same.
func TestCallAvoidsEngineOfUnknownWeights(t *testing.T) {
	for _, others := range []string{"v1", ""} {
		ag := newAgentGroup(t, 2)
		ag.setWeights(others)
		ag.agents[0].weights, ag.agents[0].status = "", ""
		// The requests are spread over the versions by their ids, so that one of them may not show the fault.
		for range 16 {
			en := newTestEntry(t, ag)
			ag.announce(en)
			rr := requestStream(en)
			if got := ag.takeSubmissions(); rr.Code != http.StatusOK || len(got) != 1 || got[0].weights != others {
				t.Errorf("status %d after attempts %+v, want one with weights %q", rr.Code, got, others)
			}
		}
	}
}
