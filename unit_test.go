package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The tests listed in KNOWN-RED.txt, and no others, are skipped; entries that name no test fail the run.
func TestUnitScriptSkipsListedTestsOnly(t *testing.T) {
	const passing, failing = `func TestPass(*testing.T) {}`, `func TestFail(t *testing.T) { t.Run("a", func(t *testing.T) { t.Fail() }); t.Run("b", func(*testing.T) {}) }`
	tests := []struct {
		name, list string
		wantPass   bool
		wantOutput string
	}{
		{"no list", "", false, "--- FAIL: TestFail/a"},
		{"listed", "test: . TestFail/a\n\tseen once\n", true, "ok  \texample"},
		{"prefix of a name", "test: . TestFai\n", false, "no test TestFai in ."},
		{"prefix of a case", "test: . TestFail/\n", false, "--- FAIL: TestFail/a"},
		{"other case", "test: . TestFail/b\n", false, "--- FAIL: TestFail/a"},
		{"other test", "test: . TestPass\n", false, "--- FAIL: TestFail/a"},
		{"no such test", "test: . TestFail\ntest: . TestGone\n", false, "no test TestGone in ."},
		{"no package", "test: TestFail\n", false, `want "test: PACKAGE NAME"`},
		{"no entry", "TestFail\n", false, "no entry"},
	}
	script, err := filepath.Abs(".ci/unit")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			files := map[string]string{
				"go.mod":        "module example\n\ngo 1.26\n",
				"x_test.go":     "package example\n\nimport \"testing\"\n\n" + passing + "\n\n" + failing + "\n",
				"KNOWN-RED.txt": tt.list,
			}
			for name, content := range files {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.CommandContext(t.Context(), script)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if passed := err == nil; passed != tt.wantPass {
				t.Errorf("passed: %v, want %v; output:\n%s", passed, tt.wantPass, out)
			}
			for _, want := range []string{strings.TrimSpace(tt.list), tt.wantOutput} {
				if !strings.Contains(string(out), want) {
					t.Errorf("no %q in the output:\n%s", want, out)
				}
			}
		})
	}
}
