package entry

import (
	"context"
	"errors"
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
	"shallotcleat/core/place"
	"shallotcleat/core/prefix"
	"shallotcleat/core/usage"
	"shallotcleat/io/link"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Limits of the tries of one request.
const (
	// maxTries bounds the agents that a request is offered to.
	maxTries = 4
	// firstFrameLimit bounds the time until an agent's first frame; another agent is tried then.
	firstFrameLimit = 500 * time.Millisecond
	// refusedRetryAfter is when a caller should come back if no agent said so.
	refusedRetryAfter = time.Second
)

// modelCall is one call of a model with its progress.
type modelCall struct {
	rq      *request
	prompt  *prompt
	chat    bool
	path    string
	service config.Service
	// weights is the version that the call runs with; while new weights are rolled out it may be the old one.
	weights string
	seed    prefix.Seed
	place   place.Request
	out     *output

	// refused are the agents that have refused the call or failed it.
	refused map[string]bool
	// sent is the text that has been passed on, and tokens the number of events that it came in.
	sent   strings.Builder
	tokens int
	// charge is the usage record as far as it is known.
	charge usage.Record
}

// serveModel answers the completions and chat endpoints.
func (en *Entry) serveModel(ctx context.Context, rq *request, wr http.ResponseWriter, hr *http.Request, _ httprouter.Params) *answer.Error {
	chat := strings.HasPrefix(hr.URL.Path, "/v1/chat/")
	pt, er := parsePrompt(rq.body, chat)
	if er != nil {
		return er
	}
	call := &modelCall{rq: rq, prompt: pt, chat: chat, path: hr.URL.Path, refused: make(map[string]bool)}
	if er := en.bind(call); er != nil {
		return er
	}
	call.out = newOutput(wr, rq, call, pt.Stream)
	en.budget.RecordFirst()
	if last := hr.Header.Get("Last-Event-ID"); last != "" {
		er = en.resume(ctx, call, last)
	} else {
		er = en.runModel(ctx, call)
	}
	return en.endModel(ctx, call, er)
}

// endModel tells the caller of a failure in the way that is still open: an error event once the stream has begun.
func (en *Entry) endModel(ctx context.Context, call *modelCall, er *answer.Error) *answer.Error {
	er = call.rq.finalError(er)
	en.billModel(call, er)
	if er == nil {
		en.noteAnswer(call.rq, string(answer.Done))
		return nil
	}
	if ctx.Err() != nil && er.Code() != answer.DeadlineExceeded {
		er = answer.NewError(answer.DeadlineExceeded, answer.Unknown, refusedRetryAfter, "deadline exceeded: %s", er.Message())
	}
	if !call.out.started {
		return er
	}
	call.out.fail(er)
	en.rec.CountRefusal(string(er.Code()))
	en.noteAnswer(call.rq, string(er.Outcome()), "code", string(er.Code()), "message", er.Message())
	return nil
}

// bind computes what depends on the configuration that the request runs under.
func (en *Entry) bind(call *modelCall) *answer.Error {
	rq := call.rq
	sv, ok := rq.snapshot.Service(call.prompt.Model)
	if !ok || sv.Kind() != config.KindModel || !rq.workspace.Allows(sv.Name()) {
		return answer.NewError(answer.NotFound, answer.NotRun, 0, "workspace %q has no model %q", rq.workspace.Name(), call.prompt.Model)
	}
	call.service = sv
	call.weights = en.weightsFor(rq, sv)
	call.seed = prefix.NewSeed(rq.workspace.Name(), sv.Model(), sv.Adapter(), call.weights)
	pieceTokens := en.opts.PieceTokens
	keys := prefix.Keys(call.seed, call.prompt.text, pieceTokens*bytesPerToken)
	price := rq.snapshot.Preset().RecomputePrice()
	call.place = place.NewRequest(sv.Name(), keys, call.prompt.tokens(), pieceTokens, price, call.weights)
	return nil
}

// weightsFor returns the version of the weights that a request runs with. During a rolling update of the engines each
// version gets as many requests as it has engines; the request's id decides.
func (en *Entry) weightsFor(rq *request, sv config.Service) string {
	now := time.Now()
	counts := make(map[string]int)
	total := 0
	for _, ms := range en.board.Members().View().Servers(sv.Name()) {
		weights := ms.Status().Weights()
		if ms.HasStatus() && ms.Usable(now) && weights != member.LoadingWeights {
			counts[weights]++
			total++
		}
	}
	if total == 0 || counts[sv.Weights()] == total {
		return sv.Weights()
	}
	turn := int(xxhash.Sum64String(rq.id) % uint64(total))
	for _, weights := range slices.Sorted(maps.Keys(counts)) {
		if turn -= counts[weights]; turn < 0 {
			return weights
		}
	}
	return sv.Weights()
}

// rebind moves a request of which nothing has run to the configuration that is in force now.
func (en *Entry) rebind(rq *request) *answer.Error {
	sn := en.board.Snapshot()
	ws, ok := sn.Workspace(rq.workspace.Name())
	if !ok || ws.KeyHash() != rq.workspace.KeyHash() {
		return answer.NewError(answer.Unauthorized, answer.NotRun, 0, "the workspace's key is no longer in force")
	}
	rq.snapshot = sn
	rq.workspace = ws
	en.rec.RecordEvent(rq.id, trace.RequestMovedToEpoch, "epoch", strconv.FormatUint(sn.Epoch(), 10), "preset", sn.Preset().Name())
	return nil
}

// verdict tells how a try ended.
type verdict int

const (
	// tryDone means that the caller has the whole answer.
	tryDone verdict = iota
	// tryRefused means that the agent took nothing.
	tryRefused
	// tryBroken means that the agent took the call but that its answer is incomplete.
	tryBroken
	// tryFinal means that another try would end alike.
	tryFinal
)

// runModel offers the call to agents until one has answered it whole.
func (en *Entry) runModel(ctx context.Context, call *modelCall) *answer.Error {
	last := answer.NewError(answer.NoBackendServer, answer.NotRun, refusedRetryAfter, "no backend server of %q takes work", call.service.Name())
	for try := range maxTries {
		if try > 0 && !en.budget.Take() {
			return last
		}
		ch, ok := en.choose(call.place, call.refused)
		if !ok {
			return last
		}
		vd, er := en.tryModel(ctx, call, ch)
		if vd == tryDone {
			return nil
		}
		call.rq.note(er)
		last = er
		if vd == tryFinal || ctx.Err() != nil {
			return last
		}
		if er := en.prepareRetry(ctx, call, ch, last); er != nil {
			return er
		}
	}
	return last
}

// prepareRetry excludes the agent from the next try, or takes what the agent's refusal tells: a later configuration, or
// a reborn engine or other weights, which the reply's status has made known.
func (en *Entry) prepareRetry(ctx context.Context, call *modelCall, ch place.Choice, last *answer.Error) *answer.Error {
	address := ch.Server().Address()
	switch last.Code() {
	case answer.StaleCache:
		return nil
	case answer.StaleWeights:
		return en.bind(call)
	case answer.StaleEpoch:
		en.catchUp(ctx, address)
		if er := en.rebind(call.rq); er != nil {
			return er
		}
		return en.bind(call)
	}
	call.refused[address] = true
	return nil
}

// choose returns the cheapest server that has not refused a request.
func (en *Entry) choose(rq place.Request, refused map[string]bool) (place.Choice, bool) {
	view := en.board.Members().View()
	for _, ch := range en.chooser.Rank(time.Now(), view, rq, len(refused)+1) {
		if !refused[ch.Server().Address()] {
			return ch, true
		}
	}
	return place.Choice{}, false
}

// tryModel sends the call, or the rest of it, to one agent and relays the answer.
func (en *Entry) tryModel(ctx context.Context, call *modelCall, ch place.Choice) (verdict, *answer.Error) {
	body := call.rq.body
	if call.tokens > 0 {
		var err error
		if body, err = continueBody(body, call.chat, call.sent.String(), call.prompt.MaxTokens-call.tokens); err != nil {
			return tryFinal, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "the rest of the answer can't be asked for: %v", err)
		}
		en.rec.RecordEvent(call.rq.id, trace.StreamContinued, "after_tokens", itoa(call.tokens))
	}
	address := ch.Server().Address()
	en.rec.RecordEvent(call.rq.id, trace.RequestPlaced, "agent", address, "expected_cached", itoa(ch.CachedTokens()))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A frozen agent takes the message and says nothing. A live one says at once that the call waits, or more.
	silence := time.AfterFunc(firstFrameLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	stream, err := en.pool.Agent(address).Submit(ctx, &wire.SubmitRequest{
		Context:      en.contextOf(call.rq),
		Service:      call.service.Name(),
		Path:         call.path,
		Body:         body,
		Check:        call.isCheck(),
		Share:        int32(call.rq.workspace.Share()),
		PromptTokens: int32(call.prompt.tokens()),
		CachedTokens: int32(ch.CachedTokens()),
		Salt:         call.seed.Salt(),
		Weights:      call.weights,
		Adapter:      call.service.Adapter(),
		Engine:       ch.Server().Status().EngineIncarnation(),
		Begun:        call.tokens > 0,
	})
	if err != nil {
		return en.unreached(ctx, address, err)
	}
	en.board.Members().AddPending(address, ch.PrefillTime(call.place))
	rl := &relay{entry: en, call: call, address: address, silence: silence}
	return rl.run(ctx, stream)
}

// isCheck reports whether the call counts as a quick check.
func (call *modelCall) isCheck() bool {
	return call.prompt.MaxTokens <= call.rq.snapshot.Preset().CheckTokens()
}

func (en *Entry) contextOf(rq *request) *wire.Context {
	return &wire.Context{
		RequestId:      rq.id,
		Stamp:          uint64(en.rec.Stamp()),
		Epoch:          rq.snapshot.Epoch(),
		Workspace:      rq.workspace.Name(),
		DeadlineUnixMs: rq.deadline.UnixMilli(),
		TryId:          uuid.NewString(),
	}
}

// errSilent is the cause for which the context of a try ends when its agent says nothing.
var errSilent = errors.New("the agent says nothing")

// unreached returns the end of a try whose agent gave no answer. Unless no connection was made, the agent may have the
// message and run it. That the caller has left is no fault of the agent.
func (en *Entry) unreached(ctx context.Context, address string, err error) (verdict, *answer.Error) {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
		en.board.Members().RecordFailure(time.Now(), address)
	}
	outcome := answer.Unknown
	var dial *link.DialError
	if errors.As(err, &dial) {
		outcome = answer.NotRun
	}
	return tryRefused, answer.NewError(answer.AgentUnreachable, outcome, refusedRetryAfter, "agent %s: %v", address, err)
}
