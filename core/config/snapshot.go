package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// AddedServer is a backend server that an operator has added to those of the VM list.
type AddedServer struct {
	address string
	zone    string
	service string
}

// NewAddedServer returns an added server; address is that of its agent.
func NewAddedServer(address, zone, service string) AddedServer {
	return AddedServer{address: address, zone: zone, service: service}
}

// Address returns the address of the server's agent.
func (ad AddedServer) Address() string { return ad.address }

// Zone returns the availability zone of the server's VM.
func (ad AddedServer) Zone() string { return ad.zone }

// Service returns the name of the service that the server belongs to.
func (ad AddedServer) Service() string { return ad.service }

// Head identifies the configuration in force in one epoch. Its row is the only one that a configuration change
// replaces; a Head is immutable.
type Head struct {
	epoch   uint64
	hash    string
	preset  string
	change  string
	retired []string
	added   []AddedServer
}

// NewHead returns a head; hash is that of the declaration's text and change is the id of the operator's change.
func NewHead(epoch uint64, hash, preset, change string) Head {
	return Head{epoch: epoch, hash: hash, preset: preset, change: change}
}

// Next returns the head of the next epoch with the given change id, otherwise unchanged.
func (hd Head) Next(change string) Head {
	hd.epoch++
	hd.change = change
	return hd
}

// WithDeclaration returns the head with the declaration that has the given hash.
func (hd Head) WithDeclaration(hash string) Head {
	hd.hash = hash
	return hd
}

// WithPreset returns the head with the named preset in force.
func (hd Head) WithPreset(preset string) Head {
	hd.preset = preset
	return hd
}

// WithServers returns the head with the given retired addresses and added servers.
func (hd Head) WithServers(retired []string, added []AddedServer) Head {
	hd.retired = retired
	hd.added = added
	return hd
}

// Retired returns the addresses of the agents that an operator has retired. The slice must not be modified.
func (hd Head) Retired() []string { return hd.retired }

// Added returns the servers that an operator has added. The slice must not be modified.
func (hd Head) Added() []AddedServer { return hd.added }

// IsRetired reports whether an operator has retired the agent with the given address.
func (hd Head) IsRetired(address string) bool { return slices.Contains(hd.retired, address) }

// Epoch returns the epoch number, which increases by one with each change.
func (hd Head) Epoch() uint64 { return hd.epoch }

// Hash returns the SHA-256 of the declaration's text in lower-case hexadecimal.
func (hd Head) Hash() string { return hd.hash }

// Preset returns the name of the preset in force.
func (hd Head) Preset() string { return hd.preset }

// Change returns the id of the change that created the head.
func (hd Head) Change() string { return hd.change }

// Hash returns the SHA-256 of text in lower-case hexadecimal.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Snapshot is the configuration in force in one epoch. It is immutable; a request uses the same snapshot from start to
// end.
type Snapshot struct {
	head               Head
	text               []byte
	preset             Preset
	workspaceByKeyHash map[string]Workspace
	workspaceByName    map[string]Workspace
	serviceByName      map[string]Service
}

// NewSnapshot returns the snapshot of a head and its declaration text. It fails if the hash differs, the text is
// invalid or the preset is not declared.
func NewSnapshot(hd Head, text []byte) (*Snapshot, error) {
	if Hash(text) != hd.hash {
		return nil, fmt.Errorf("declaration of epoch %d: hash mismatch, want %s", hd.epoch, hd.hash)
	}
	dc, problems := Parse("declaration", text)
	if len(problems) > 0 {
		return nil, fmt.Errorf("declaration of epoch %d: %w", hd.epoch, problems[0])
	}
	preset, ok := dc.Preset(hd.preset)
	if !ok {
		return nil, fmt.Errorf("declaration of epoch %d: preset %q is not declared", hd.epoch, hd.preset)
	}
	sn := &Snapshot{
		head:               hd,
		text:               text,
		preset:             preset,
		workspaceByKeyHash: make(map[string]Workspace),
		workspaceByName:    make(map[string]Workspace),
		serviceByName:      make(map[string]Service),
	}
	for _, ws := range dc.workspaces {
		sn.workspaceByKeyHash[ws.keyHash] = ws
		sn.workspaceByName[ws.name] = ws
	}
	for _, sv := range dc.services {
		sn.serviceByName[sv.name] = sv
	}
	return sn, nil
}

// Head returns the head of the snapshot.
func (sn *Snapshot) Head() Head { return sn.head }

// Epoch returns the epoch number of the snapshot.
func (sn *Snapshot) Epoch() uint64 { return sn.head.epoch }

// Text returns the text of the declaration. The slice must not be modified.
func (sn *Snapshot) Text() []byte { return sn.text }

// Preset returns the preset in force.
func (sn *Snapshot) Preset() Preset { return sn.preset }

// Service returns the service with the given name.
func (sn *Snapshot) Service(name string) (Service, bool) {
	sv, ok := sn.serviceByName[name]
	return sv, ok
}

// Workspace returns the workspace with the given name.
func (sn *Snapshot) Workspace(name string) (Workspace, bool) {
	ws, ok := sn.workspaceByName[name]
	return ws, ok
}

// Authenticate returns the workspace with the given bearer key.
func (sn *Snapshot) Authenticate(key string) (Workspace, bool) {
	ws, ok := sn.workspaceByKeyHash[Hash([]byte(key))]
	return ws, ok
}
