// Package crowd tests the daemons against clients that the operators do not control: crowds that hold
// connections, send large bodies and stop just short of their end. The daemons run as processes on
// loopback addresses. The tests check that the processes live, that their memory and descriptors stay
// under a bound and that ordinary requests are answered; they measure no times.
package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// shape is how a crowd sends its bodies.
type shape string

// The shapes.
const (
	wholeBodies  shape = "whole bodies"
	inPieces     shape = "bodies piece by piece"
	largeChunks  shape = "large chunks"
	singleBytes  shape = "chunks of one byte"
	pieceBytes         = 16 << 10
	chunkBytes         = 64 << 10
	finishEvery        = 16 // one of so many clients sends its body to the end
	dialParallel       = 32
	dialTimeout        = 2 * time.Second
)

// crowd is a number of clients that send requests of the same kind.
type crowd struct {
	addr    string
	clients int
	shape   shape
	request func(client int) (head, body string) // head without the framing headers and the empty line
	play    func(conn net.Conn, client int)      // replaces shape and request, if set
	source  string                               // address of the clients; any if empty

	mu    sync.Mutex
	conns []net.Conn
}

// gather connects the clients and has each of them send what it sends. The connections stay open. A client
// whose connection is closed or refused gives up.
func (c *crowd) gather() {
	turns := make(chan struct{}, dialParallel)
	var sending sync.WaitGroup
	for client := range c.clients {
		turns <- struct{}{}
		sending.Add(1)
		go func() {
			defer func() { <-turns; sending.Done() }()
			conn, err := c.dial()
			if err != nil {
				return
			}
			if c.play != nil {
				c.play(conn, client)
				return
			}
			c.send(conn, client)
		}()
	}
	sending.Wait()
}

// dial connects a client. A daemon whose queue of new connections is full lets it wait.
func (c *crowd) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.source)}
	}
	conn, err := dialer.Dial("tcp", c.addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn, nil
}

// send writes one request, for most clients without its last byte. A failed write means that the daemon has
// closed the connection, which it may.
func (c *crowd) send(conn net.Conn, client int) {
	head, body := c.request(client)
	finishes := client%finishEvery == 0
	sent, end := body[:len(body)-1], body[len(body)-1:]
	var err error
	write := func(text string) {
		if err == nil {
			_, err = io.WriteString(conn, text)
		}
	}
	switch c.shape {
	case wholeBodies:
		write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), sent))
	case inPieces:
		write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)))
		for start := 0; start < len(sent); start += pieceBytes {
			write(sent[start:min(start+pieceBytes, len(sent))])
		}
	default:
		write(head + "Transfer-Encoding: chunked\r\n\r\n")
		for start, size := 0, c.chunkSize(); start < len(body); start += size {
			piece := body[start:min(start+size, len(body))]
			write(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
		}
		end = "0\r\n\r\n"
	}
	if finishes {
		write(end)
	}
}

func (c *crowd) chunkSize() int {
	if c.shape == singleBytes {
		return 1
	}
	return chunkBytes
}

// gatherAll gathers crowds at the same time.
func gatherAll(crowds ...*crowd) {
	var gathering sync.WaitGroup
	for _, c := range crowds {
		gathering.Go(c.gather)
	}
	gathering.Wait()
}

// leave closes the connections of all clients.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// paddedJob returns a job of the users' platform whose body has exactly the given size.
func paddedJob(size int) string {
	const start, end = `{"spec":"text","phases":[{"count":1,"cpu":100,"mem-mb":10}],"pad":"`, `"}`
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}
