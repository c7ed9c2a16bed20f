package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"

	"shallotcleat/core/trial"
)

const benchHelp = `Compares placement with its baselines in virtual time, on the same seeded load, and prints a table for
docs/POLICY.md. The same settings print the same figures.

Examples:
  shallotcleat bench --loads 50,70,85,95 --seeds 3
  shallotcleat bench --deployment hradek --condition hot-shift --plots docs/plots`

// benchCommand holds the settings of the comparison.
type benchCommand struct {
	Deployment string `long:"deployment" env:"SHALLOTCLEAT_DEPLOYMENT" description:"one deployment; without it all"`
	Condition  string `long:"condition" env:"SHALLOTCLEAT_CONDITION" description:"one condition; without it all"`
	Loads      string `long:"loads" env:"SHALLOTCLEAT_LOADS" description:"loads in percent, with commas between them" default:"50,70,85,95"`
	Seeds      string `long:"seeds" env:"SHALLOTCLEAT_SEED_COUNT" description:"runs of each case, with seeds from 1 on" default:"3"`
	Length     string `long:"length" env:"SHALLOTCLEAT_LENGTH" description:"virtual length of a run; the first minute is not measured" default:"3m"`
	Plots      string `long:"plots" env:"SHALLOTCLEAT_PLOTS" description:"folder for one plot of each deployment and condition"`
}

// benchCase is one row of the table.
type benchCase struct {
	deployment trial.Deployment
	condition  trial.Condition
	policy     trial.Policy
	load       int
	result     trial.Result
}

func (cm *benchCommand) run(_ context.Context, out io.Writer) error {
	var st settings
	seeds := st.number("seeds", cm.Seeds, 1, 100)
	length := st.duration("length", cm.Length, 90*time.Second, time.Hour)
	loads := cm.loads(&st)
	deployments := choose(&st, "deployment", cm.Deployment, trial.Deployments())
	conditions := choose(&st, "condition", cm.Condition, trial.Conditions())
	if err := st.err(); err != nil {
		return err
	}
	var cases []*benchCase
	for _, dep := range deployments {
		for _, cond := range conditions {
			for _, load := range loads {
				for _, pl := range trial.Policies() {
					cases = append(cases, &benchCase{deployment: dep, condition: cond, policy: pl, load: load})
				}
			}
		}
	}
	runCases(cases, seeds, length)
	printCases(out, cases)
	if cm.Plots == "" {
		return nil
	}
	return drawCases(cm.Plots, cases)
}

func (cm *benchCommand) loads(st *settings) []int {
	var loads []int
	for _, text := range strings.Split(cm.Loads, ",") {
		loads = append(loads, st.number("loads", text, 1, 200))
	}
	return loads
}

// choose returns the item with a name, or all items if the name is empty.
func choose[T interface{ Name() string }](st *settings, flag, name string, items []T) []T {
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
	st.wrong(flag, name, strings.Join(names, ", "))
	return nil
}

// runCases plays all cases, as many at once as there are processors.
func runCases(cases []*benchCase, seeds int, length time.Duration) {
	workers := pool.New().WithMaxGoroutines(benchWorkers)
	for _, bc := range cases {
		workers.Go(func() {
			results := make([]trial.Result, 0, seeds)
			for seed := range seeds {
				results = append(results, trial.Run(trial.Options{
					Deployment: bc.deployment,
					Condition:  bc.condition,
					Policy:     bc.policy,
					Load:       float64(bc.load) / 100,
					Seed:       uint64(seed + 1),
					Length:     length,
				}))
			}
			bc.result = trial.Merge(results)
		})
	}
	workers.Wait()
}

// benchWorkers bounds the runs at once.
const benchWorkers = 8

func printCases(out io.Writer, cases []*benchCase) {
	_, _ = fmt.Fprintln(out, "| deployment | condition | load | policy | hit rate | bound | p50 s | p95 s | p99 s | checks p99 s | recomputed M tokens |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, bc := range cases {
		rs := bc.result
		_, _ = fmt.Fprintf(out, "| %s | %s | %d%% | %s | %.3f | %.3f | %s | %s | %s | %s | %.2f |\n",
			bc.deployment.Name(), bc.condition.Name(), bc.load, bc.policy, rs.HitRate(), rs.BoundRate(),
			inSeconds(rs.FirstToken(50)), inSeconds(rs.FirstToken(95)), inSeconds(rs.FirstToken(99)),
			inSeconds(rs.CheckFirstToken(99)), float64(rs.Recomputed())/1e6)
	}
}

func inSeconds(value time.Duration) string { return strconv.FormatFloat(value.Seconds(), 'f', 2, 64) }
