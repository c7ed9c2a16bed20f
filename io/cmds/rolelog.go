package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"shallotcleat/io/logs"
	"shallotcleat/io/signal"
	"shallotcleat/io/trace"
)

// flushTimeout bounds how long a process that has stopped waits until its log is written: its reader may be gone or stuck.
const flushTimeout = 300 * time.Millisecond

// roleLog is the log and the recorder of a serving process.
type roleLog struct {
	logWriter *logs.AsyncWriter
	recorder  *trace.Recorder
}

// newRoleLog returns the log of the process with a name, which is written to out.
func newRoleLog(out io.Writer, level, process, zone string) (*roleLog, error) {
	rl := &roleLog{logWriter: logs.NewAsyncWriter(out)}
	lg, err := logs.New(rl.logWriter, level, process)
	if err != nil {
		return nil, fmt.Errorf("set up logs: %w", err)
	}
	if rl.recorder, err = trace.New(process, lg.WithField("zone", zone)); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	if err := rl.recorder.ObserveDroppedLines(rl.logWriter.DroppedCount); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return rl, nil
}

// serve runs a process, logs and counts the signals that it receives, and flushes the log at the end.
func (rl *roleLog) serve(ctx context.Context, ct *signal.Control, run func(context.Context) error) error {
	defer rl.logWriter.Flush(flushTimeout)
	ct.Subscribe(rl.reportSignal)
	return run(ctx)
}

// reportSignal logs and counts a signal.
func (rl *roleLog) reportSignal(rp signal.Report) {
	name := rp.Signal().String()
	rl.recorder.CountSignal(name)
	lg := rl.recorder.Log().WithField("event", "signal").WithField("signal", name)
	if rp.BeginsStop() {
		lg.Info("the signal begins the graceful stop")
		return
	}
	lg.Info("the signal changes nothing: settings are read at the start only, and a stop that has begun goes on; requests continue")
}
