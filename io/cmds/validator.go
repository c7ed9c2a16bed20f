package cmds

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/io/vmlist"
)

// SettingsError lists the problems of a command's flags or of a declarations file.
type SettingsError struct {
	problems []string
}

// Error returns one line for each problem.
func (se *SettingsError) Error() string { return strings.Join(se.problems, "\n") }

// validator parses and validates the values of flags. Flags are declared as strings so that one error can list all invalid
// values.
type validator struct {
	problems []string
}

// err returns a *SettingsError with the problems found so far, or nil.
func (vd *validator) err() error {
	if len(vd.problems) == 0 {
		return nil
	}
	return &SettingsError{problems: vd.problems}
}

// addProblem records an invalid value; want describes the valid values.
func (vd *validator) addProblem(flag, value, want string) {
	vd.problems = append(vd.problems, fmt.Sprintf("--%s: invalid value %q; want %s", flag, value, want))
}

// integer parses an integer from low to high.
func (vd *validator) integer(flag, value string, low, high int) int {
	number, err := strconv.Atoi(value)
	if err != nil || number < low || number > high {
		vd.addProblem(flag, value, fmt.Sprintf("an integer from %d to %d", low, high))
	}
	return number
}

// float parses a number from low to high.
func (vd *validator) float(flag, value string, low, high float64) float64 {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= low && number <= high) {
		vd.addProblem(flag, value, fmt.Sprintf("a number from %g to %g", low, high))
	}
	return number
}

// duration parses a duration from low to high.
func (vd *validator) duration(flag, value string, low, high time.Duration) time.Duration {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < low || parsed > high {
		vd.addProblem(flag, value, fmt.Sprintf("a duration from %s to %s, such as 1500ms or 2s", low, high))
	}
	return parsed
}

// oneOf returns a value that must be one of those allowed.
func (vd *validator) oneOf(flag, value string, allowed ...string) string {
	if !slices.Contains(allowed, value) {
		vd.addProblem(flag, value, "one of "+strings.Join(allowed, ", "))
	}
	return value
}

// address validates an IP address with a port and returns it unchanged.
func (vd *validator) address(flag, value string) string {
	if !isIPPort(value) {
		vd.addProblem(flag, value, "an IP address and port, such as 127.0.0.1:8080")
	}
	return value
}

func isIPPort(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= 65535
}

// baseURL validates an http or https URL and returns it without a trailing slash.
func (vd *validator) baseURL(flag, value string) string {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		vd.addProblem(flag, value, "an http or https URL, such as http://10.0.0.5:9000")
	}
	return strings.TrimSuffix(value, "/")
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,63}$`)

// name validates the name of a process, zone, service or preset and returns it unchanged.
func (vd *validator) name(flag, value string) string {
	if !namePattern.MatchString(value) {
		vd.addProblem(flag, value, "1 to 64 characters of a-z, 0-9, '-' and '.', starting with a letter or digit")
	}
	return value
}

// logLevel validates the name of a log level and returns it unchanged.
func (vd *validator) logLevel(flag, value string) string {
	if _, err := logrus.ParseLevel(value); err != nil {
		vd.addProblem(flag, value, "debug, info, warning or error")
	}
	return value
}

// readFile returns the content of the file at the path in value.
func (vd *validator) readFile(flag, value string) []byte {
	text, err := os.ReadFile(value)
	if err != nil {
		vd.addProblem(flag, value, "a readable file ("+err.Error()+")")
	}
	return text
}

// seedVMs parses a comma-separated list of VMs, such as "agent/ruai/stock@127.0.0.1:7001,entry/athi@127.0.0.1:7002".
func (vd *validator) seedVMs(flag, value string) []vmlist.VM {
	var vms []vmlist.VM
	for _, item := range strings.Split(value, ",") {
		if item == "" {
			continue
		}
		vm, ok := parseSeedVM(item)
		if !ok {
			vd.addProblem(flag, item, "entry/ZONE@IP:PORT or agent/ZONE/SERVICE@IP:PORT, separated by commas")
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// parseSeedVM parses one item of a list of seed VMs. It returns false if the item is malformed.
func parseSeedVM(item string) (vmlist.VM, bool) {
	path, address, ok := strings.Cut(item, "@")
	parts := strings.Split(path, "/")
	if !ok || !isIPPort(address) {
		return vmlist.VM{}, false
	}
	vm := vmlist.VM{Address: address, Role: vmlist.Role(parts[0])}
	switch {
	case vm.Role == vmlist.RoleEntry && len(parts) == 2:
		vm.Zone = parts[1]
	case vm.Role == vmlist.RoleAgent && len(parts) == 3:
		vm.Zone, vm.Service = parts[1], parts[2]
	default:
		return vmlist.VM{}, false
	}
	return vm, true
}
