package cmds

import (
	"bytes"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"

	"shallotcleat/core/config"
	"shallotcleat/io/local"
	"shallotcleat/io/object"
	"shallotcleat/io/rows"
	"shallotcleat/io/signal"
	"shallotcleat/io/table"
	"shallotcleat/io/watch"
)

// runProgram runs the program in this process and returns its exit code and output.
func runProgram(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	code = Run(args, &outBuf, &errBuf)
	return code, outBuf.String(), errBuf.String()
}

// One error lists all invalid settings with their values and the valid values.
func TestInvalidSettings(t *testing.T) {
	code, _, errOut := runProgram(t, "entry", "--zone", "Ruai", "--listen", "localhost", "--piece-tokens", "many", "--table", "ftp://x",
		"--balancer-lag", "2", "--log-level", "loud", "--seeds", "agent@1.2.3.4:5")
	if code != exitUsage {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{`--zone: invalid value "Ruai"`, `--listen: invalid value "localhost"`,
		`--piece-tokens: invalid value "many"`, `--table: invalid value "ftp://x"`, `--balancer-lag: invalid value "2"`,
		`--log-level: invalid value "loud"`, `--seeds: invalid value "agent@1.2.3.4:5"`} {
		if !strings.Contains(errOut, want+"; want ") {
			t.Errorf("no problem %s in:\n%s", want, errOut)
		}
	}
}

// Missing required settings are listed together with invalid ones.
func TestMissingSettings(t *testing.T) {
	code, _, errOut := runProgram(t, "agent", "--slots", "0", "--plain", "http://127.0.0.1:1")
	if code != exitUsage {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{`--zone: invalid value ""`, `--service: invalid value ""`, `--slots: invalid value "0"`} {
		if !strings.Contains(errOut, want+"; want ") {
			t.Errorf("no problem %s in:\n%s", want, errOut)
		}
	}
	for _, command := range []string{"check", "apply", "preset", "status", "timeline", "server"} {
		if code, _, errOut := runProgram(t, command); code != exitUsage || !strings.Contains(errOut, `: invalid value ""; want `) {
			t.Errorf("%s: exit code %d, error output %q", command, code, errOut)
		}
	}
}

func TestAgentRequiresOneServer(t *testing.T) {
	code, _, errOut := runProgram(t, "agent", "--zone", "ruai", "--service", "stock")
	if code != exitUsage || !strings.Contains(errOut, "exactly one of --model and --plain") {
		t.Errorf("exit code %d: %s", code, errOut)
	}
}

func TestHelpHasExamples(t *testing.T) {
	for _, sc := range subcommands() {
		code, out, _ := runProgram(t, sc.name, "--help")
		if code != exitOK || !strings.Contains(out, "shallotcleat "+sc.name) || !strings.Contains(out, "Example") {
			t.Errorf("%s --help: exit code %d:\n%s", sc.name, code, out)
		}
	}
}

func TestUnknownCommandAndFlag(t *testing.T) {
	for _, args := range [][]string{{"entri"}, {"check", "--fiel", "x"}, {}, {"preset", "peak"}} {
		if code, _, errOut := runProgram(t, args...); code != exitUsage || errOut == "" {
			t.Errorf("%v: exit code %d, %q", args, code, errOut)
		}
	}
}

func TestDemo(t *testing.T) {
	if code, out, errOut := runProgram(t, "demo"); code != exitOK {
		t.Errorf("exit code %d:\n%s%s", code, out, errOut)
	}
}

// Runs the operator commands in sequence: check, dry run, apply, switch the preset, retire and reinstate a server. The
// sequence includes commands that must fail.
func TestOperatorCommands(t *testing.T) {
	pf, err := local.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer pf.Close()
	file := filepath.Join("demo.yaml")
	platformArgs := []string{"--table", pf.TableURL(), "--objects", pf.ObjectsURL()}
	tableArgs := platformArgs[:2]
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", "--file", file}, exitOK, "2 workspaces, 2 services, 2 presets"},
		{append([]string{"preset", "--name", "peak"}, platformArgs...), exitFailure, "no configuration in force"},
		{append([]string{"apply", "--file", file, "--dry-run"}, platformArgs...), exitOK, "+ workspace mchanga"},
		{append([]string{"apply", "--file", file, "--preset", "no-such"}, platformArgs...), exitUsage,
			`--preset: invalid value "no-such"; want one of the declared presets: ordinary peak`},
		{append([]string{"apply", "--file", file}, platformArgs...), exitOK, `epoch 1 accepted: preset "ordinary"`},
		{append([]string{"apply", "--file", file, "--dry-run"}, platformArgs...), exitOK, "no difference"},
		{append([]string{"preset", "--name", "no-such"}, platformArgs...), exitUsage,
			`--name: invalid value "no-such"; want one of the declared presets: ordinary peak`},
		{append([]string{"preset", "--name", "peak"}, platformArgs...), exitOK, `epoch 2 accepted: preset "peak"`},
		{append([]string{"server", "--retire", "127.0.0.1:7001"}, tableArgs...), exitOK, "epoch 3 accepted"},
		{append([]string{"server", "--add", "127.0.0.1:7001"}, tableArgs...), exitOK, "epoch 4 accepted"},
		{append([]string{"server", "--add", "127.0.0.1:7001", "--zone", "ruai"}, tableArgs...), exitUsage, "--zone and --service together"},
	}
	for _, step := range steps {
		code, out, errOut := runProgram(t, step.args...)
		if code != step.code || !strings.Contains(out+errOut, step.want) {
			t.Errorf("%v: exit code %d, want %d with %q:\n%s%s", step.args, code, step.code, step.want, out, errOut)
		}
	}
}

// An order whose row cannot be read is reported with the cause.
func TestOrderCannotBeRead(t *testing.T) {
	pf, err := local.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer pf.Close()
	write := []table.Write{{Key: rows.Key("mchanga", "broken"), Value: []byte("{")}}
	if _, err := table.NewHTTP(pf.TableURL()).Commit(t.Context(), write); err != nil {
		t.Fatal(err)
	}
	args := []string{"timeline", "--charge", "--admin", "127.0.0.1:1", "--table", pf.TableURL(), "--objects", pf.ObjectsURL(), "--order"}
	if code, _, errOut := runProgram(t, append(args, "mchanga/broken")...); code != exitFailure || !strings.Contains(errOut, "decode order row: unexpected end") {
		t.Errorf("malformed row: exit code %d: %s", code, errOut)
	}
	pf.Table().SetDown(true)
	if code, _, errOut := runProgram(t, append(args, "mchanga/any")...); code != exitFailure || !strings.Contains(errOut, "503") {
		t.Errorf("table down: exit code %d: %s", code, errOut)
	}
}

// If the declaration in force is invalid, another one can be applied, and the difference says why the former is not compared.
func TestApplyOverInvalidDeclaration(t *testing.T) {
	pf, err := local.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer pf.Close()
	hash, err := watch.StoreDeclaration(t.Context(), object.NewHTTP(pf.ObjectsURL()), []byte("presets: []\n"))
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.ReplaceHead(t.Context(), table.NewHTTP(pf.TableURL()), 0, config.NewHead(1, hash, "ordinary", "test")); err != nil {
		t.Fatal(err)
	}
	code, out, errOut := runProgram(t, "apply", "--file", "demo.yaml", "--table", pf.TableURL(), "--objects", pf.ObjectsURL())
	if code != exitOK || !strings.Contains(out, "! declaration in force:1: presets: at least one preset is required") ||
		!strings.Contains(out, "epoch 2 accepted") {
		t.Errorf("exit code %d:\n%s%s", code, out, errOut)
	}
}

// The memory of a process is given in MB, not in MiB, as the platform counts it.
func TestMemoryLimitIsInMegabytes(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	gtf := gateTenderFlags{Name: "g1", Zone: "ruai", Store: "127.0.0.1:1", LogLevel: "info", Memory: "1000"}
	gtd, err := gtf.dependencies(&validator{}, "gate")
	if err != nil {
		t.Fatal(err)
	}
	gtd.logWriter.Close()
	if got := debug.SetMemoryLimit(-1); got != 700_000_000 {
		t.Errorf("soft limit of %d bytes for 1000 MB, want 700 MB", got)
	}
}

// Guards against a role that package signal does not know: it would catch its signals late, or a tool would outlive its terminal.
func TestRolesAreServing(t *testing.T) {
	for _, sc := range subcommands() {
		if _, isRole := sc.command.(role); isRole != signal.IsServing(sc.name) {
			t.Errorf("%s is a role: %t, but counts as serving: %t", sc.name, isRole, signal.IsServing(sc.name))
		}
		if _, isTool := sc.command.(tool); !isTool && !signal.IsServing(sc.name) {
			t.Errorf("%s is neither a role nor a tool", sc.name)
		}
	}
}
