package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"shallotcleat/core/answer"
	"shallotcleat/core/config"
	"shallotcleat/core/member"
	"shallotcleat/core/memory"
	"shallotcleat/core/place"
	"shallotcleat/core/prefix"
	"shallotcleat/core/scope"
	"shallotcleat/core/usage"
	"shallotcleat/io/link"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Limits of the attempts of one request.
const (
	// maxAttempts bounds the attempts of a request, the first one included.
	maxAttempts = 4
	// firstFrameTimeout bounds the time until an agent's first frame; the request is then retried at another agent.
	firstFrameTimeout = 500 * time.Millisecond
	// defaultRetryAfter is the retry delay returned to a caller if no agent specified one.
	defaultRetryAfter = time.Second
)

// modelCall is a call of a model and its progress.
type modelCall struct {
	rq      *request
	prompt  *prompt
	chat    bool
	path    string
	service config.Service
	// weightVersion is the version of the model's weights that the call runs with. During a rolling update it may be the old one.
	weightVersion string
	seed          prefix.Seed
	placement     place.Request
	response      *modelResponse
	// textClaim is the memory of the text that is kept of the response.
	textClaim *memory.Claim

	// excluded are the addresses of the agents that refused or failed the call.
	excluded map[string]bool
	// relayedText is the text that the caller has received, also over an earlier connection, and relayedTokens the number of
	// events that carried it.
	relayedText   strings.Builder
	relayedTokens int
	// lastData is the data of the last event without text; that of a complete response holds the token counts.
	lastData []byte
	// usageRecord is the usage record, as far as its fields are known.
	usageRecord usage.Record
}

// beginResponse sets the response of a call and the claim of its text, which done closes.
func (en *Entry) beginResponse(call *modelCall, wr http.ResponseWriter, stream bool) (done func()) {
	call.response = newModelResponse(wr, call.rq, call, stream)
	// The text is kept while the call runs, so that its claim is never evicted.
	call.textClaim = en.memory.Open(time.Now(), memory.Response, func() {})
	return call.textClaim.Close
}

// textFactor is the memory of each copy of the text for each of its bytes, since the copy grows by doubling.
const textFactor = 2

// claimText claims memory for a part of the text: one copy to continue the call at another engine, and one for a response that is not a stream.
func (mc *modelCall) claimText(length int) error {
	copies := 1
	if !mc.response.stream {
		copies = 2
	}
	if err := mc.textClaim.Grow(time.Now(), int64(copies*textFactor*length)); err != nil {
		return fmt.Errorf("keep text: %w", err)
	}
	return nil
}

// serveModel serves the completions and chat completions endpoints.
func (en *Entry) serveModel(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request,
	_ httprouter.Params) *answer.Error {
	chat := strings.HasPrefix(hr.URL.Path, "/v1/chat/")
	pt, er := parsePrompt(rq.body, chat)
	if er != nil {
		return er
	}
	call := &modelCall{rq: rq, prompt: pt, chat: chat, path: hr.URL.Path, excluded: make(map[string]bool)}
	if er := en.resolve(call); er != nil {
		return er
	}
	defer en.beginResponse(call, wr, pt.Stream)()
	en.budget.RecordFirst()
	if lastEventID := hr.Header.Get("Last-Event-ID"); lastEventID != "" {
		er = en.resumeModel(ctx, call, lastEventID)
	} else {
		er = en.runModel(ctx, call)
	}
	return en.finishModel(ctx, call, er)
}

// finishModel records the result of a call and reports a failure: as an error event if the stream has begun, otherwise by
// returning it.
func (en *Entry) finishModel(ctx context.Context, call *modelCall, er *answer.Error) *answer.Error {
	er = call.rq.finalError(er)
	en.addModelUsage(call, er)
	if er == nil {
		en.recordResponse(call.rq, string(answer.Done))
		return nil
	}
	if ctx.Err() != nil && er.Code() != answer.DeadlineExceeded {
		er = answer.NewError(answer.DeadlineExceeded, answer.Unknown, defaultRetryAfter, "deadline exceeded: %s", er.Message())
	}
	if !call.response.started {
		return er
	}
	call.response.writeErrorEvent(er)
	en.rec.CountRefusal(string(er.Code()))
	en.recordResponse(call.rq, string(er.Outcome()), "code", string(er.Code()), "message", er.Message())
	return nil
}

// resolve sets the fields of the call that depend on the configuration of its request or on the weights that the engines serve.
func (en *Entry) resolve(call *modelCall) *answer.Error {
	rq := call.rq
	sv, ok := rq.snapshot.Service(call.prompt.Model)
	if !ok || sv.Kind() != config.KindModel || !rq.workspace.Allows(sv.Name()) {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "workspace %q has no model %q", rq.workspace.Name(), call.prompt.Model)
	}
	call.service = sv
	en.setWeightVersion(call, en.weightVersionFor(rq, sv))
	return nil
}

