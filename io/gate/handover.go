package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/core/stage"
	"shallotcleat/core/whole"
	"shallotcleat/io/client"
)

// Limits of hand-overs of running streams.
const (
	// moveTimeout bounds each call to copy a run. Copies queue on the links of both engines; a stream that waits for longer is late anyway.
	moveTimeout = time.Second
	// freeTimeout bounds the call that frees a copy; engines drop copies that nobody uses after a while.
	freeTimeout = time.Second
	// closeTimeout is how long after a run was stopped its stream may stay open.
	closeTimeout = 100 * time.Millisecond
	// failuresLogged and failuresPeriod bound the log entries about failed hand-overs.
	failuresLogged = 20
	failuresPeriod = 10 * time.Second
)

// Results of hand-overs in metrics and logs.
const (
	// movedOver means that the destination continued the stream, movedBack that the source did after the copy had failed.
	movedOver = "moved"
	movedBack = "source"
	// moveRefused means that the run was never stopped, moveEnded that it ended before, and moveUnknown that the source did not answer.
	moveRefused = "refused"
	moveEnded   = "ended"
	moveUnknown = "unknown"
	// moveLost means that neither engine continued the stream.
	moveLost = "lost"
)

// Move is a call to copy a running request to another engine.
type Move struct {
	// ServerID and Address are those of the engine that runs the request.
	ServerID  string
	Address   string
	RequestID string
	// Destination is the IP and port of the other engine.
	Destination string
	// Stop is set if the run stops before the copy is completed.
	Stop bool
}

// MoveStatus is the result of a Move.
type MoveStatus int

// The results of moves.
const (
	// MoveComplete means that the destination has a copy of the run.
	MoveComplete MoveStatus = iota
	// MoveNoRun means that the engine does not run the request, which may have ended.
	MoveNoRun
	// MoveBusy means that another move of the run is in progress.
	MoveBusy
	// MoveNoRoom means that the destination has no room or cannot be reached.
	MoveNoRoom
)

// MoveReply is the reply to a Move. Handle names the copy, and the stopped run at the engine that ran it; it is empty if there is
// neither.
type MoveReply struct {
	Status MoveStatus
	Handle string
}

// MoveClient calls engines to move running requests.
type MoveClient interface {
	// Move returns once the copy is complete or has failed. After an error it is unknown whether the run was stopped.
	Move(ctx context.Context, mv Move) (MoveReply, error)
	// Free frees the copies with a handle that the engine at an address holds or has made.
	Free(ctx context.Context, address, handle string) error
}

// handOver is the hand-over of the run of an attempt.
type handOver struct {
	attempt *attempt
	terms   stage.Terms
	// cancel ends the attempt.
	cancel context.CancelFunc
	// result receives one value if the hand-over was started.
	result chan movedRun

	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	started bool
	// ended is set once the stream of the attempt has ended.
	ended bool
}

// movedRun is a run after a move.
type movedRun struct {
	source      pick.Choice
	destination pick.Choice
	// handle is not empty if the run was stopped; complete is set if the destination has the copy.
	handle   string
	complete bool
	// unknown is set if the source did not answer, so that the run may have been stopped.
	unknown bool
}

// newHandOver returns a hand-over of the attempt, or nil if its run cannot be handed over or hand-overs of its kind never pay.
func (at *attempt) newHandOver(cancel context.CancelFunc) *handOver {
	rq := at.rq
	if at.gate.opts.Moves == nil || rq.moved != nil || !rq.service.Moves() || rq.call.Model() == "" || !stage.IsLong(rq.call.PrefillTokens()) ||
		!stage.IsWorth(rq.info.ExpectedTokens, 1) {
		return nil
	}
	terms, ok := stage.NewTerms(rq.route.TargetGap(), rq.service.CacheTokenBytes(), rq.service.LinkBytesPerSecond())
	if !ok {
		return nil
	}
	return &handOver{attempt: at, terms: terms, cancel: cancel, result: make(chan movedRun, 1)}
}

// eventRelayed decides, after an event was relayed, whether the run is handed over, now or when the next event is late. At most one
// hand-over of an attempt is started.
func (ho *handOver) eventRelayed(ctx context.Context) {
	rq := ho.attempt.rq
	if !rq.response.hasEventID || !stage.IsWorth(rq.info.ExpectedTokens, rq.response.events) {
		ho.stopTimer()
		return
	}
	call := rq.call
	if ho.start(ctx, call, false) {
		return
	}
	ho.stopTimer()
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.started || ho.ended {
		return
	}
	ho.timer = time.AfterFunc(ho.terms.Delay(), func() { ho.start(ctx, call, true) })
}

