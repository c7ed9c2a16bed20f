package cmds

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// loadSettingsFile sets the environment variables in the settings file that are not set yet. A missing file is no error.
func loadSettingsFile(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, ok := strings.Cut(strings.TrimSpace(lines.Text()), "=")
		if !ok || !strings.HasPrefix(name, "SHALLOTCLEAT_") || value == "" {
			continue
		}
		if _, set := os.LookupEnv(name); set {
			continue
		}
		if err := os.Setenv(name, value); err != nil {
			return fmt.Errorf("apply setting %s: %w", name, err)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read settings %s: %w", path, err)
	}
	return nil
}
