package cmds

import (
	"context"
	"fmt"
	"io"

	"shallotcleat/core/usage"
	"shallotcleat/io/bill"
	"shallotcleat/io/object"
	"shallotcleat/io/rows"
	"shallotcleat/io/table"
)

// printCharge prints the charge of a request and the usage records that it is aggregated from.
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
		_, _ = fmt.Fprintf(out, "charge of request %s: %d prompt tokens (%d cached), %d output tokens\n", requestID, prompt, cached, output)
		for _, rc := range ch.Records() {
			_, _ = fmt.Fprintf(out, "  reported by the %s: %+v\n", rc.Source, rc)
		}
		return nil
	}
	_, err = fmt.Fprintf(out, "no usage records stored for request %s\n", requestID)
	return err
}

// printOrder prints the row of an order, which is also the record of its charge.
func printOrder(ctx context.Context, out io.Writer, store table.Store, rowKey string) error {
	row, ok, err := rows.Get(ctx, store, rowKey)
	switch {
	case err != nil:
		return fmt.Errorf("order %s: %w", rowKey, err)
	case !ok:
		_, err = fmt.Fprintf(out, "order %s: not found\n", rowKey)
	default:
		_, err = fmt.Fprintf(out, "order %s: %s, by request %s, at agent %s\n", rowKey, row.State(), row.Request(), row.Ticket().Agent())
	}
	return err
}
