package cmds

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"shallotcleat/io/admin"
	"shallotcleat/io/rows"
	"shallotcleat/io/trace"
)

const timelineHelp = `Merges the events of all named processes in causal order: of one request, of one order over all its requests, or
all that the processes still keep.

Examples:
  shallotcleat timeline --admin 10.0.0.7:7900,10.0.1.4:7900 --request 0197a3e2-7d1c-7000-8000-0123456789ab
  shallotcleat timeline --admin 10.0.0.7:7900,10.0.1.4:7900 --order mchanga/sandpit-4711
  shallotcleat timeline --admin 10.0.0.7:7900 --request 0197a3e2-7d1c-7000-8000-0123456789ab --charge`

// timelineCommand holds the settings of the timeline's display.
type timelineCommand struct {
	adminFlags
	platformFlags
	Request string `long:"request" env:"SHALLOTCLEAT_REQUEST" description:"id of the request to follow"`
	Order   string `long:"order" env:"SHALLOTCLEAT_ORDER" description:"order to follow, as WORKSPACE/KEY"`
	Charge  bool   `long:"charge" env:"SHALLOTCLEAT_CHARGE" description:"show what the request or the order is charged for, from the object store and the table"`
}

func (cm *timelineCommand) run(ctx context.Context, out io.Writer) error {
	var vd validator
	addresses := cm.addresses(&vd)
	workspace, key, isOrder := strings.Cut(cm.Order, "/")
	if cm.Order != "" && !isOrder {
		vd.addProblem("order", cm.Order, "WORKSPACE/KEY")
	}
	store, objects := cm.clients(&vd)
	if err := vd.err(); err != nil {
		return err
	}
	if cm.Charge && cm.Request != "" {
		if err := printCharge(ctx, out, objects, cm.Request); err != nil {
			return err
		}
	}
	if cm.Charge && isOrder {
		if err := printOrder(ctx, out, store, rows.Key(workspace, key)); err != nil {
			return err
		}
	}
	events, err := fetchEvents(ctx, addresses, cm.Request)
	if isOrder {
		events = eventsOfOrder(events, rows.Key(workspace, key))
	}
	for _, ev := range events {
		if _, printErr := fmt.Fprintln(out, formatEvent(ev)); printErr != nil {
			return fmt.Errorf("print timeline: %w", printErr)
		}
	}
	return err
}

// fetchAll returns the events of all processes that answer, in causal order, and the errors of the others.
func fetchEvents(ctx context.Context, addresses []string, requestID string) ([]trace.Event, error) {
	var events []trace.Event
	var errs []error
	for _, address := range addresses {
		got, err := admin.FetchEvents(ctx, address, requestID)
		if err != nil {
			errs = append(errs, err)
		}
		events = append(events, got...)
	}
	slices.SortStableFunc(events, func(left, right trace.Event) int { return cmp.Compare(left.Stamp, right.Stamp) })
	return events, errors.Join(errs...)
}

// ofOrder returns the events of all requests that wrote the order's row.
func eventsOfOrder(events []trace.Event, rowKey string) []trace.Event {
	requestIDs := make(map[string]bool)
	for _, ev := range events {
		if ev.Fields["key"] == rowKey {
			requestIDs[ev.Request] = true
		}
	}
	return slices.DeleteFunc(events, func(ev trace.Event) bool { return !requestIDs[ev.Request] })
}

func formatEvent(ev trace.Event) string {
	fields := make([]string, 0, len(ev.Fields))
	for _, name := range slices.Sorted(maps.Keys(ev.Fields)) {
		fields = append(fields, name+"="+ev.Fields[name])
	}
	at := ev.Stamp.Wall().Format(time.RFC3339Nano)
	return fmt.Sprintf("%s.%d %s %s %s %s", at, ev.Stamp.Logical(), ev.Process, ev.Kind, ev.Request, strings.Join(fields, " "))
}
