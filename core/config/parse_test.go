package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse plays the declarations in testdata: all faults with their lines, or the names of what is declared.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var before *Declaration
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			input := strings.ReplaceAll(td.Input, "HASH-A", strings.Repeat("a", 64))
			dc, problems := Parse("file", []byte(strings.ReplaceAll(input, "HASH-B", strings.Repeat("b", 64))))
			if len(problems) > 0 {
				return lines(problems)
			}
			old := before
			before = dc
			if td.Cmd == "diff" {
				return strings.Join(append(Diff(old, dc), ""), "\n")
			}
			return summary(dc)
		})
	})
}

func lines(problems []Problem) string {
	var out strings.Builder
	for _, pb := range problems {
		out.WriteString(pb.Error() + "\n")
	}
	return out.String()
}

func summary(dc *Declaration) string {
	var out strings.Builder
	for _, ws := range dc.Workspaces() {
		out.WriteString("workspace " + ws.Name() + "\n")
	}
	for _, sv := range dc.Services() {
		out.WriteString("service " + sv.Name() + "\n")
	}
	for _, pr := range dc.Presets() {
		out.WriteString("preset " + pr.Name() + " " + pr.Timeout().String() + "\n")
	}
	return out.String()
}
