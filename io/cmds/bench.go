package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"

	"shallotcleat/core/bench"
)

const benchHelp = `Compares the placement policy with baselines in virtual time, on the same seeded
load, and prints a Markdown table for docs/POLICY.md. The same flags always
print the same figures.

Examples:
  shallotcleat bench --loads 50,70,85,95 --seeds 3
  shallotcleat bench --deployment hradek --condition hot-shift --plots docs/plots`

// benchCommand compares placement policies in simulations.
type benchCommand struct {
	Deployment string `long:"deployment" env:"SHALLOTCLEAT_DEPLOYMENT" description:"deployment to simulate; all if empty"`
	Condition  string `long:"condition" env:"SHALLOTCLEAT_CONDITION" description:"condition to simulate; all if empty"`
	Loads      string `long:"loads" env:"SHALLOTCLEAT_LOADS" description:"comma-separated loads in percent" default:"50,70,85,95"`
	Seeds      string `long:"seeds" env:"SHALLOTCLEAT_SEED_COUNT" description:"number of runs of each case, with seeds from 1" default:"3"`
	Length     string `long:"length" env:"SHALLOTCLEAT_LENGTH" description:"virtual duration of a run; the first minute is warm-up and not measured" default:"3m"`
	PlotDir    string `long:"plots" env:"SHALLOTCLEAT_PLOTS" description:"directory for one plot per deployment and condition; no plots if empty"`
}

// benchCase is one row of the table.
type benchCase struct {
	deployment bench.Deployment
	condition  bench.Condition
	policy     bench.Policy
	load       int
	result     bench.Result
}

func (cm *benchCommand) run(_ context.Context, out io.Writer) error {
	var vd validator
	seeds := vd.integer("seeds", cm.Seeds, 1, 100)
	length := vd.duration("length", cm.Length, 90*time.Second, time.Hour)
	loads := cm.parseLoads(&vd)
	deployments := selectByName(&vd, "deployment", cm.Deployment, bench.Deployments())
	conditions := selectByName(&vd, "condition", cm.Condition, bench.Conditions())
	if err := vd.err(); err != nil {
		return err
	}
	var cases []*benchCase
	for _, dep := range deployments {
		for _, cond := range conditions {
			for _, load := range loads {
				for _, pl := range bench.Policies() {
					cases = append(cases, &benchCase{deployment: dep, condition: cond, policy: pl, load: load})
				}
			}
		}
	}
	runCases(cases, seeds, length)
	printCases(out, cases)
	if cm.PlotDir == "" {
		return nil
	}
	return plotCases(cm.PlotDir, cases)
}

// parseLoads parses the comma-separated loads in percent.
func (cm *benchCommand) parseLoads(vd *validator) []int {
	var loads []int
	for _, text := range strings.Split(cm.Loads, ",") {
		loads = append(loads, vd.integer("loads", text, 1, 200))
	}
	return loads
}

// selectByName returns the item with the given name, or all items if the name is empty.
func selectByName[T interface{ Name() string }](vd *validator, flag, name string, items []T) []T {
	if name == "" {
		return items
	}
	names := make([]string, 0, len(items))
	for _, item := range items {
		if item.Name() == name {
			return []T{item}
		}
		names = append(names, item.Name())
	}
	vd.addProblem(flag, name, strings.Join(names, ", "))
	return nil
}

// runCases simulates all cases, at most maxConcurrentCases at once, and stores their results.
func runCases(cases []*benchCase, seeds int, length time.Duration) {
	workers := pool.New().WithMaxGoroutines(maxConcurrentCases)
	for _, bc := range cases {
		workers.Go(func() {
			results := make([]bench.Result, 0, seeds)
			for seed := range seeds {
				results = append(results, bench.Run(bench.Options{
					Deployment: bc.deployment,
					Condition:  bc.condition,
					Policy:     bc.policy,
					Load:       float64(bc.load) / 100,
					Seed:       uint64(seed + 1),
					Length:     length,
				}))
			}
			bc.result = bench.Merge(results)
		})
	}
	workers.Wait()
}

// maxConcurrentRuns is the maximum number of cases that are simulated concurrently.
const maxConcurrentCases = 8

func printCases(out io.Writer, cases []*benchCase) {
	_, _ = fmt.Fprintln(out, "| deployment | condition | load | policy | hit rate | bound | p50 s | p95 s | p99 s | checks p99 s | recomputed M tokens |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, bc := range cases {
		rs := bc.result
		_, _ = fmt.Fprintf(out, "| %s | %s | %d%% | %s | %.3f | %.3f | %s | %s | %s | %s | %.2f |\n",
			bc.deployment.Name(), bc.condition.Name(), bc.load, bc.policy, rs.HitRate(), rs.HitRateBound(),
			formatSeconds(rs.TimeToFirstToken(50)), formatSeconds(rs.TimeToFirstToken(95)), formatSeconds(rs.TimeToFirstToken(99)),
			formatSeconds(rs.ShortTimeToFirstToken(99)), float64(rs.RecomputedTokens())/1e6)
	}
}

func formatSeconds(value time.Duration) string {
	return strconv.FormatFloat(value.Seconds(), 'f', 2, 64)
}