// stopTimer keeps a hand-over that has not been started from being started by a delay.
func (ho *handOver) stopTimer() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.timer != nil {
		ho.timer.Stop()
	}
}

// start starts the hand-over if one pays, and reports whether one was started before or now.
func (ho *handOver) start(ctx context.Context, call pick.Call, delayed bool) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.started || ho.ended || ctx.Err() != nil {
		return ho.started
	}
	gt, source := ho.attempt.gate, ho.attempt.choice
	if !gt.picker.AcceptsCalls(time.Now(), source.Server().ID()) {
		return false
	}
	destination, copyTime, ok := gt.picker.HandOver(time.Now(), call, source, ho.terms, delayed)
	if !ok {
		return false
	}
	ho.started = true
	gt.log.WithFields(logrus.Fields{"event": "hand_over", "request_id": ho.attempt.rq.info.RequestID, "server": source.Server().ID(),
		"destination": destination.Server().ID(), "copy_ms": copyTime.Milliseconds(), "delayed": delayed}).Debug("handing a stream over")
	// The caller may leave meanwhile; what was copied must be freed all the same.
	moveCtx := context.WithoutCancel(ctx)
	go func() { ho.result <- ho.move(moveCtx, destination, copyTime) }()
	return true
}

// move copies the run and stops it.
func (ho *handOver) move(ctx context.Context, destination pick.Choice, copyTime time.Duration) movedRun {
	at := ho.attempt
	source := at.choice.Server()
	run := movedRun{source: at.choice.WithoutCopies(), destination: destination}
	mv := Move{ServerID: source.ID(), Address: source.Address(), RequestID: at.rq.info.RequestID, Destination: destination.Server().Address()}
	var first MoveReply
	if ho.terms.CopiesFirst(copyTime) {
		var err error
		if first, err = at.gate.callMove(ctx, mv); err != nil || first.Status != MoveComplete {
			// The run goes on where it is.
			at.gate.freeCopies(ctx, source.Address(), first.Handle)
			at.gate.recordMove(at.rq, run, moveRefused, err)
			return run
		}
	}
	mv.Stop = true
	reply, err := at.gate.callMove(ctx, mv)
	switch {
	case err != nil:
		run.unknown = true
		at.gate.freeCopies(ctx, source.Address(), first.Handle)
		at.gate.recordMove(at.rq, run, moveUnknown, err)
	case reply.Handle != "" && (reply.Status == MoveComplete || reply.Status == MoveNoRoom):
		run.handle, run.complete = reply.Handle, reply.Status == MoveComplete
		// The stream of a stopped run ends at once, unless the end is lost on the way.
		time.AfterFunc(closeTimeout, ho.cancel)
	case reply.Status == MoveNoRun:
		at.gate.freeCopies(ctx, source.Address(), first.Handle)
		at.gate.recordMove(at.rq, run, moveEnded, nil)
	default:
		at.gate.freeCopies(ctx, source.Address(), first.Handle)
		at.gate.recordMove(at.rq, run, moveRefused, nil)
	}
	return run
}

func (gt *Gate) callMove(parent context.Context, mv Move) (MoveReply, error) {
	ctx, cancel := context.WithTimeout(parent, moveTimeout)
	defer cancel()
	return gt.opts.Moves.Move(ctx, mv)
}

// streamEnded returns the run of a hand-over that was started, once the stream of the attempt has ended and the source has answered. It
// is called once.
func (ho *handOver) streamEnded(requestCtx context.Context) (movedRun, bool) {
	if ho == nil || !ho.end() {
		return movedRun{}, false
	}
	select {
	case run := <-ho.result:
		return run, true
	case <-requestCtx.Done():
		ho.abandon(requestCtx)
		return movedRun{}, false
	}
}

// end prevents a later start, and reports whether the hand-over was started and not ended before.
func (ho *handOver) end() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.timer != nil {
		ho.timer.Stop()
	}
	first := !ho.ended
	ho.ended = true
	return ho.started && first
}

// abandon frees what the move copies, once it is over, since nobody continues the run.
func (ho *handOver) abandon(ctx context.Context) {
	go func() {
		if run := <-ho.result; run.handle != "" {
			ho.attempt.gate.freeCopies(context.WithoutCancel(ctx), run.source.Server().Address(), run.handle)
			ho.attempt.gate.recordMove(ho.attempt.rq, run, moveLost, nil)
		}
	}()
}

// close ends the hand-over of an attempt that ended in any way.
func (ho *handOver) close(ctx context.Context) {
	if ho != nil && ho.end() {
		ho.abandon(ctx)
	}
}

