package main

import (
	"net"
	"sync"
	"time"
)

// refusalTimeout limits the time to write refusalResponse.
const refusalTimeout = 100 * time.Millisecond

// refusalResponse is sent on connections over the limit. Their request is not read.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Samphire-Verdict: not-run\r\n" +
	"Retry-After: 1\r\n" +
	"Connection: close\r\n" +
	"Content-Length: 0\r\n\r\n"

// limitedListener accepts a limited number of open connections. It refuses further ones with a
// response, because their callers would otherwise wait for a response until a connection closes.
type limitedListener struct {
	net.Listener
	tokens chan struct{} // holds one element for each open connection
}

func limitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, tokens: make(chan struct{}, limit)}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.tokens })}, nil
		default:
			refuseConnection(c)
		}
	}
}

// refuseConnection sends refusalResponse and closes the connection. It does not block, because the
// response fits into the send buffer of a new connection.
func refuseConnection(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusalResponse))
	_ = c.Close()
}

// limitedConn is a connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
