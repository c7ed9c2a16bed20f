package cmds

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/io/vmlist"
)

// SettingsError tells all wrong settings of a command at once.
type SettingsError struct {
	problems []string
}

// Error returns one line for each wrong setting.
func (se *SettingsError) Error() string { return strings.Join(se.problems, "\n") }

// settings checks the values of flags; it takes them as text, so that all wrong ones are found at once.
type validator struct {
	problems []string
}

// err returns the wrong settings found so far, or nil.
func (vd *validator) err() error {
	if len(vd.problems) == 0 {
		return nil
	}
	return &SettingsError{problems: vd.problems}
}

func (vd *validator) addProblem(flag, value, allowed string) {
	vd.problems = append(vd.problems, fmt.Sprintf("--%s: %q is wrong; allowed: %s", flag, value, allowed))
}

// number returns a whole number within bounds.
func (vd *validator) integer(flag, value string, low, high int) int {
	got, err := strconv.Atoi(value)
	if err != nil || got < low || got > high {
		vd.addProblem(flag, value, fmt.Sprintf("whole numbers from %d to %d", low, high))
	}
	return got
}

// fraction returns a number within bounds.
func (vd *validator) float(flag, value string, low, high float64) float64 {
	got, err := strconv.ParseFloat(value, 64)
	if err != nil || got < low || got > high {
		vd.addProblem(flag, value, fmt.Sprintf("numbers from %g to %g", low, high))
	}
	return got
}

// duration returns a time within bounds.
func (vd *validator) duration(flag, value string, low, high time.Duration) time.Duration {
	got, err := time.ParseDuration(value)
	if err != nil || got < low || got > high {
		vd.addProblem(flag, value, fmt.Sprintf("times from %s to %s, such as 1500ms or 2s", low, high))
	}
	return got
}

// address returns a host by number with a port.
func (vd *validator) address(flag, value string) string {
	if !isIPPort(value) {
		vd.addProblem(flag, value, "an IP number and a port, such as 127.0.0.1:8080")
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

// base returns the base URL of a service.
func (vd *validator) baseURL(flag, value string) string {
	got, err := url.Parse(value)
	if err != nil || (got.Scheme != "http" && got.Scheme != "https") || got.Host == "" {
		vd.addProblem(flag, value, "a URL such as http://10.0.0.5:9000")
	}
	return strings.TrimSuffix(value, "/")
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,63}$`)

// word returns a name.
func (vd *validator) name(flag, value string) string {
	if !namePattern.MatchString(value) {
		vd.addProblem(flag, value, "1 to 64 of a-z, 0-9, '-' and '.', beginning with a letter or digit")
	}
	return value
}

// level returns the name of a log level.
func (vd *validator) logLevel(flag, value string) string {
	if _, err := logrus.ParseLevel(value); err != nil {
		vd.addProblem(flag, value, "debug, info, warning and error")
	}
	return value
}

// file returns the content of a file.
func (vd *validator) readFile(flag, value string) []byte {
	text, err := os.ReadFile(value)
	if err != nil {
		vd.addProblem(flag, value, "a file that can be read ("+err.Error()+")")
	}
	return text
}

// seeds returns the VMs in a list such as "agent/ruai/stock@127.0.0.1:7001,entry/athi@127.0.0.1:7002".
func (vd *validator) seedVMs(flag, value string) []vmlist.VM {
	var vms []vmlist.VM
	for _, item := range strings.Split(value, ",") {
		if item == "" {
			continue
		}
		vm, ok := parseSeedVM(item)
		if !ok {
			vd.addProblem(flag, item, "entry/ZONE@IP:PORT and agent/ZONE/SERVICE@IP:PORT, with commas between them")
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

func parseSeedVM(item string) (vmlist.VM, bool) {
	place, address, ok := strings.Cut(item, "@")
	parts := strings.Split(place, "/")
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
