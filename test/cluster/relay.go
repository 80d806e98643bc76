package cluster

import (
	"io"
	"maps"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to one address and can impair them by source IP address.
type Relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	bySource   map[string]Impairment // by source IP address
	allSources Impairment            // applies to every source
	conns      map[*relayedConn]bool
	closed     bool
	silent     bool                 // set for good by GoSilent
	byteCounts map[string]ByteCount // by source IP address
}

// ByteCount counts the payload bytes that a relay forwarded for one source, without TCP and IP
// headers.
type ByteCount struct {
	FromSource int64
	ToSource   int64
}

// relayedConn is one connection through the relay. While it is cut, the relay reads and drops
// its bytes without closing it, like a network partition that drops packets silently.
type relayedConn struct {
	source          string
	client, backend net.Conn
	lostBytes       bool // bytes were dropped, so the stream cannot continue
	blackholed      bool // all further bytes are dropped
}

// Impairment describes how a relay impairs connections. The zero value forwards everything.
type Impairment struct {
	DropFromSource bool // drops what the side that opened the connection sends
	DropToSource   bool
	Delay          time.Duration // before each forwarded chunk
}

func (i Impairment) drops(toSource bool) bool {
	if toSource {
		return i.DropToSource
	}
	return i.DropFromSource
}

// NewRelay listens on address and forwards connections to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, bySource: map[string]Impairment{}, conns: map[*relayedConn]bool{}, byteCounts: map[string]ByteCount{}}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut drops the traffic of connections from a source IP address, in both directions.
func (r *Relay) Cut(source string) {
	r.Impair(source, Impairment{DropFromSource: true, DropToSource: true})
}

// Impair sets the impairment of connections from a source IP address.
func (r *Relay) Impair(source string, i Impairment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySource[source] = i
}

// Reset closes every connection with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.reset()
	}
}

// BlackholeConnections drops all further bytes of the open connections without closing them.
// New connections work.
func (r *Relay) BlackholeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.blackholed = true
	}
}

// GoSilent accepts connections and drops their bytes from now on, also after Heal, like a VM that has
// lost power for good: connections to it end by the deadlines of its peers only.
func (r *Relay) GoSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
	for c := range r.conns {
		c.blackholed = true
	}
}

func (r *Relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

// CutAll drops the traffic of every connection, in both directions.
func (r *Relay) CutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allSources = Impairment{DropFromSource: true, DropToSource: true}
}

// Heal removes all impairments. It closes connections that lost bytes, because a TCP stream
// with a gap cannot continue.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if c.lostBytes || r.isCut(c.source) {
			c.close()
		}
	}
	r.bySource = map[string]Impairment{}
	r.allSources = Impairment{}
}

// ByteCounts returns the bytes forwarded so far, by source IP address.
func (r *Relay) ByteCounts() map[string]ByteCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byteCounts)
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		c.close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *Relay) serve(client net.Conn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	c := &relayedConn{source: source, client: client, backend: client}
	if r.isSilent() {
		if r.add(c) {
			_, _ = io.Copy(io.Discard, client) // ends when either side closes the connection
		}
		r.remove(c)
		return
	}
	backend, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c.backend = backend
	if !r.add(c) {
		c.close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(c, backend, client, ByteCount{FromSource: 1}) })
	both.Go(func() { r.copy(c, client, backend, ByteCount{ToSource: 1}) })
	both.Wait()
	r.remove(c)
}

func (r *Relay) add(c *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	c.blackholed = r.silent
	r.conns[c] = true
	return true
}

func (r *Relay) remove(c *relayedConn) {
	c.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// count adds n forwarded bytes to the direction whose field in unit is 1.
func (r *Relay) count(source string, unit ByteCount, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.byteCounts[source]
	sum.FromSource += unit.FromSource * int64(n)
	sum.ToSource += unit.ToSource * int64(n)
	r.byteCounts[source] = sum
}

// isCut reports whether traffic of the source is dropped in any direction. mu must be held.
func (r *Relay) isCut(source string) bool {
	i := r.bySource[source]
	return i.DropFromSource || i.DropToSource || r.allSources.DropFromSource || r.allSources.DropToSource
}

// checkForward reports whether the next chunk of a connection is forwarded, and after which delay.
func (r *Relay) checkForward(c *relayedConn, toSource bool) (forward bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.bySource[c.source]
	if c.blackholed || i.drops(toSource) || r.allSources.drops(toSource) {
		c.lostBytes = true
	}
	return !c.lostBytes, max(i.Delay, r.allSources.Delay)
}

// propagatesClose reports whether closing one side closes the other. A cut hides the close.
func (r *Relay) propagatesClose(c *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !c.lostBytes && !c.blackholed && !r.isCut(c.source)
}

// copyBufferSize is the size of the buffer of each direction of a connection, in bytes.
const copyBufferSize = 32 << 10

func (r *Relay) copy(c *relayedConn, to, from net.Conn, unit ByteCount) {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if forward, delay := r.checkForward(c, unit.ToSource > 0); forward {
				time.Sleep(delay)
				if _, failure := to.Write(buffer[:n]); failure != nil {
					break
				}
				r.count(c.source, unit, n)
			}
		}
		if err != nil {
			break
		}
	}
	if r.propagatesClose(c) {
		c.close()
	}
}

func (c *relayedConn) reset() {
	for _, conn := range []net.Conn{c.client, c.backend} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (c *relayedConn) close() {
	_ = c.client.Close()
	_ = c.backend.Close()
}

// HealSource removes the impairment of one source and closes its connections that lost bytes.
func (r *Relay) HealSource(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.bySource, source)
	for c := range r.conns {
		if c.source == source && c.lostBytes {
			c.close()
		}
	}
}
