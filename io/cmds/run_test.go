package cmds

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"shallotcleat/io/local"
)

// try runs the program with arguments and returns its exit code and what it printed.
func runProgram(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	code = Run(args, &outBuf, &errBuf)
	return code, outBuf.String(), errBuf.String()
}

// All wrong settings are named at once, with their values and what is allowed.
func TestInvalidSettings(t *testing.T) {
	code, _, errOut := runProgram(t, "entry", "--zone", "Ruai", "--listen", "localhost", "--piece-tokens", "many", "--table", "ftp://x",
		"--balancer-lag", "2", "--log-level", "loud", "--seeds", "agent@1.2.3.4:5")
	if code != exitUsage {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{`--zone: "Ruai"`, `--listen: "localhost"`, `--piece-tokens: "many"`, `--table: "ftp://x"`,
		`--balancer-lag: "2"`, `--log-level: "loud"`, `--seeds: "agent@1.2.3.4:5"`} {
		if !strings.Contains(errOut, want+" is wrong; allowed: ") {
			t.Errorf("%s is not named in:\n%s", want, errOut)
		}
	}
}

// A setting that is missing is named beside those that are wrong.
func TestMissingSettings(t *testing.T) {
	code, _, errOut := runProgram(t, "agent", "--slots", "0", "--plain", "http://127.0.0.1:1")
	if code != exitUsage {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{`--zone: ""`, `--service: ""`, `--slots: "0"`} {
		if !strings.Contains(errOut, want+" is wrong; allowed: ") {
			t.Errorf("%s is not named in:\n%s", want, errOut)
		}
	}
	for _, command := range []string{"check", "apply", "preset", "status", "timeline", "server"} {
		if code, _, errOut := runProgram(t, command); code != exitUsage || !strings.Contains(errOut, "is wrong; allowed: ") {
			t.Errorf("%s: exit code %d, %q", command, code, errOut)
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

// An operator's day: check, dry run, apply, a preset, a server out and in.
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
		{append([]string{"preset", "--name", "peak"}, platformArgs...), exitFailure, "nothing is in force yet"},
		{append([]string{"apply", "--file", file, "--dry-run"}, platformArgs...), exitOK, "+ workspace mchanga"},
		{append([]string{"apply", "--file", file, "--preset", "no-such"}, platformArgs...), exitUsage, `"no-such" is wrong; allowed: the declared presets: ordinary peak`},
		{append([]string{"apply", "--file", file}, platformArgs...), exitOK, `epoch 1 is accepted: preset "ordinary"`},
		{append([]string{"apply", "--file", file, "--dry-run"}, platformArgs...), exitOK, "no difference"},
		{append([]string{"preset", "--name", "peak"}, platformArgs...), exitOK, `epoch 2 is accepted: preset "peak"`},
		{append([]string{"server", "--retire", "127.0.0.1:7001"}, tableArgs...), exitOK, "epoch 3 is accepted"},
		{append([]string{"server", "--add", "127.0.0.1:7001"}, tableArgs...), exitOK, "epoch 4 is accepted"},
		{append([]string{"server", "--add", "127.0.0.1:7001", "--zone", "ruai"}, tableArgs...), exitUsage, "--zone and --service together"},
	}
	for _, step := range steps {
		code, out, errOut := runProgram(t, step.args...)
		if code != step.code || !strings.Contains(out+errOut, step.want) {
			t.Errorf("%v: exit code %d, want %d with %q:\n%s%s", step.args, code, step.code, step.want, out, errOut)
		}
	}
}
