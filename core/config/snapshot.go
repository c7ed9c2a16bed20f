package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// Member is a backend server that an operator has brought in beside those of the VM list.
type AddedServer struct {
	address string
	zone    string
	service string
}

// NewMember returns a member; address is that of its agent.
func NewAddedServer(address, zone, service string) AddedServer {
	return AddedServer{address: address, zone: zone, service: service}
}

// Address returns the address of the server's agent.
func (mb AddedServer) Address() string { return mb.address }

// Zone returns the availability zone of the server's VM.
func (mb AddedServer) Zone() string { return mb.zone }

// Service returns the name of the service that the server belongs to.
func (mb AddedServer) Service() string { return mb.service }

// Head names what is in force under an epoch; it is the one row that operators move, and it is immutable.
type Head struct {
	epoch   uint64
	hash    string
	preset  string
	change  string
	retired []string
	added   []AddedServer
}

// NewHead returns a head; hash is that of the declaration's text and change the id of the operator's change.
func NewHead(epoch uint64, hash, preset, change string) Head {
	return Head{epoch: epoch, hash: hash, preset: preset, change: change}
}

// Next returns the head that follows under a change's id, with nothing else changed.
func (hd Head) Next(change string) Head {
	hd.epoch++
	hd.change = change
	return hd
}

// WithDeclaration returns the head with another declaration.
func (hd Head) WithDeclaration(hash string) Head {
	hd.hash = hash
	return hd
}

// WithPreset returns the head with another preset in force.
func (hd Head) WithPreset(preset string) Head {
	hd.preset = preset
	return hd
}

// WithServers returns the head with other retired addresses and added servers.
func (hd Head) WithServers(retired []string, added []AddedServer) Head {
	hd.retired = retired
	hd.added = added
	return hd
}

// Retired returns the addresses of the agents that an operator has taken out; the slice must not be changed.
func (hd Head) Retired() []string { return hd.retired }

// Added returns the servers that an operator has brought in; the slice must not be changed.
func (hd Head) Added() []AddedServer { return hd.added }

// IsRetired reports whether an operator has taken an agent out.
func (hd Head) IsRetired(address string) bool { return slices.Contains(hd.retired, address) }

// Epoch returns the number of the change; it only grows.
func (hd Head) Epoch() uint64 { return hd.epoch }

// Hash returns the SHA-256 of the declaration's text in hexadecimal digits.
func (hd Head) Hash() string { return hd.hash }

// Preset returns the name of the preset in force.
func (hd Head) Preset() string { return hd.preset }

// Change returns the id of the change that made this head.
func (hd Head) Change() string { return hd.change }

// Hash returns the SHA-256 of a text in lower-case hexadecimal digits.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Snapshot is the configuration in force under one epoch; it is immutable, and each request keeps the one that it
// began with.
type Snapshot struct {
	head     Head
	text     []byte
	preset   Preset
	byKey    map[string]Workspace
	byName   map[string]Workspace
	services map[string]Service
}

// NewSnapshot returns the snapshot of a head and the text that it names, or an error if they do not fit.
func NewSnapshot(hd Head, text []byte) (*Snapshot, error) {
	if Hash(text) != hd.hash {
		return nil, fmt.Errorf("declaration of epoch %d: its hash is not %s", hd.epoch, hd.hash)
	}
	dc, problems := Parse("declaration", text)
	if len(problems) > 0 {
		return nil, fmt.Errorf("declaration of epoch %d: %w", hd.epoch, problems[0])
	}
	preset, ok := dc.Preset(hd.preset)
	if !ok {
		return nil, fmt.Errorf("declaration of epoch %d: no preset %q", hd.epoch, hd.preset)
	}
	sn := &Snapshot{
		head:     hd,
		text:     text,
		preset:   preset,
		byKey:    make(map[string]Workspace),
		byName:   make(map[string]Workspace),
		services: make(map[string]Service),
	}
	for _, ws := range dc.workspaces {
		sn.byKey[ws.keyHash] = ws
		sn.byName[ws.name] = ws
	}
	for _, sv := range dc.services {
		sn.services[sv.name] = sv
	}
	return sn, nil
}

// Head returns the head that the snapshot was made from.
func (sn *Snapshot) Head() Head { return sn.head }

// Epoch returns the number of the change that brought the snapshot in force.
func (sn *Snapshot) Epoch() uint64 { return sn.head.epoch }

// Text returns the bytes of the declarations file.
func (sn *Snapshot) Text() []byte { return sn.text }

// Preset returns the preset in force.
func (sn *Snapshot) Preset() Preset { return sn.preset }

// Service returns the service with a name.
func (sn *Snapshot) Service(name string) (Service, bool) {
	sv, ok := sn.services[name]
	return sv, ok
}

// Workspace returns the workspace with a name.
func (sn *Snapshot) Workspace(name string) (Workspace, bool) {
	ws, ok := sn.byName[name]
	return ws, ok
}

// Authenticate returns the workspace whose bearer key is given.
func (sn *Snapshot) Authenticate(key string) (Workspace, bool) {
	ws, ok := sn.byKey[Hash([]byte(key))]
	return ws, ok
}
