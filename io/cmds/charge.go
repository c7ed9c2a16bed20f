package cmds

import (
	"context"
	"fmt"
	"io"

	"shallotcleat/core/order"
	"shallotcleat/core/usage"
	"shallotcleat/io/bill"
	"shallotcleat/io/object"
	"shallotcleat/io/rows"
	"shallotcleat/io/table"
)

// showCharge prints the usage records that a request is charged by.
func printCharge(ctx context.Context, out io.Writer, objects object.Store, requestID string) error {
	records, err := bill.Read(ctx, objects)
	if err != nil {
		return err
	}
	for _, ch := range usage.Aggregate(records) {
		if ch.Request() != requestID {
			continue
		}
		prompt, cached, output := ch.Tokens()
		_, _ = fmt.Fprintf(out, "charge of %s: %d prompt tokens, %d of them cached, %d generated\n", requestID, prompt, cached, output)
		for _, rc := range ch.Records() {
			_, _ = fmt.Fprintf(out, "  by the %s: %+v\n", rc.Source, rc)
		}
		return nil
	}
	_, err = fmt.Fprintf(out, "no usage record of %s is stored\n", requestID)
	return err
}

// showOrder prints the row of an order; the row is the order's charge.
func printOrder(ctx context.Context, out io.Writer, store table.Store, rowKey string) error {
	var err error
	switch ev := rows.Read(ctx, store, rowKey).(type) {
	case order.Found:
		row := ev.Row()
		_, err = fmt.Fprintf(out, "order %s: %s, by request %s, at agent %s\n", rowKey, row.State(), row.Request(), row.Ticket().Agent())
	case order.NotFound:
		_, err = fmt.Fprintf(out, "order %s: there is none\n", rowKey)
	default:
		return fmt.Errorf("the table does not answer")
	}
	return err
}
