package entry

import (
	"context"
	"strconv"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// maxResumes bounds the times that one relay picks up its stream after the link to the agent was lost.
const maxResumes = 3

// frames is the receiving side of Submit and Resume.
type frames interface {
	Recv() (*wire.Frame, error)
	Close() error
}

// relay passes the frames of one agent's stream to the caller, each once and in order.
type relay struct {
	entry   *Entry
	call    *modelCall
	address string
	// silence ends the relay unless it is stopped by the first frame; it is nil for a resumed stream.
	silence *time.Timer

	incarnation uint64
	streamID    string
	// seq is the number of the last frame that was received.
	seq uint64
	// skip is the number of the last frame that the caller has already.
	skip uint64
	// idPrefix is the part of the events' ids that all events of the stream share.
	idPrefix string
	resumes  int
	// lastErr is why the link was lost.
	lastErr error
}

// run relays until the stream has ended. When the link is lost it resumes at the same agent.
func (rl *relay) run(ctx context.Context, in frames) (verdict, *answer.Error) {
	for {
		vd, er, lost := rl.receive(in)
		_ = in.Close()
		if !lost {
			return vd, er
		}
		var ok bool
		if in, ok = rl.resume(ctx); !ok {
			return rl.unreached(ctx)
		}
	}
}

// unreached ends a relay whose agent does not answer any more.
func (rl *relay) unreached(ctx context.Context) (verdict, *answer.Error) {
	vd, er := rl.entry.unreached(ctx, rl.address, rl.lastErr)
	if rl.streamID == "" {
		return vd, er
	}
	return tryBroken, answer.NewError(answer.StreamBroken, answer.Unknown, refusedRetryAfter, "%s", er.Message())
}

// receive relays frames until the stream ends or the link is lost.
func (rl *relay) receive(in frames) (vd verdict, er *answer.Error, lost bool) {
	for {
		fr, err := in.Recv()
		if err != nil {
			rl.lastErr = err
			return 0, nil, true
		}
		if rl.silence != nil {
			rl.silence.Stop()
		}
		rl.entry.heard(rl.address, fr.GetStatus())
		if fr.GetSeq() > 0 {
			if fr.GetSeq() != rl.seq+1 {
				return tryBroken, answer.NewError(answer.StreamBroken, answer.Unknown, refusedRetryAfter,
					"frame %d came after frame %d", fr.GetSeq(), rl.seq), false
			}
			rl.seq = fr.GetSeq()
		}
		if vd, er, ended := rl.take(fr); ended {
			return vd, er, false
		}
	}
}

// take handles one frame and reports whether the stream has ended.
func (rl *relay) take(fr *wire.Frame) (verdict, *answer.Error, bool) {
	switch kind := fr.GetKind().(type) {
	case *wire.Frame_Accepted:
		rl.streamID = kind.Accepted.GetStreamId()
		rl.incarnation = fr.GetStatus().GetIncarnation()
		rl.call.chargeTo(kind.Accepted, rl.address, fr.GetStatus())
	case *wire.Frame_Refused:
		return tryRefused, kind.Refused.ToError(), true
	case *wire.Frame_Chunk:
		rl.chunk(kind.Chunk)
	case *wire.Frame_Failed:
		er := kind.Failed.ToError()
		return rl.failed(er), er, true
	case *wire.Frame_End:
		rl.end(fr.GetStatus(), kind.End)
		return tryDone, nil, true
	}
	return 0, nil, false
}

func (rl *relay) failed(er *answer.Error) verdict {
	if er.Code() == answer.BadRequest || er.Code() == answer.DeadlineExceeded {
		return tryFinal
	}
	rl.entry.board.Members().RecordFailure(time.Now(), rl.address)
	return tryBroken
}

// chunk passes one event of the engine on, unless the caller has it already.
func (rl *relay) chunk(ck *wire.Chunk) {
	call := rl.call
	if ck.GetText() != "" {
		if call.tokens == 0 && rl.skip == 0 {
			rl.entry.rec.RecordFirstToken(time.Since(call.rq.arrived))
		}
		call.sent.WriteString(ck.GetText())
		call.tokens++
	}
	if rl.seq > rl.skip {
		call.out.chunk(rl.eventID(), ck)
	}
}

// eventID returns the id of the event that came last, by which the caller can resume.
func (rl *relay) eventID() string {
	if rl.idPrefix == "" {
		rl.idPrefix = resumeToken{Agent: rl.address, Incarnation: rl.incarnation, Stream: rl.streamID}.prefix()
	}
	return rl.idPrefix + strconv.FormatUint(rl.seq, 10)
}

func (rl *relay) end(status *wire.Status, end *wire.End) {
	us := end.GetUsage()
	call := rl.call
	call.charge.Prompt, call.charge.Cached = us.GetPromptTokens(), us.GetCachedTokens()
	rl.entry.chooser.RecordCached(time.Now(), call.place, rl.address, status.GetEngine())
	rl.entry.rec.CountTokens(us.GetPromptTokens(), us.GetCachedTokens())
	call.out.end(us)
}

// resume asks the agent for the frames after the last one that was received.
func (rl *relay) resume(ctx context.Context) (frames, bool) {
	if rl.streamID == "" || ctx.Err() != nil {
		return nil, false
	}
	for rl.resumes < maxResumes {
		rl.resumes++
		in, err := rl.entry.pool.Agent(rl.address).Resume(ctx, &wire.ResumeRequest{
			Context:     rl.entry.contextOf(rl.call.rq),
			Incarnation: rl.incarnation,
			StreamId:    rl.streamID,
			FromSeq:     rl.seq,
		})
		if err == nil {
			rl.entry.rec.RecordEvent(rl.call.rq.id, trace.StreamResumed, "agent", rl.address, "from", itoa(int(rl.seq)))
			return in, true
		}
		rl.lastErr = err
	}
	return nil, false
}