// setWeightVersion sets the version of the weights that the call runs with, and the fields that depend on it.
func (en *Entry) setWeightVersion(call *modelCall, version string) {
	rq, sv := call.rq, call.service
	call.weightVersion = version
	call.seed = prefix.NewSeed(scope.Own(rq.workspace.Name()), sv.Model(), sv.Adapter(), version)
	pieceTokens := en.opts.PieceTokens
	keys := prefix.Keys(call.seed, call.prompt.text, pieceTokens*bytesPerToken)
	recomputePrice := rq.snapshot.Preset().RecomputePrice()
	call.placement = place.NewRequest(sv.Name(), keys, call.prompt.tokens(), pieceTokens, recomputePrice, version)
}

// weightVersionFor returns the version of the weights that a request runs with. During a rolling update, requests are distributed
// over the known versions in proportion to the engines that serve them, by a hash of the request's id.
func (en *Entry) weightVersionFor(rq *request, sv config.Service) string {
	now := time.Now()
	counts := make(map[string]int)
	total := 0
	for _, ms := range en.board.Members().View().Servers(sv.Name()) {
		if version, ok := servedVersion(ms, now); ok {
			counts[version]++
			total++
		}
	}
	// An agent reports no version until it has read the state of its engine. Requests go there only if no version is known.
	if unknown := counts[""]; unknown < total {
		delete(counts, "")
		total -= unknown
	}
	if total == 0 || counts[sv.WeightVersion()] == total {
		return sv.WeightVersion()
	}
	index := int(xxhash.Sum64String(rq.id) % uint64(total))
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if index -= counts[version]; index < 0 {
			return version
		}
	}
	return sv.WeightVersion()
}

// servedVersion returns the version of the weights with which a server takes calls now, or false if it takes none or has no status.
// The version is empty if the agent does not know it.
func servedVersion(ms *member.Server, now time.Time) (string, bool) {
	version := ms.Status().WeightVersion()
	return version, ms.HasStatus() && ms.Usable(now) && version != member.LoadingWeights
}

// adoptWeightsOf moves a call that has not run to the weights of the server that refused it because of them, as the status in the
// refusal says. The status of other servers is older: resolved by these, the call could be refused by one server after the other.
func (en *Entry) adoptWeightsOf(call *modelCall, address string) *answer.Error {
	ms, ok := en.board.Members().View().Server(address)
	if ok && ms.Service() == call.service.Name() {
		if version, ok := servedVersion(ms, time.Now()); ok && version != "" {
			en.setWeightVersion(call, version)
			return nil
		}
	}
	return en.resolve(call)
}

// adoptSnapshot moves a request that has not run yet to the configuration in force. It fails if the workspace's API key
// was removed or replaced.
func (en *Entry) adoptSnapshot(rq *request) *answer.Error {
	sn := en.board.Snapshot()
	ws, ok := sn.Workspace(rq.workspace.Name())
	if !ok || ws.KeyHash() != rq.workspace.KeyHash() {
		return answer.NewError(answer.Unauthorized, answer.NotRun, 0, "the workspace's API key was removed or replaced")
	}
	rq.snapshot = sn
	rq.workspace = ws
	en.rec.RecordEvent(rq.id, trace.RequestMovedToEpoch, "epoch", strconv.FormatUint(sn.Epoch(), 10), "preset", sn.Preset().Name())
	return nil
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// attemptDone means that the whole response was relayed.
	attemptDone attemptResult = iota
	// attemptRefused means that the agent did not accept the call, or did not reply.
	attemptRefused
	// attemptIncomplete means that the agent accepted the call but its response is incomplete.
	attemptIncomplete
	// attemptFinal means that a retry would fail in the same way.
	attemptFinal
)

// runModel sends the call to agents until one of them completes it or no further attempt is possible.
func (en *Entry) runModel(ctx context.Context, call *modelCall) *answer.Error {
	lastErr := answer.NewError(answer.NoBackendServer, answer.NotRun, defaultRetryAfter,
		"no available backend server for %q", call.service.Name())
	for attempt := range maxAttempts {
		// The budget is asked last: it must not pay for a retry that is not sent.
		ch, ok := en.chooseServer(call.placement, call.excluded)
		if !ok || attempt > 0 && !en.budget.Take() {
			return lastErr
		}
		result, er := en.attemptModel(ctx, call, ch)
		if result == attemptDone || call.finishAtLimit() {
			return nil
		}
		call.rq.recordOutcome(er)
		lastErr = er
		if result == attemptFinal || ctx.Err() != nil {
			return lastErr
		}
		if er := en.prepareRetry(ctx, call, ch, lastErr); er != nil {
			return er
		}
	}
	return lastErr
}

// finishAtLimit ends a response whose engine failed after the last token that the caller asked for, and returns whether it did: no other
// engine has anything to add. The token counts are those that the engine reported, or else the number of tokens.
func (mc *modelCall) finishAtLimit() bool {
	if mc.prompt.MaxTokens == 0 || mc.relayedTokens < mc.prompt.MaxTokens {
		return false
	}
	us, ok := decodeUsage(mc.lastData)
	if !ok {
		mc.response.finish(outputUsageJSON{Output: int64(mc.relayedTokens)})
		return true
	}
	mc.usageRecord.Prompt, mc.usageRecord.Cached = us.Prompt, us.Details[cachedTokensKey]
	mc.response.finish(us)
	return true
}

