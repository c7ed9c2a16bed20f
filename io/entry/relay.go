package entry

import (
	"context"
	"strconv"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// maxResumes bounds the attempts of one relay to resume its stream after the connection to the agent was lost.
const maxResumes = 3

// frameStream is the receiving side of the streaming methods Submit and Resume.
type frameStream interface {
	Recv() (*wire.Frame, error)
	Close() error
}

// relay relays the frames of one agent's stream to the caller, each once and in order.
type relay struct {
	entry   *Entry
	call    *modelCall
	address string
	// watchdog cancels the attempt unless the first frame stops it; it is nil for a resumed stream.
	watchdog *time.Timer

	incarnation uint64
	streamID    string
	// lastSeq is the sequence number of the last frame received.
	lastSeq uint64
	// skipThrough is the sequence number of the last frame that the caller already has.
	skipThrough uint64
	// eventIDPrefix is the common prefix of the stream's event ids.
	eventIDPrefix string
	resumes       int
	// lastErr is the error of the last connection that was lost or could not be resumed.
	lastErr error
}

// run relays frames until the stream ends. If the connection is lost, it resumes the stream at the same agent.
func (rl *relay) run(ctx context.Context, stream frameStream) (attemptResult, *answer.Error) {
	for {
		result, er, lost := rl.receive(stream)
		_ = stream.Close()
		if !lost {
			return result, er
		}
		var ok bool
		if stream, ok = rl.resume(ctx); !ok {
			return rl.endUnreachable(ctx)
		}
	}
}

// endUnreachable returns the result of a relay whose agent no longer replies.
func (rl *relay) endUnreachable(ctx context.Context) (attemptResult, *answer.Error) {
	result, er := rl.entry.endUnreachable(ctx, rl.address, rl.lastErr)
	if rl.streamID == "" {
		return result, er
	}
	return attemptIncomplete, answer.NewError(answer.StreamBroken, answer.Unknown, defaultRetryAfter, "%s", er.Message())
}

// receive relays frames until the stream ends or the connection is lost.
func (rl *relay) receive(stream frameStream) (result attemptResult, er *answer.Error, lost bool) {
	for {
		fr, err := stream.Recv()
		if err != nil {
			rl.lastErr = err
			return 0, nil, true
		}
		if rl.watchdog != nil {
			rl.watchdog.Stop()
		}
		rl.entry.recordStatus(rl.address, fr.GetStatus())
		if fr.GetSeq() > 0 {
			if fr.GetSeq() != rl.lastSeq+1 {
				return attemptIncomplete, answer.NewError(answer.StreamBroken, answer.Unknown, defaultRetryAfter,
					"received frame %d after frame %d", fr.GetSeq(), rl.lastSeq), false
			}
			rl.lastSeq = fr.GetSeq()
		}
		if frameResult, er, ended := rl.handleFrame(fr); ended {
			return frameResult, er, false
		}
	}
}

// handleFrame handles one frame and reports whether it ends the stream.
func (rl *relay) handleFrame(fr *wire.Frame) (attemptResult, *answer.Error, bool) {
	switch kind := fr.GetKind().(type) {
	case *wire.Frame_Accepted:
		rl.streamID = kind.Accepted.GetStreamId()
		rl.incarnation = fr.GetStatus().GetIncarnation()
		rl.call.recordAccepted(kind.Accepted, rl.address, fr.GetStatus())
	case *wire.Frame_Refused:
		return attemptRefused, kind.Refused.ToError(), true
	case *wire.Frame_Chunk:
		if er := rl.relayChunk(kind.Chunk); er != nil {
			return attemptFinal, er, true
		}
	case *wire.Frame_Failed:
		er := kind.Failed.ToError()
		return rl.failureResult(er), er, true
	case *wire.Frame_End:
		rl.finish(fr.GetStatus(), kind.End)
		return attemptDone, nil, true
	}
	return 0, nil, false
}

// failureResult returns the result for a failure that the agent reported. It records a failure of the agent unless the cause is the
// request itself or its deadline.
func (rl *relay) failureResult(er *answer.Error) attemptResult {
	if er.Code() == answer.BadRequest || er.Code() == answer.DeadlineExceeded {
		return attemptFinal
	}
	rl.entry.board.Members().RecordFailure(time.Now(), rl.address)
	return attemptIncomplete
}

// relayChunk relays one event of the engine, unless the caller already has it. It fails if there is no memory for its text.
func (rl *relay) relayChunk(ck *wire.Chunk) *answer.Error {
	call := rl.call
	if ck.GetText() != "" {
		if err := call.claimText(len(ck.GetText())); err != nil {
			return answer.NewError(answer.ServerFailed, answer.Unknown, 0, "text after %d bytes: %v", call.relayedText.Len(), err)
		}
		if call.relayedTokens == 0 && rl.skipThrough == 0 {
			rl.entry.rec.RecordFirstToken(time.Since(call.rq.receivedAt))
		}
		call.relayedText.WriteString(ck.GetText())
		call.relayedTokens++
	} else {
		call.lastData = ck.GetData()
	}
	if rl.lastSeq > rl.skipThrough {
		call.response.writeChunk(rl.eventID(), ck)
	}
	return nil
}

// eventID returns the event id of the last received frame, with which the caller can resume the stream.
func (rl *relay) eventID() string {
	if rl.eventIDPrefix == "" {
		rl.eventIDPrefix = resumeToken{Agent: rl.address, Incarnation: rl.incarnation, Stream: rl.streamID}.prefix()
	}
	return rl.eventIDPrefix + strconv.FormatUint(rl.lastSeq, 10)
}

func (rl *relay) finish(status *wire.Status, end *wire.End) {
	us := end.GetUsage()
	call := rl.call
	call.usageRecord.Prompt, call.usageRecord.Cached = us.GetPromptTokens(), us.GetCachedTokens()
	rl.entry.chooser.RecordCached(time.Now(), call.placement, rl.address, status.GetEngine())
	rl.entry.rec.CountTokens(us.GetPromptTokens(), us.GetCachedTokens())
	call.response.finish(newUsageJSON(us))
}

// resume requests the frames after the last received one from the same agent.
func (rl *relay) resume(ctx context.Context) (frameStream, bool) {
	if rl.streamID == "" || ctx.Err() != nil {
		return nil, false
	}
	for rl.resumes < maxResumes {
		rl.resumes++
		stream, err := rl.entry.pool.Agent(rl.address).Resume(ctx, &wire.ResumeRequest{
			Context:     rl.entry.wireContext(rl.call.rq),
			Incarnation: rl.incarnation,
			StreamId:    rl.streamID,
			FromSeq:     rl.lastSeq,
		})
		if err == nil {
			rl.entry.rec.RecordEvent(rl.call.rq.id, trace.StreamResumed, "agent", rl.address, "from", itoa(int(rl.lastSeq)))
			return stream, true
		}
		rl.lastErr = err
	}
	return nil, false
}
