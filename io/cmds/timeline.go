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

const timelineHelp = `Merges the events of the given processes in causal order: those of one request,
those of all requests of one order, or all that the processes retain.

Examples:
  shallotcleat timeline --admin 10.0.0.7:7900,10.0.1.4:7900 --request 0197a3e2-7d1c-7000-8000-0123456789ab
  shallotcleat timeline --admin 10.0.0.7:7900,10.0.1.4:7900 --order mchanga/sandpit-4711
  shallotcleat timeline --admin 10.0.0.7:7900 --request 0197a3e2-7d1c-7000-8000-0123456789ab --charge`

// timelineCommand prints the events of processes.
type timelineCommand struct {
	adminFlags
	platformFlags
	Request string `long:"request" env:"SHALLOTCLEAT_REQUEST" description:"id of the request to show"`
	Order   string `long:"order" env:"SHALLOTCLEAT_ORDER" description:"order to show, as WORKSPACE/KEY"`
	Charge  bool   `long:"charge" env:"SHALLOTCLEAT_CHARGE" description:"also print the charge of the request or order, read from the object store and the table service"`
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

// fetchEvents returns the events of a request, or all retained events if requestID is empty, in causal order. It returns
// those of the processes that respond, and the joined errors of the others.
func fetchEvents(ctx context.Context, addresses []string, requestID string) ([]trace.Event, error) {
	var events []trace.Event
	var errs []error
	for _, address := range addresses {
		fetched, err := admin.FetchEvents(ctx, address, requestID)
		if err != nil {
			errs = append(errs, err)
		}
		events = append(events, fetched...)
	}
	slices.SortStableFunc(events, func(left, right trace.Event) int { return cmp.Compare(left.Stamp, right.Stamp) })
	return events, errors.Join(errs...)
}

// eventsOfOrder returns the events of all requests with an event for the order's row. It modifies events.
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
