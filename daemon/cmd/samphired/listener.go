package main

import (
	"net"
	"sync"
	"time"
)

// refusalTimeout bounds the write of the answer to a connection beyond the limit.
const refusalTimeout = 100 * time.Millisecond

// refusal answers a connection beyond the limit. Nothing of its request was read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Samphire-Verdict: not-run\r\n" +
	"Retry-After: 1\r\n" +
	"Connection: close\r\n" +
	"Content-Length: 0\r\n\r\n"

// limitedListener refuses connections beyond a limit instead of letting them wait without
// an answer.
type limitedListener struct {
	net.Listener
	places chan struct{}
}

func limitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, places: make(chan struct{}, limit)}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &limitedConn{Conn: c, give: sync.OnceFunc(func() { <-l.places })}, nil
		default:
			refuseConnection(c)
		}
	}
}

// refuseConnection never blocks: the answer fits into the send buffer of a new connection.
func refuseConnection(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusal))
	_ = c.Close()
}

type limitedConn struct {
	net.Conn
	give func()
}

func (c *limitedConn) Close() error {
	c.give()
	return c.Conn.Close()
}
