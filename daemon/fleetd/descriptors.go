package fleetd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/intake"
)

// Shares of a process's file descriptors. The rest is for state files, connections to other
// daemons and the runtime, so that calls to workers and from outside never take the descriptors
// that the log needs.
const (
	workerDescriptorShare  = 0.5
	inboundDescriptorShare = 0.3
)

// platformReservedDescriptors is the number of descriptors within the limit that a process cannot
// use for sockets and state files.
const platformReservedDescriptors = 200

// descriptorLimit returns how many descriptors this process may use for sockets and state files.
func descriptorLimit() (int, error) {
	limit, err := intake.DescriptorLimit()
	return limit - platformReservedDescriptors, err
}

// descriptorBudget bounds the number of open connections of one kind.
type descriptorBudget struct {
	limit int64
	used  atomic.Int64
}

func newDescriptorBudget(limit int) *descriptorBudget {
	return &descriptorBudget{limit: int64(max(1, limit))}
}

func (b *descriptorBudget) acquire() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

func (b *descriptorBudget) release() { b.used.Add(-1) }

// budgetedConn returns its descriptor to the budget when it is closed.
type budgetedConn struct {
	net.Conn
	budget *descriptorBudget
	once   sync.Once
}

func (c *budgetedConn) Close() error {
	c.once.Do(c.budget.release)
	return c.Conn.Close()
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// withinBudget returns a dial function that opens no more connections than the budget allows. A
// shortage of descriptors says nothing about the worker, so it is reported as fleet.ErrNotSent.
// onShortage is called to free descriptors.
func withinBudget(dial dialFunc, budget *descriptorBudget, onShortage func()) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !budget.acquire() {
			onShortage()
			return nil, fmt.Errorf("%w: %d connections to workers are open", fleet.ErrNotSent, budget.limit)
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			budget.release()
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				onShortage()
				return nil, fmt.Errorf("%w: %w", fleet.ErrNotSent, err)
			}
			return nil, err
		}
		return &budgetedConn{Conn: conn, budget: budget}, nil
	}
}