// continueMoved continues a stopped run at the destination, or at the source if the destination did not take it. Neither counts as
// another run of the request, or as a retry. A run that nobody continues was broken off. The returned choice is that of the last server.
func (gt *Gate) continueMoved(ctx context.Context, rq *request) (pick.Choice, attemptResult, *answer.Error) {
	run := *rq.moved
	call := rq.call
	rq.call = call.Copied()
	freeCtx := context.WithoutCancel(ctx)
	defer func() {
		go gt.freeCopies(freeCtx, run.source.Server().Address(), run.handle)
		// Another attempt begins anew, without the copy.
		rq.call, rq.moved.handle = call, ""
	}()
	var last *answer.Error
	if run.complete {
		result, er := gt.send(ctx, rq, run.destination)
		if result != notRun {
			gt.recordMove(rq, run, movedOver, nil)
			return run.destination, result, er
		}
		gt.logFailedAttempt(rq, run.destination, result, er)
		last = er
		go gt.freeCopies(freeCtx, run.destination.Server().Address(), run.handle)
	}
	result, er := gt.send(ctx, rq, run.source)
	if result != notRun {
		gt.recordMove(rq, run, movedBack, nil)
		return run.source, result, er
	}
	gt.recordMove(rq, run, moveLost, nil)
	if last == nil {
		last = er
	}
	return run.source, mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "stopped run not continued: %s; %s", last.Message(), er.Message())
}

// copySource returns where the server of a choice finds the copy of the run that it is to continue, or "".
func (rq *request) copySource() (address, handle string) {
	if rq.moved == nil || rq.moved.handle == "" {
		return "", ""
	}
	return rq.moved.source.Server().Address(), rq.moved.handle
}

// continuesAt reports whether the request is to continue its stopped run where it was stopped.
func (rq *request) continuesAt(ch pick.Choice) bool {
	return rq.moved != nil && rq.moved.handle != "" && rq.moved.source.Server() == ch.Server()
}

// freeCopies frees the copies with a handle, unless it is empty. A copy that was used is gone, so that errors mean nothing.
func (gt *Gate) freeCopies(parent context.Context, address, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(parent, freeTimeout)
	defer cancel()
	if err := gt.opts.Moves.Free(ctx, address, handle); err != nil {
		gt.log.WithError(err).WithField("address", address).Debug("cannot free the copy of a run")
	}
}

// recordMove counts a hand-over by its result, and logs it unless the destination has continued the stream.
func (gt *Gate) recordMove(rq *request, run movedRun, result string, err error) {
	gt.opts.Recorder.CountHandOver(result)
	if result == movedOver || result == moveEnded || !gt.moveFailures.allow(time.Now()) {
		return
	}
	log := gt.log.WithFields(logrus.Fields{"event": "hand_over_failed", "request_id": rq.info.RequestID, "result": result,
		"server": run.source.Server().ID(), "destination": run.destination.Server().ID()})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("stream not handed over")
}

// logLimit bounds the log entries of one kind.
type logLimit struct {
	mu       sync.Mutex
	beganAt  time.Time
	inPeriod int
}

// allow reports whether another entry may be written: at most failuresLogged in each failuresPeriod.
func (ll *logLimit) allow(now time.Time) bool {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	if now.Sub(ll.beganAt) >= failuresPeriod {
		ll.beganAt, ll.inPeriod = now, 0
	}
	ll.inPeriod++
	return ll.inPeriod <= failuresLogged
}

// errMoveUnknown means that a stream ended while it was unknown whether its run was stopped to be handed over.
var errMoveUnknown = errors.New("stream ended during a hand-over whose result is unknown")

// relayedAll handles the end of the stream of an attempt, with an error unless it looks complete. ended is false if the attempt ends as
// one without a hand-over.
func (at *attempt) relayedAll(requestCtx context.Context, resp *client.Response, err error) (result attemptResult, er *answer.Error, ended bool) {
	run, ok := at.handOver.streamEnded(requestCtx)
	if ok {
		// At most one hand-over of a request is tried, whatever became of it.
		at.rq.moved = &run
	}
	switch {
	case ok && run.handle != "":
		// The server has failed in nothing.
		at.pickAttempt.End(time.Now(), pick.Served)
		return stopped, nil, true
	case ok && run.unknown && err == nil && resp.Framing == whole.Connection:
		// The end of a stopped run looks like that of a complete one.
		result, er = at.endBroken(requestCtx, errMoveUnknown)
		return result, er, true
	}
	return 0, nil, false
}

// abandonMoved frees the copies of a stopped run that nobody continues.
func (gt *Gate) abandonMoved(ctx context.Context, rq *request) {
	run := *rq.moved
	gt.recordMove(rq, run, moveLost, nil)
	go gt.freeCopies(context.WithoutCancel(ctx), run.source.Server().Address(), run.handle)
}
