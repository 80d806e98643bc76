package fleetd

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections to other VMs. The peer of an open connection may disappear without a
// reset; the kernel closes the connection if sent data stays unacknowledged for tcpUserTimeout.
const (
	dialTimeout        = 400 * time.Millisecond
	tcpUserTimeout     = 2500 * time.Millisecond
	idleConnTimeout    = 120 * time.Second // keeping a connection open costs less than opening a new one
	keepAliveInterval  = 2 * time.Second   // between probes of an idle connection
	maxKeepAliveProbes = 2                 // unanswered probes after which it is closed
)

// dialer returns a dialer that connects from the source address, or from any if it is empty.
func dialer(source string) *net.Dialer {
	var local net.Addr
	if ip := net.ParseIP(source); ip != nil {
		local = &net.TCPAddr{IP: ip}
	}
	return &net.Dialer{
		Timeout: dialTimeout, LocalAddr: local,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// transport returns an HTTP transport with at most perHost connections to one address.
func (d *Daemon) transport(perHost int) *http.Transport {
	return newTransport(dialer(d.settings.SourceIP).DialContext, perHost)
}

// workerTransport returns the HTTP transport to workers. On a shortage of descriptors it closes the
// connections that are idle.
func (d *Daemon) workerTransport() (*http.Transport, error) {
	limit, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	transport := newTransport(nil, maxWorkerConns)
	budget := newDescriptorBudget(int(workerDescriptorShare * float64(limit)))
	transport.DialContext = withinBudget(dialer(d.settings.SourceIP).DialContext, budget, transport.CloseIdleConnections)
	return transport, nil
}

func newTransport(dial dialFunc, perHost int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}
