package fleetd

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"samphirepaddle.example/daemon/fleet"
)

// pipeDialer returns in-memory connections, or the error if it is set.
type pipeDialer struct{ err error }

func (d *pipeDialer) dial(context.Context, string, string) (net.Conn, error) {
	if d.err != nil {
		return nil, d.err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// Guards against a process that opens connections to workers until its state files cannot be
// opened, and against connections that are counted after they were closed.
func TestConnectionsToWorkersStayWithinTheBudget(t *testing.T) {
	shortages := 0
	dial := withinBudget((&pipeDialer{}).dial, newDescriptorBudget(2), func() { shortages++ })
	var open []net.Conn
	for range 2 {
		conn, err := dial(t.Context(), "tcp", "worker")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
	}
	if _, err := dial(t.Context(), "tcp", "worker"); !errors.Is(err, fleet.ErrNotSent) || shortages != 1 {
		t.Errorf("a connection above the budget: %v after %d shortages, want ErrNotSent after 1", err, shortages)
	}
	open[0].Close()
	open[0].Close() // a second call must not free another descriptor
	if _, err := dial(t.Context(), "tcp", "worker"); err != nil {
		t.Errorf("after a connection was closed: %v", err)
	}
	if _, err := dial(t.Context(), "tcp", "worker"); err == nil {
		t.Error("a connection that was closed twice freed two descriptors")
	}
}

// Guards against taking a local shortage of descriptors for a fault of the worker.
func TestShortageOfDescriptorsIsNotAFaultOfTheWorker(t *testing.T) {
	for cause, notSent := range map[error]bool{
		&net.OpError{Op: "dial", Err: syscall.EMFILE}:    true,
		&net.OpError{Op: "dial", Err: syscall.ENFILE}:    true,
		&net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}: false,
	} {
		budget := newDescriptorBudget(1)
		dial := withinBudget((&pipeDialer{err: cause}).dial, budget, func() {})
		if _, err := dial(t.Context(), "tcp", "worker"); errors.Is(err, fleet.ErrNotSent) != notSent {
			t.Errorf("%v is reported as %v", cause, err)
		}
		if used := budget.used.Load(); used != 0 {
			t.Errorf("%v: %d connections are counted, want 0", cause, used)
		}
	}
}
