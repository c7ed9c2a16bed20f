package intake

import (
	"fmt"
	"math"
	"syscall"
)

// callerPart is the part of a process's descriptors that connections of callers may use. The rest is for connections to servers, of which each
// running request needs one, and for peers, the store, metrics and readiness.
const callerPart = 0.6

// DescriptorLimit returns the number of descriptors that the system lets the process open.
func DescriptorLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit of descriptors: %w", err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// MaxConnections returns the number of callers' connections that a process with a limit of descriptors may hold.
func MaxConnections(limit int) int { return int(callerPart * float64(limit)) }
