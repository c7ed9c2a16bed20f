package link

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"

	"shallotcleat/io/wire"
)

// Limits of the pool and of dialling.
const (
	dialTimeout     = 500 * time.Millisecond
	idleExpiration  = 15 * time.Second
	idlePerAddress  = 32
	idleInAll       = 2048
	maxMessageBytes = 8 << 20
)

// Pool keeps idle connections by address; its methods may be called from any goroutine.
type Pool struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    idleInAll,
		KeyCapacity: idlePerAddress,
	})}
}

// Agent returns a client of the agent at an address; it dials when it is used.
func (pl *Pool) Agent(address string) wire.DRPCAgentClient {
	return wire.NewDRPCAgentClient(pl.pool.Get(context.Background(), address, dial))
}

// Peer returns a client of the entry process whose peer address is given; it dials when it is used.
func (pl *Pool) Peer(address string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(pl.pool.Get(context.Background(), address, dial))
}

// Close closes the idle connections.
func (pl *Pool) Close() error {
	if err := pl.pool.Close(); err != nil {
		return fmt.Errorf("close pool: %w", err)
	}
	return nil
}

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dl := net.Dialer{Timeout: dialTimeout}
	conn, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// ManagerOptions returns the connection options that both ends of a link use.
func ManagerOptions() drpcmanager.Options {
	var opts drpcmanager.Options
	opts.Reader.MaximumBufferSize = maxMessageBytes
	return opts
}
