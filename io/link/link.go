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

// Node returns a client of the gate whose peer address is given; it dials when it is used.
func (pl *Pool) Node(address string) wire.DRPCNodeClient {
	return wire.NewDRPCNodeClient(pl.pool.Get(context.Background(), address, dial))
}

// Close closes the idle connections.
func (pl *Pool) Close() error {
	if err := pl.pool.Close(); err != nil {
		return fmt.Errorf("close pool: %w", err)
	}
	return nil
}

// DialError says that no connection was made, so that no message can have arrived.
type DialError struct {
	address string
	cause   error
}

// NewDialError returns the error of an address that could not be connected to.
func NewDialError(address string, cause error) *DialError {
	return &DialError{address: address, cause: cause}
}

// Error returns the address and the cause.
func (de *DialError) Error() string { return fmt.Sprintf("dial %s: %v", de.address, de.cause) }

// Unwrap returns the cause.
func (de *DialError) Unwrap() error { return de.cause }

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dl := net.Dialer{Timeout: dialTimeout}
	conn, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, NewDialError(address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// ManagerOptions returns the connection options that both ends of a link use.
func ManagerOptions() drpcmanager.Options {
	var opts drpcmanager.Options
	opts.Reader.MaximumBufferSize = maxMessageBytes
	return opts
}
