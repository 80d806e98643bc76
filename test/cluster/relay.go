package cluster

import (
	"maps"
	"net"
	"sync"
)

// Relay passes TCP connections on to one address and can cut them by source.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    map[string]bool // source IP addresses whose traffic is dropped
	all    bool            // every source is cut
	conns  map[*relayed]bool
	closed bool
	bytes  map[string]Bytes // by source IP address
}

// Bytes counts what a relay passed on for one source. Headers of TCP and IP are not included.
type Bytes struct {
	FromSource int64
	ToSource   int64
}

// relayed is one connection through the relay. While it is cut, bytes are read and dropped in
// both directions without closing it, as a silent partition does.
type relayed struct {
	source          string
	client, backend net.Conn
}

// NewRelay listens on address and passes connections on to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, cut: map[string]bool{}, conns: map[*relayed]bool{}, bytes: map[string]Bytes{}}
	go r.accept()
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut drops the traffic of connections that come from a source IP address.
func (r *Relay) Cut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[source] = true
}

// CutAll drops the traffic of every connection.
func (r *Relay) CutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = true
}

// Heal lets traffic pass again. Connections that lost bytes are closed, because a TCP
// stream with a gap cannot go on.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if r.all || r.cut[c.source] {
			c.close()
		}
	}
	r.cut = map[string]bool{}
	r.all = false
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

func (r *Relay) isCut(source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all || r.cut[source]
}

// copyBytes is the size of the relay's buffer.
const copyBytes = 32 << 10

func (r *Relay) copy(c *relayed, to, from net.Conn, unit Bytes) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isCut(c.source) {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				break
			}
			r.count(c.source, unit, n)
		}
		if err != nil {
			break
		}
	}
	if !r.isCut(c.source) {
		c.close()
	}
}

func (c *relayed) close() {
	_ = c.client.Close()
	_ = c.backend.Close()
}
