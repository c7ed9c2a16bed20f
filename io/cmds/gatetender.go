package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/io/signal"
	"shallotcleat/io/trace"
)

// memoryLimitFraction is the soft memory limit of the Go runtime, beyond which it collects garbage more often, as a fraction
// of the process's memory.
const memoryLimitFraction = 0.7

// bytesPerMegabyte converts the process's memory in MB.
const bytesPerMegabyte = 1_000_000

// gateTenderFlags are the common flags of gates and tenders.
type gateTenderFlags struct {
	Name     string `long:"name" env:"SHALLOTCLEAT_NAME" description:"name of this process in logs and load orders"`
	Zone     string `long:"zone" env:"SHALLOTCLEAT_ZONE" description:"availability zone of this VM"`
	Store    string `long:"store" env:"SHALLOTCLEAT_STORE" description:"IP address and port of the platform's store"`
	Gates    string `long:"gates" env:"SHALLOTCLEAT_GATES" description:"comma-separated peer addresses of gates, used in addition to those in the nodes table"`
	Metrics  string `long:"metrics" env:"SHALLOTCLEAT_METRICS" description:"IP address and port of the metrics endpoint; none if empty"`
	LogLevel string `long:"log-level" env:"SHALLOTCLEAT_LOG_LEVEL" description:"minimum level of log lines" default:"info"`
	Memory   string `long:"memory" env:"SHALLOTCLEAT_MEMORY" description:"memory available to this process in MB of 1,000,000 bytes" default:"512"`
}

// gateTenderDeps are the common dependencies of gates and tenders.
type gateTenderDeps struct {
	*roleLog
	seedGates      []string
	metricsAddress string
	memoryBytes    int64
}

// dependencies validates the common flags, sets the memory limit and creates the dependencies, or returns a *SettingsError
// with all problems found so far. The name of the process in logs and events is role/name.
func (gtf *gateTenderFlags) dependencies(vd *validator, role string) (*gateTenderDeps, error) {
	vd.name("name", gtf.Name)
	vd.name("zone", gtf.Zone)
	vd.address("store", gtf.Store)
	vd.logLevel("log-level", gtf.LogLevel)
	memory := vd.integer("memory", gtf.Memory, 16, 1<<20)
	gtd := &gateTenderDeps{metricsAddress: gtf.Metrics, memoryBytes: int64(memory) * bytesPerMegabyte}
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
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory) * bytesPerMegabyte))
	var err error
	gtd.roleLog, err = newRoleLog(os.Stdout, gtf.LogLevel, role+"/"+gtf.Name, gtf.Zone)
	if err != nil {
		return nil, err
	}
	return gtd, nil
}

// serve runs the process together with its metrics endpoint until run returns, then flushes the log.
func (gtd *gateTenderDeps) serve(ctx context.Context, ct *signal.Control, run func(context.Context) error) error {
	return gtd.roleLog.serve(ctx, ct, func(ctx context.Context) error { return gtd.serveMetrics(ctx, run) })
}

func (gtd *gateTenderDeps) serveMetrics(ctx context.Context, run func(context.Context) error) error {
	lg := gtd.recorder.Log()
	lg.WithField("event", string(trace.ProcessStarted)).Info("process started")
	var wg conc.WaitGroup
	defer wg.Wait()
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
