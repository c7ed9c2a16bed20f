package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"shallotcleat/core/config"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
)

// headKey is the table key of the current head.
const headKey = "config/head"

// epochKey returns the table key of the permanent row with the head of an epoch.
func epochKey(epoch uint64) string { return fmt.Sprintf("config/epoch/%012d", epoch) }

// storedHead is the JSON encoding of a head.
type storedHead struct {
	Epoch   uint64         `json:"epoch"`
	Hash    string         `json:"hash"`
	Preset  string         `json:"preset"`
	Change  string         `json:"change"`
	Retired []string       `json:"retired,omitempty"`
	Added   []storedServer `json:"added,omitempty"`
}

// storedServer is the JSON encoding of a server that an operator added.
type storedServer struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

func encodeHead(hd config.Head) ([]byte, error) {
	stored := storedHead{Epoch: hd.Epoch(), Hash: hd.Hash(), Preset: hd.Preset(), Change: hd.Change(), Retired: hd.Retired()}
	for _, as := range hd.Added() {
		stored.Added = append(stored.Added, storedServer{Address: as.Address(), Zone: as.Zone(), Service: as.Service()})
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

func decodeHead(data []byte) (config.Head, error) {
	var stored storedHead
	if err := json.Unmarshal(data, &stored); err != nil {
		return config.Head{}, fmt.Errorf("decode head: %w", err)
	}
	var added []config.AddedServer
	for _, as := range stored.Added {
		added = append(added, config.NewAddedServer(as.Address, as.Zone, as.Service))
	}
	hd := config.NewHead(stored.Epoch, stored.Hash, stored.Preset, stored.Change)
	return hd.WithServers(stored.Retired, added), nil
}

// ReadHead returns the current head and the version of its row. Both are zero before the first change.
func ReadHead(ctx context.Context, store table.Store) (config.Head, uint64, error) {
	cells, err := store.Read(ctx, []string{headKey})
	if err != nil {
		return config.Head{}, 0, fmt.Errorf("read head: %w", err)
	}
	if len(cells) == 0 {
		return config.Head{}, 0, nil
	}
	hd, err := decodeHead(cells[0].Value)
	if err != nil {
		return config.Head{}, 0, err
	}
	return hd, cells[0].Version, nil
}

// ReadDeclaration returns the text of the declaration with the given hash. It fails if the text has another hash: a response without a
// length may have been cut off, and what is left may be a valid declaration.
func ReadDeclaration(ctx context.Context, objects object.Store, hash string) ([]byte, error) {
	text, err := objects.Get(ctx, declarationName(hash))
	var ie *object.IncompleteError
	if errors.As(err, &ie) {
		// The hash shows whether it is complete.
		text, err = ie.Received(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("read declaration: %w", err)
	}
	if got := config.Hash(text); got != hash {
		return nil, fmt.Errorf("read declaration: got %d bytes with hash %s, want %s", len(text), got, hash)
	}
	return text, nil
}

func declarationName(hash string) string { return "declaration-" + hash }

// ConflictError reports that another change was committed first.
type ConflictError struct {
	head config.Head
}

// Error returns a message that names the committed change.
func (ce *ConflictError) Error() string {
	return fmt.Sprintf("conflict with a change committed first: epoch %d with preset %q (change %s); check it and try again",
		ce.head.Epoch(), ce.head.Preset(), ce.head.Change())
}

// Head returns the head that was committed first.
func (ce *ConflictError) Head() config.Head { return ce.head }

// ReplaceHead replaces the head by next if the head's row still has the given version. The same transaction writes the row of
// the epoch. If the reply to the transaction is lost, that row shows which change was committed; the head itself may have been
// replaced again by then. ReplaceHead fails with a *ConflictError if another change was committed for the epoch.
func ReplaceHead(ctx context.Context, store table.Store, version uint64, next config.Head) error {
	data, err := encodeHead(next)
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, []table.Write{
		{Key: headKey, Value: data, ExpectedVersion: version},
		{Key: epochKey(next.Epoch()), Value: data},
	})
	var conflict *table.ConflictError
	var unavailable *table.UnavailableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict), errors.As(err, &unavailable):
		return resolveCommit(ctx, store, next, err)
	}
	return fmt.Errorf("replace head: %w", err)
}

// resolveCommit reads which change was committed for the epoch of next, and returns nil if it was next.
func resolveCommit(ctx context.Context, store table.Store, next config.Head, cause error) error {
	cells, err := store.Read(ctx, []string{epochKey(next.Epoch())})
	if err != nil {
		return fmt.Errorf("unknown whether the change was committed: %w; read epoch row: %w", cause, err)
	}
	if len(cells) == 0 {
		return fmt.Errorf("change was not committed: %w", cause)
	}
	committed, err := decodeHead(cells[0].Value)
	if err != nil {
		return err
	}
	if committed.Change() == next.Change() {
		return nil
	}
	return &ConflictError{head: committed}
}

// StoreDeclaration stores a declaration and returns its hash. It must be stored before a head refers to it.
func StoreDeclaration(ctx context.Context, objects object.Store, text []byte) (string, error) {
	hash := config.Hash(text)
	if err := objects.Put(ctx, declarationName(hash), text); err != nil {
		return "", fmt.Errorf("store declaration: %w", err)
	}
	return hash, nil
}
