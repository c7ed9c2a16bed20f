package rows

import (
	"context"
	"encoding/json"
	"fmt"

	"shallotcleat/core/weight"
	"shallotcleat/io/table"
)

// fenceKey is the table key of the last fencing number that was issued.
const fenceKey = "weights/fence"

func slotKey(index int) string { return fmt.Sprintf("weights/slot/%02d", index) }

// storedSlot is the JSON encoding of a slot's holder. A free slot has no agent; the row of fenceKey has only a fencing number.
type storedSlot struct {
	Agent       string `json:"agent,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Fence       uint64 `json:"fence,omitempty"`
}

// ReadSlots reads all load slots and the last fencing number, and returns them as an event of the loader.
func ReadSlots(ctx context.Context, store table.Store, count int) weight.Event {
	keys := []string{fenceKey}
	for index := range count {
		keys = append(keys, slotKey(index))
	}
	cells, err := store.Read(ctx, keys)
	if err != nil {
		return weight.SlotNotTaken{}
	}
	byKey := make(map[string]table.Cell, len(cells))
	for _, cl := range cells {
		byKey[cl.Key] = cl
	}
	slots := make([]weight.Slot, 0, count)
	for index := range count {
		holder, ok := decodeHolder(byKey[slotKey(index)].Value)
		if !ok {
			return weight.SlotNotTaken{}
		}
		slots = append(slots, weight.NewSlot(index, byKey[slotKey(index)].Version, holder))
	}
	last, ok := decodeHolder(byKey[fenceKey].Value)
	if !ok {
		return weight.SlotNotTaken{}
	}
	return weight.NewSlotsRead(slots, last.Fence(), byKey[fenceKey].Version)
}

func decodeHolder(data []byte) (weight.Holder, bool) {
	var stored storedSlot
	if len(data) > 0 && json.Unmarshal(data, &stored) != nil {
		return weight.Holder{}, false
	}
	return weight.NewHolder(stored.Agent, stored.Incarnation, stored.Fence), true
}

// TakeSlot stores the holder of a slot and its fencing number in one transaction, if both rows still have the expected
// versions, and returns the result as an event of the loader.
func TakeSlot(ctx context.Context, store table.Store, ef weight.TakeSlot) weight.Event {
	holder := ef.Slot().Holder()
	data, err := json.Marshal(storedSlot{Agent: holder.Agent(), Incarnation: holder.Incarnation(), Fence: holder.Fence()})
	if err != nil {
		return weight.SlotNotTaken{}
	}
	last, err := json.Marshal(storedSlot{Fence: holder.Fence()})
	if err != nil {
		return weight.SlotNotTaken{}
	}
	_, err = store.Commit(ctx, []table.Write{
		{Key: slotKey(ef.Slot().Index()), Value: data, ExpectedVersion: ef.Slot().Version()},
		{Key: fenceKey, Value: last, ExpectedVersion: ef.FenceVersion()},
	})
	if err != nil {
		return weight.SlotNotTaken{}
	}
	return weight.SlotTaken{}
}

// FreeSlot marks a slot as free if its row still has the version of sl.
func FreeSlot(ctx context.Context, store table.Store, sl weight.Slot) error {
	_, err := store.Commit(ctx, []table.Write{{Key: slotKey(sl.Index()), Value: []byte("{}"), ExpectedVersion: sl.Version()}})
	if err != nil {
		return fmt.Errorf("free slot %d: %w", sl.Index(), err)
	}
	return nil
}
