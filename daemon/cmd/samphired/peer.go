package main

import (
	"net"
	"net/http"
)

// peerTransport returns the HTTP transport for calls to other daemons. Their source address is the
// IP address of the peer listener, so that firewall rules need only one address for each daemon.
func peerTransport(listen string) *http.Transport {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	if ip := peerListenIP(listen); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connsPerPeer,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
}

// peerListenIP returns the IP address of the peer listener, or nil if it listens on all addresses.
func peerListenIP(listen string) net.IP {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip.IsUnspecified() {
		return nil
	}
	return ip
}