// prepareRetry prepares the next attempt according to the last error. After a refusal because of a newer configuration, a restarted
// engine or other weights, the agent may be chosen again: its newer configuration is fetched here, and its status was recorded with
// the refusal. After any other error the agent is excluded.
func (en *Entry) prepareRetry(ctx context.Context, call *modelCall, ch place.Choice, lastErr *answer.Error) *answer.Error {
	address := ch.Server().Address()
	switch lastErr.Code() {
	case answer.StaleCache:
		return nil
	case answer.StaleWeights:
		if call.relayedTokens > 0 {
			// The rest of a response must come from the weights that it began with. The engine's status rules it out for them.
			return nil
		}
		return en.adoptWeightsOf(call, address)
	case answer.StaleEpoch:
		en.fetchConfig(ctx, address)
		if er := en.adoptSnapshot(call.rq); er != nil {
			return er
		}
		return en.resolve(call)
	}
	call.excluded[address] = true
	return nil
}

// chooseServer returns the server with the lowest cost that is not excluded.
func (en *Entry) chooseServer(rq place.Request, excluded map[string]bool) (place.Choice, bool) {
	view := en.board.Members().View()
	for _, ch := range en.chooser.Rank(time.Now(), view, rq, len(excluded)+1) {
		if !excluded[ch.Server().Address()] {
			return ch, true
		}
	}
	return place.Choice{}, false
}

// attemptModel sends the call, or its remaining part, to one agent and relays the response.
func (en *Entry) attemptModel(ctx context.Context, call *modelCall, ch place.Choice) (attemptResult, *answer.Error) {
	body := call.rq.body
	if call.relayedTokens > 0 {
		var err error
		if body, err = continuationBody(body, call.chat, call.relayedText.String(), call.prompt.MaxTokens-call.relayedTokens); err != nil {
			return attemptFinal, answer.NewError(answer.StreamBroken, answer.Unknown, 0,
				"continue the response at another server: %v", err)
		}
		en.rec.RecordEvent(call.rq.id, trace.StreamContinued, "after_tokens", itoa(call.relayedTokens))
	}
	address := ch.Server().Address()
	en.rec.RecordEvent(call.rq.id, trace.RequestPlaced, "agent", address, "expected_cached", itoa(ch.CachedTokens()))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A paused agent accepts the message and never replies. Any other replies at once, even if the call is queued.
	watchdog := time.AfterFunc(firstFrameTimeout, func() { cancel(errNoFirstFrame) })
	defer watchdog.Stop()
	stream, err := en.pool.Agent(address).Submit(ctx, &wire.SubmitRequest{
		Context:      en.wireContext(call.rq),
		Service:      call.service.Name(),
		Path:         call.path,
		Body:         body,
		Check:        call.isShort(),
		Share:        int32(call.rq.workspace.Share()),
		PromptTokens: int32(call.prompt.tokens()),
		CachedTokens: int32(ch.CachedTokens()),
		Salt:         call.seed.Salt(),
		Weights:      call.weightVersion,
		Adapter:      call.service.Adapter(),
		Engine:       ch.Server().Status().EngineIncarnation(),
		Begun:        call.relayedTokens > 0,
	})
	if err != nil {
		return en.endUnreachable(ctx, address, err)
	}
	en.board.Members().AddPending(address, ch.PrefillTime(call.placement))
	rl := &relay{entry: en, call: call, address: address, watchdog: watchdog}
	return rl.run(ctx, stream)
}

// isShort reports whether the call belongs to the class of short requests, by its limit of output tokens.
func (mc *modelCall) isShort() bool {
	return mc.prompt.MaxTokens <= mc.rq.snapshot.Preset().CheckTokens()
}

func (en *Entry) wireContext(rq *request) *wire.Context {
	return &wire.Context{
		RequestId:      rq.id,
		Stamp:          uint64(en.rec.Stamp()),
		Epoch:          rq.snapshot.Epoch(),
		Workspace:      rq.workspace.Name(),
		DeadlineUnixMs: rq.deadline.UnixMilli(),
		TryId:          uuid.NewString(),
	}
}

// errNoFirstFrame is the cancellation cause of an attempt whose agent sent no frame within firstFrameTimeout.
var errNoFirstFrame = errors.New("no frame from the agent within the time limit")

// endUnreachable returns the result of an attempt whose agent did not reply. The outcome is unknown unless no connection was
// established, since the agent may have received the message. No failure is recorded if the request was canceled or its deadline
// was exceeded.
func (en *Entry) endUnreachable(ctx context.Context, address string, err error) (attemptResult, *answer.Error) {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errNoFirstFrame) {
		en.board.Members().RecordFailure(time.Now(), address)
	}
	outcome := answer.Unknown
	var dialErr *link.DialError
	if errors.As(err, &dialErr) {
		outcome = answer.NotRun
	}
	return attemptRefused, answer.NewError(answer.AgentUnreachable, outcome, defaultRetryAfter, "agent %s: %v", address, err)
}
