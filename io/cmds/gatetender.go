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
const memoryLimitFraction = 0.7

// routedFlags are the settings that gates and tenders have in common.
type gateTenderFlags struct {
	Name     string `long:"name" env:"SHALLOTCLEAT_NAME" description:"name of this process in logs and orders"`
	Zone     string `long:"zone" env:"SHALLOTCLEAT_ZONE" description:"availability zone of this VM"`
	Store    string `long:"store" env:"SHALLOTCLEAT_STORE" description:"IP and port of the platform's store"`
	Gates    string `long:"gates" env:"SHALLOTCLEAT_GATES" description:"peer addresses of some gates, with commas between them"`
	Metrics  string `long:"metrics" env:"SHALLOTCLEAT_METRICS" description:"IP and port of the metrics; empty for none"`
	LogLevel string `long:"log-level" env:"SHALLOTCLEAT_LOG_LEVEL" description:"least level of log lines" default:"info"`
	Memory   string `long:"memory" env:"SHALLOTCLEAT_MEMORY" description:"memory of this process in MB" default:"512"`
}

// routed is what gates and tenders are made of.
type gateTenderDeps struct {
	recorder       *trace.Recorder
	logWriter      *logs.AsyncWriter
	seedGates      []string
	metricsAddress string
}

// check checks the common settings.
func (gtf *gateTenderFlags) dependencies(vd *validator, role string) (*gateTenderDeps, error) {
	vd.name("name", gtf.Name)
	vd.name("zone", gtf.Zone)
	vd.address("store", gtf.Store)
	vd.logLevel("log-level", gtf.LogLevel)
	memory := vd.integer("memory", gtf.Memory, 16, 1<<20)
	gtd := &gateTenderDeps{metricsAddress: gtf.Metrics}
	if gtf.Metrics != "" {
		vd.address("metrics", gtf.Metrics)
	}
	for _, address := range strings.Split(gtf.Gates, ",") {
		if address != "" {
			gtd.seedGates = append(gtd.seedGates, vd.address("gates", address))
		}
	}
	if err := vd.err(); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory) * (1 << 20)))
	gtd.logWriter = logs.NewAsyncWriter(os.Stdout)
	lg, err := logs.New(gtd.logWriter, gtf.LogLevel, role+"/"+gtf.Name)
	if err != nil {
		return nil, fmt.Errorf("set up logs: %w", err)
	}
	if gtd.recorder, err = trace.New(role+"/"+gtf.Name, lg.WithField("zone", gtf.Zone)); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return gtd, nil
}

// serve runs a process beside its metrics until it ends.
func (gtd *gateTenderDeps) serve(ctx context.Context, run func(context.Context) error) error {
	lg := gtd.recorder.Log()
	lg.WithField("event", string(trace.ProcessStarted)).Info("process started")
	defer func() { <-gtd.logWriter.Done() }()
	defer gtd.logWriter.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { gtd.logReloads(ctx) })
	if gtd.metricsAddress != "" {
		lis, err := net.Listen("tcp", gtd.metricsAddress)
		if err != nil {
			return fmt.Errorf("listen for metrics: %w", err)
		}
		srv := &http.Server{Handler: gtd.recorder.Handler(), ReadHeaderTimeout: time.Second}
		wg.Go(func() { _ = srv.Serve(lis) })
		defer func() { _ = srv.Close() }()
	}
	err := run(ctx)
	lg.WithField("event", string(trace.ProcessStopped)).WithField("lines_dropped", gtd.logWriter.DroppedCount()).Info("process stopped")
	return err
}

// noteReloads logs that settings changed: they are read at the start of a process only.
func (gtd *gateTenderDeps) logReloads(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			gtd.recorder.Log().WithField("event", "reload").Info("settings are read at the next start; requests go on")
		}
	}
}
