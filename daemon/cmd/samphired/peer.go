package main

import (
	"net"
	"net/http"
)

// peerTransport returns the transport for calls to other daemons. Calls leave from the
// address of the peer listener, so that network rules see one address for each daemon.
func peerTransport(listen string) *http.Transport {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	if ip := peerIP(listen); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connsPerPeer,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
}

// peerIP returns the address of the peer listener, nil if it listens on every address.
func peerIP(listen string) net.IP {
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
