package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/io/logs"
	"shallotcleat/io/trace"
)

// memoryPart is the part of a process's memory that its heap may take before the collector works harder.
const memoryPart = 0.7

// routedFlags are the settings that gates and tenders have in common.
type routedFlags struct {
	Name     string `long:"name" env:"SHALLOTCLEAT_NAME" description:"name of this process in logs and orders"`
	Zone     string `long:"zone" env:"SHALLOTCLEAT_ZONE" description:"availability zone of this VM"`
	Store    string `long:"store" env:"SHALLOTCLEAT_STORE" description:"IP and port of the platform's store"`
	Gates    string `long:"gates" env:"SHALLOTCLEAT_GATES" description:"peer addresses of some gates, with commas between them"`
	Metrics  string `long:"metrics" env:"SHALLOTCLEAT_METRICS" description:"IP and port of the metrics; empty for none"`
	LogLevel string `long:"log-level" env:"SHALLOTCLEAT_LOG_LEVEL" description:"least level of log lines" default:"info"`
	Memory   string `long:"memory" env:"SHALLOTCLEAT_MEMORY" description:"memory of this process in MB" default:"512"`
}

// routed is what gates and tenders are made of.
type routed struct {
	rec     *trace.Recorder
	lines   *logs.Async
	gates   []string
	metrics string
}

// check checks the common settings.
func (rf *routedFlags) check(st *settings, role string) (*routed, error) {
	st.word("name", rf.Name)
	st.word("zone", rf.Zone)
	st.address("store", rf.Store)
	st.level("log-level", rf.LogLevel)
	memory := st.number("memory", rf.Memory, 16, 1<<20)
	rd := &routed{metrics: rf.Metrics}
	if rf.Metrics != "" {
		st.address("metrics", rf.Metrics)
	}
	for _, address := range strings.Split(rf.Gates, ",") {
		if address != "" {
			rd.gates = append(rd.gates, st.address("gates", address))
		}
	}
	if err := st.err(); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(memory) * (1 << 20)))
	rd.lines = logs.NewAsync(os.Stdout)
	lg, err := logs.New(rd.lines, rf.LogLevel, role+"/"+rf.Name)
	if err != nil {
		return nil, fmt.Errorf("set up logs: %w", err)
	}
	if rd.rec, err = trace.New(role+"/"+rf.Name, lg.WithField("zone", rf.Zone)); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return rd, nil
}

// serve runs a process beside its metrics until it ends.
func (rd *routed) serve(ctx context.Context, run func(context.Context) error) error {
	lg := rd.rec.Log()
	lg.WithField("event", string(trace.Started)).Info("process started")
	defer func() { <-rd.lines.Done() }()
	defer rd.lines.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { rd.noteReloads(ctx) })
	if rd.metrics != "" {
		lis, err := net.Listen("tcp", rd.metrics)
		if err != nil {
			return fmt.Errorf("listen for metrics: %w", err)
		}
		srv := &http.Server{Handler: rd.rec.Handler(), ReadHeaderTimeout: time.Second}
		wg.Go(func() { _ = srv.Serve(lis) })
		defer func() { _ = srv.Close() }()
	}
	err := run(ctx)
	lg.WithField("event", string(trace.Stopped)).WithField("lines_dropped", rd.lines.Dropped()).Info("process stopped")
	return err
}

// noteReloads logs that settings changed: they are read at the start of a process only.
func (rd *routed) noteReloads(ctx context.Context) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			rd.rec.Log().WithField("event", "reload").Info("settings are read at the next start; requests go on")
		}
	}
}
