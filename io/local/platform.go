package local

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"shallotcleat/core/config"
	"shallotcleat/io/fake"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/watch"
)

// Platform is a table service, an object store and a VM list, each a fake served on its own loopback port.
type Platform struct {
	table       *fake.Table
	objectStore *fake.ObjectStore
	vmList      *fake.VMList
	// urls are the base URLs of the table service, the object store and the VM list.
	urls [3]string

	// mu guards the fields below.
	mu      sync.Mutex
	servers []*http.Server
	vms     []vmlist.VM
}

// NewPlatform starts the fakes. The caller must call Close.
func NewPlatform() (*Platform, error) {
	pf := &Platform{table: fake.NewTable(), objectStore: fake.NewObjectStore(), vmList: &fake.VMList{}}
	for i, handler := range []http.Handler{pf.table, pf.objectStore, pf.vmList} {
		address, err := pf.StartServer(handler)
		if err != nil {
			pf.Close()
			return nil, err
		}
		pf.urls[i] = "http://" + address
	}
	return pf, nil
}

// Table returns the fake table service, which can inject failures.
func (pf *Platform) Table() *fake.Table { return pf.table }

// ObjectStore returns the fake object store, which can inject failures.
func (pf *Platform) ObjectStore() *fake.ObjectStore { return pf.objectStore }

// TableURL returns the base URL of the table service.
func (pf *Platform) TableURL() string { return pf.urls[0] }

// ObjectsURL returns the base URL of the object store.
func (pf *Platform) ObjectsURL() string { return pf.urls[1] }

// VMListURL returns the base URL of the VM list.
func (pf *Platform) VMListURL() string { return pf.urls[2] }

// StartServer serves a handler on a free loopback port until Close is called and returns its address as host:port.
func (pf *Platform) StartServer(handler http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: handler}
	pf.mu.Lock()
	pf.servers = append(pf.servers, srv)
	pf.mu.Unlock()
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// AddVM appends a VM to the list.
func (pf *Platform) AddVM(vm vmlist.VM) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.vms = append(slices.Clip(pf.vms), vm)
	pf.vmList.Set(pf.vms)
}

// errUnknownPreset is returned by Apply if the declaration does not contain the preset.
var errUnknownPreset = errors.New("not in the declaration")

// SetVMs replaces the list of VMs. The caller must not modify the slice afterwards.
func (pf *Platform) SetVMs(vms []vmlist.VM) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.vms = vms
	pf.vmList.Set(vms)
}

// Apply puts a declaration and a preset in force, as the subcommand apply does. change describes the change.
func (pf *Platform) Apply(ctx context.Context, declaration []byte, preset, change string) error {
	dc, problems := config.Parse("declaration", declaration)
	if len(problems) > 0 {
		return fmt.Errorf("parse declaration: %w", problems[0])
	}
	if _, ok := dc.Preset(preset); !ok {
		return fmt.Errorf("preset %q: %w", preset, errUnknownPreset)
	}
	hash, err := watch.StoreDeclaration(ctx, object.NewHTTP(pf.ObjectsURL()), declaration)
	if err != nil {
		return fmt.Errorf("apply declaration: %w", err)
	}
	return pf.changeHead(ctx, func(hd config.Head) config.Head {
		return hd.Next(change).WithDeclaration(hash).WithPreset(preset)
	})
}

// SetPreset puts a preset of the current declaration in force.
func (pf *Platform) SetPreset(ctx context.Context, preset string) error {
	return pf.changeHead(ctx, func(hd config.Head) config.Head { return hd.Next("preset " + preset).WithPreset(preset) })
}

// Retire adds the backend server at address to the retired servers.
func (pf *Platform) Retire(ctx context.Context, address string) error {
	return pf.changeHead(ctx, func(hd config.Head) config.Head {
		return hd.Next("retire "+address).WithServers(append(slices.Clone(hd.Retired()), address), hd.Added())
	})
}

// changeHead replaces the configuration head by the result of change. It returns an error if the head has changed
// between the read and the write.
func (pf *Platform) changeHead(ctx context.Context, change func(config.Head) config.Head) error {
	store := table.NewHTTP(pf.TableURL())
	hd, version, err := watch.ReadHead(ctx, store)
	if err != nil {
		return fmt.Errorf("update configuration: %w", err)
	}
	if err := watch.ReplaceHead(ctx, store, version, change(hd)); err != nil {
		return fmt.Errorf("update configuration: %w", err)
	}
	return nil
}

// Close stops all servers of the platform.
func (pf *Platform) Close() {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	for _, srv := range pf.servers {
		_ = srv.Close()
	}
}
