package intake

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"samphirepaddle.example/core/intake"
)

// Listen opens a listener within a budget. Accepted connections inherit its buffers, which the kernel no longer
// enlarges by itself.
func Listen(addr string, b intake.ListenerBudget) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error { return setBuffers(fd, b) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		// A second call of listen sets the length of the queue, for which package net has no option.
		err = control(raw, func(fd int) error { return unix.Listen(fd, b.Backlog) })
	}
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("queue of new connections on %s: %w", addr, err)
	}
	return listener, nil
}

func control(c syscall.RawConn, f func(fd int) error) error {
	var failure error
	if err := c.Control(func(fd uintptr) { failure = f(int(fd)) }); err != nil {
		return err
	}
	return failure
}

// setBuffers sets the sizes of both buffers. The kernel doubles what it is told, for its own records.
func setBuffers(fd int, b intake.ListenerBudget) error {
	const kernelFactor = 2
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, b.ReceiveBuffer/kernelFactor); err != nil {
		return fmt.Errorf("receive buffer: %w", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, b.SendBuffer/kernelFactor); err != nil {
		return fmt.Errorf("send buffer: %w", err)
	}
	return nil
}
