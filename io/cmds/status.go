package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"shallotcleat/io/admin"
)

const statusHelp = `Prints the configuration in force at each of the given processes and, for
entries, the backend servers that they know.

Example:
  shallotcleat status --admin 10.0.0.7:7900,10.0.0.8:7900`

// adminFlags select the processes to query.
type adminFlags struct {
	Admin string `long:"admin" env:"SHALLOTCLEAT_ADMINS" description:"comma-separated addresses of the processes' admin interfaces"`
}

func (af *adminFlags) addresses(vd *validator) []string {
	var addresses []string
	for _, address := range strings.Split(af.Admin, ",") {
		addresses = append(addresses, vd.address("admin", address))
	}
	return addresses
}

// statusCommand prints the status of processes.
type statusCommand struct {
	adminFlags
}

func (cm *statusCommand) run(ctx context.Context, out io.Writer) error {
	var vd validator
	addresses := cm.addresses(&vd)
	if err := vd.err(); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	var errs []error
	for _, address := range addresses {
		status, err := admin.FetchStatus(ctx, address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		printStatus(tw, status)
	}
	if err := tw.Flush(); err != nil {
		errs = append(errs, fmt.Errorf("print status: %w", err))
	}
	return errors.Join(errs...)
}

func printStatus(tw io.Writer, status admin.Status) {
	_, _ = fmt.Fprintf(tw, "%s\tepoch %d\tpreset %q\tchange %s\tretired %v\n",
		status.Process, status.Epoch, status.Preset, status.Change, status.Retired)
	for _, sv := range status.Servers {
		_, _ = fmt.Fprintf(tw, "  %s\t%s\t%s\tweights %q\twait %d ms\tusable %t\tleaving %t\n",
			sv.Address, sv.Zone, sv.Service, sv.WeightVersion, sv.WaitMs, sv.Usable, sv.Leaving)
	}
}
