package rows

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"shallotcleat/core/order"
	"shallotcleat/io/table"
)

// keyPrefix is the prefix of the table keys of all orders.
const keyPrefix = "order/"

// Key returns the table key of an order. It is unambiguous because workspace names contain no slash.
func Key(workspace, idempotencyKey string) string {
	return keyPrefix + workspace + "/" + idempotencyKey
}

// storedRow is the JSON encoding of an order row.
type storedRow struct {
	State       order.State `json:"state"`
	Digest      string      `json:"digest"`
	Request     string      `json:"request"`
	Attempt     string      `json:"attempt"`
	Agent       string      `json:"agent"`
	Incarnation uint64      `json:"incarnation"`
	Seq         uint64      `json:"seq"`
	Status      int         `json:"status,omitempty"`
	Body        string      `json:"body,omitempty"`
}

// Encode returns the stored encoding of a row; the version is not part of it.
func Encode(rw order.Row) ([]byte, error) {
	tk := rw.Ticket()
	data, err := json.Marshal(storedRow{
		State:       rw.State(),
		Digest:      rw.Digest(),
		Request:     rw.Request(),
		Attempt:     rw.Attempt(),
		Agent:       tk.Agent(),
		Incarnation: tk.Incarnation(),
		Seq:         tk.Seq(),
		Status:      rw.Result().Status(),
		Body:        rw.Result().Body(),
	})
	if err != nil {
		return nil, fmt.Errorf("encode order row: %w", err)
	}
	return data, nil
}

// Decode decodes a stored row and sets its version.
func Decode(data []byte, version uint64) (order.Row, error) {
	var stored storedRow
	if err := json.Unmarshal(data, &stored); err != nil {
		return order.Row{}, fmt.Errorf("decode order row: %w", err)
	}
	tk := order.NewTicket(stored.Agent, stored.Incarnation, stored.Seq)
	rs := order.NewResult(stored.Status, stored.Body)
	return order.NewRow(stored.State, stored.Digest, stored.Request, stored.Attempt, tk, rs, version), nil
}

// Write replaces the stored row if its version is still rw.Version(), and returns the result as an event of the order's
// attempt.
func Write(ctx context.Context, store table.Store, key string, rw order.Row) order.Event {
	data, err := Encode(rw)
	if err != nil {
		return order.WriteFailed{}
	}
	versions, err := store.Commit(ctx, []table.Write{{Key: key, Value: data, ExpectedVersion: rw.Version()}})
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return order.NewCommitted(versions[0])
	case errors.As(err, &conflict):
		return conflictEvent(conflict.Cell(key))
	}
	return order.WriteFailed{}
}

func conflictEvent(cl table.Cell) order.Event {
	stored, err := Decode(cl.Value, cl.Version)
	if err != nil {
		return order.WriteFailed{}
	}
	return order.NewConflict(stored)
}

// Read reads the row of an order and returns the result as an event of the order's attempt.
func Read(ctx context.Context, store table.Store, key string) order.Event {
	rw, ok, err := Get(ctx, store, key)
	switch {
	case err != nil:
		return order.ReadFailed{}
	case !ok:
		return order.NotFound{}
	}
	return order.NewFound(rw)
}

// Get reads the row of an order; ok is false if there is none.
func Get(ctx context.Context, store table.Store, key string) (rw order.Row, ok bool, err error) {
	cells, err := store.Read(ctx, []string{key})
	if err != nil {
		return order.Row{}, false, fmt.Errorf("read order row: %w", err)
	}
	if len(cells) == 0 {
		return order.Row{}, false, nil
	}
	if rw, err = Decode(cells[0].Value, cells[0].Version); err != nil {
		return order.Row{}, false, err
	}
	return rw, true, nil
}
