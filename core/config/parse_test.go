package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse parses the declarations in testdata and prints all problems with their lines, the declared values, or the
// difference from the previous declaration.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var current *Declaration
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			input := strings.ReplaceAll(td.Input, "HASH-A", strings.Repeat("a", 64))
			dc, problems := Parse("file", []byte(strings.ReplaceAll(input, "HASH-B", strings.Repeat("b", 64))))
			if len(problems) > 0 {
				return problemLines(problems)
			}
			previous := current
			current = dc
			if td.Cmd == "diff" {
				return strings.Join(append(Diff(previous, dc), ""), "\n")
			}
			return declaredValues(dc)
		})
	})
}

func problemLines(problems []Problem) string {
	var out strings.Builder
	for _, pb := range problems {
		out.WriteString(pb.Error() + "\n")
	}
	return out.String()
}

func declaredValues(dc *Declaration) string {
	var out strings.Builder
	for _, ws := range dc.Workspaces() {
		fmt.Fprintf(&out, "workspace %s share=%d\n", ws.Name(), ws.Share())
	}
	for _, sv := range dc.Services() {
		out.WriteString("service " + sv.Name() + "\n")
	}
	for _, pr := range dc.Presets() {
		fmt.Fprintf(&out, "preset %s timeout=%s queue-limit=%d check-tokens=%d loads-at-once=%d recompute-price=%g check-reserve=%g\n",
			pr.Name(), pr.Timeout(), pr.QueueLimit(), pr.CheckTokens(), pr.LoadsAtOnce(), pr.RecomputePrice(), pr.CheckReserve())
	}
	return out.String()
}
