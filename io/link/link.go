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

// Limits of connections and of the pool.
const (
	dialTimeout            = 500 * time.Millisecond
	idleTimeout            = 15 * time.Second
	maxIdleConnsPerAddress = 32
	maxIdleConns           = 2048
	maxMessageBytes        = 8 << 20
)

// Pool holds idle connections by address. Its clients take an idle connection for each call, or dial a new one. It is
// safe for concurrent use.
type Pool struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsPerAddress,
	})}
}

// Agent returns a client of the agent at an address.
func (pl *Pool) Agent(address string) wire.DRPCAgentClient {
	return wire.NewDRPCAgentClient(pl.pool.Get(context.Background(), address, dial))
}

// Peer returns a client of the entry at a peer address.
func (pl *Pool) Peer(address string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(pl.pool.Get(context.Background(), address, dial))
}

// Node returns a client of the gate at a peer address.
func (pl *Pool) Node(address string) wire.DRPCNodeClient {
	return wire.NewDRPCNodeClient(pl.pool.Get(context.Background(), address, dial))
}

// Close closes the idle connections.
func (pl *Pool) Close() error {
	if err := pl.pool.Close(); err != nil {
		return fmt.Errorf("close connection pool: %w", err)
	}
	return nil
}

// DialError means that no connection was established, so that no message reached the other process.
type DialError struct {
	address string
	cause   error
}

// NewDialError returns the error of a failed connection to an address.
func NewDialError(address string, cause error) *DialError {
	return &DialError{address: address, cause: cause}
}

// Error returns the message with the address and the cause.
func (de *DialError) Error() string { return fmt.Sprintf("dial %s: %v", de.address, de.cause) }

// Unwrap returns the cause.
func (de *DialError) Unwrap() error { return de.cause }

// dial returns a new connection to an address, or a *DialError.
func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dl := net.Dialer{Timeout: dialTimeout}
	conn, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, NewDialError(address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// ManagerOptions returns the DRPC options that both ends of a connection use.
func ManagerOptions() drpcmanager.Options {
	var opts drpcmanager.Options
	opts.Reader.MaximumBufferSize = maxMessageBytes
	return opts
}
