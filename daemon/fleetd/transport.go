package fleetd

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Connections to other VMs. Open connections may fall silent without a reset; the kernel
// gives one up when what was sent stays unacknowledged.
const (
	dialTimeout  = 400 * time.Millisecond
	userTimeout  = 2500 * time.Millisecond
	idleConns    = 120 * time.Second // keeping a connection costs less than opening one
	keepAlive    = 2 * time.Second   // between probes of an idle connection
	keepAliveMax = 2                 // unanswered probes after which it is closed
)

// dialer opens connections from the source address, or from any if it is empty.
func dialer(source string) *net.Dialer {
	var local net.Addr
	if ip := net.ParseIP(source); ip != nil {
		local = &net.TCPAddr{IP: ip}
	}
	return &net.Dialer{
		Timeout: dialTimeout, LocalAddr: local,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveMax,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// transport returns a transport with at most perHost connections to one address.
func (d *Daemon) transport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:         dialer(d.settings.SourceIP).DialContext,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     idleConns,
		DisableCompression:  true,
	}
}
