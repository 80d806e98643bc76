package cluster

import (
	"maps"
	"net"
	"sync"
	"time"
)

// Relay passes TCP connections on to one address and can cut them by source.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults map[string]Impairment // by source IP address
	every  Impairment            // of all sources
	conns  map[*relayed]bool
	closed bool
	bytes  map[string]Bytes // by source IP address
}

// Bytes counts what a relay passed on for one source. Headers of TCP and IP are not included.
type Bytes struct {
	FromSource int64
	ToSource   int64
}

// relayed is one connection through the relay. While it is cut, bytes are read and dropped
// without closing it, as a silent partition does.
type relayed struct {
	source          string
	client, backend net.Conn
	broken          bool // bytes were lost, so that the stream cannot go on
	silent          bool // for good
}

// Impairment is what a relay does to connections. The zero value passes everything on.
type Impairment struct {
	DropFromSource bool // what the side sends that opened the connection
	DropToSource   bool
	Delay          time.Duration // of each piece that is passed on
}

func (i Impairment) drops(toSource bool) bool {
	if toSource {
		return i.DropToSource
	}
	return i.DropFromSource
}

// NewRelay listens on address and passes connections on to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, faults: map[string]Impairment{}, conns: map[*relayed]bool{}, bytes: map[string]Bytes{}}
	go r.accept()
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut drops the traffic of connections that come from a source IP address.
func (r *Relay) Cut(source string) {
	r.Impair(source, Impairment{DropFromSource: true, DropToSource: true})
}

// Impair changes what happens to connections that come from a source IP address.
func (r *Relay) Impair(source string, i Impairment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[source] = i
}

// Reset closes every connection with a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.reset()
	}
}

// Silence drops for good what open connections carry, without closing them; new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent = true
	}
}

// CutAll drops the traffic of every connection.
func (r *Relay) CutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.every = Impairment{DropFromSource: true, DropToSource: true}
}

// Heal lets traffic pass again. Connections that lost bytes are closed, because a TCP
// stream with a gap cannot go on.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if c.broken || r.isCut(c.source) {
			c.close()
		}
	}
	r.faults = map[string]Impairment{}
	r.every = Impairment{}
}

// Bytes returns what was passed on so far, by source IP address.
func (r *Relay) Bytes() map[string]Bytes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.bytes)
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
	backend, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayed{source: source, client: client, backend: backend}
	if !r.add(c) {
		c.close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(c, backend, client, Bytes{FromSource: 1}) })
	both.Go(func() { r.copy(c, client, backend, Bytes{ToSource: 1}) })
	both.Wait()
	r.remove(c)
}

func (r *Relay) add(c *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) remove(c *relayed) {
	c.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// count adds n bytes in the direction that unit names.
func (r *Relay) count(source string, unit Bytes, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.bytes[source]
	sum.FromSource += unit.FromSource * int64(n)
	sum.ToSource += unit.ToSource * int64(n)
	r.bytes[source] = sum
}

// isCut reports whether a direction of the source is cut; mu is held.
func (r *Relay) isCut(source string) bool {
	i := r.faults[source]
	return i.DropFromSource || i.DropToSource || r.every.DropFromSource || r.every.DropToSource
}

// admit reports whether a piece of a connection is passed on, and after which delay.
func (r *Relay) admit(c *relayed, toSource bool) (pass bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.faults[c.source]
	if c.silent || i.drops(toSource) || r.every.drops(toSource) {
		c.broken = true
	}
	return !c.broken, max(i.Delay, r.every.Delay)
}

// ends reports whether the end of one side closes the other: a cut hides it.
func (r *Relay) ends(c *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !c.broken && !c.silent && !r.isCut(c.source)
}

// copyBytes is the size of the relay's buffer.
const copyBytes = 32 << 10

func (r *Relay) copy(c *relayed, to, from net.Conn, unit Bytes) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if pass, delay := r.admit(c, unit.ToSource > 0); pass {
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
	if r.ends(c) {
		c.close()
	}
}

func (c *relayed) reset() {
	for _, conn := range []net.Conn{c.client, c.backend} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (c *relayed) close() {
	_ = c.client.Close()
	_ = c.backend.Close()
}

// HealSource lets the traffic of one source pass again.
func (r *Relay) HealSource(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faults, source)
	for c := range r.conns {
		if c.source == source && c.broken {
			c.close()
		}
	}
}
