package cmds

import (
	"os"
	"path/filepath"
	"testing"
)

// Settings of the file apply unless the environment has them; a line without a value leaves the default (a deployment that does not state a
// limit got an empty, invalid one).
func TestSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.env")
	content := "# comment\nSHALLOTCLEAT_TEST_A=1\nSHALLOTCLEAT_TEST_B=2\nSHALLOTCLEAT_TEST_C=\nPATH=/none\n"
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	// t.Setenv restores the variables after the test.
	for _, name := range []string{"SHALLOTCLEAT_TEST_A", "SHALLOTCLEAT_TEST_B", "SHALLOTCLEAT_TEST_C"} {
		t.Setenv(name, "before")
		if name != "SHALLOTCLEAT_TEST_B" {
			_ = os.Unsetenv(name)
		}
	}
	if err := loadSettingsFile(path); err != nil {
		t.Fatal(err)
	}
	if got := os.Getenv("SHALLOTCLEAT_TEST_A"); got != "1" {
		t.Errorf("setting of the file is %q, want 1", got)
	}
	if got := os.Getenv("SHALLOTCLEAT_TEST_B"); got != "before" {
		t.Errorf("variable of the environment is %q, want before", got)
	}
	if _, set := os.LookupEnv("SHALLOTCLEAT_TEST_C"); set || os.Getenv("PATH") == "/none" {
		t.Error("empty or foreign variable was set")
	}
	if err := loadSettingsFile(filepath.Join(t.TempDir(), "missing")); err != nil {
		t.Errorf("missing file: %v", err)
	}
}
