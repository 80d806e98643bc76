// Package intake protects a process from clients that hold its memory or descriptors: it accounts request bodies,
// answers and connections, and closes those that the decisions in core/intake name. A client whose request is given
// up gets a refusal, which is true: the request has not arrived as a whole, so it has not run and never will.
package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/intake"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/bootclock"
)

// Counters receives the counts of a Guard.
type Counters interface {
	Count(name, what string, by int)
	SetGauge(name string, value int)
}

// Options are the settings of a Guard.
type Options struct {
	BodyBytes int64 // memory for request bodies, with their copies
	Listener  intake.ListenerBudget
	Counters  Counters
	Logger    zerolog.Logger
	// Refusal is sent on connections that are not admitted; nothing if empty.
	Refusal string
	// WriteTimeout bounds the time in which a client takes a part of an answer; unlimited if zero.
	WriteTimeout time.Duration
	// Refuse answers a request that was given up. Its default is 503 with Retry-After.
	Refuse func(http.ResponseWriter, *http.Request)
}

// Guard accounts what clients hold of one process. No lock is taken while mu is held, and no connection is called.
type Guard struct {
	options Options
	crowd   crowdLog

	mu     sync.Mutex
	bodies *intake.Bodies
	conns  *intake.Connections
	open   map[intake.ID]*conn     // by connection
	reads  map[intake.ID]*bodyRead // by body
	freed  chan struct{}           // closed when memory is released
}

// New returns a Guard.
func New(o Options) *Guard {
	if o.Refuse == nil {
		o.Refuse = refuse
	}
	return &Guard{
		options: o, crowd: crowdLog{logger: o.Logger}, bodies: intake.NewBodies(o.BodyBytes), conns: intake.NewConnections(o.Listener.Connections),
		open: map[intake.ID]*conn{}, reads: map[intake.ID]*bodyRead{}, freed: make(chan struct{}),
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func now() model.Millis { return model.Millis(time.Duration(bootclock.Now()).Milliseconds()) }

// conn is a connection that counts until it is closed.
type conn struct {
	net.Conn
	guard *Guard
	id    intake.ID
	once  sync.Once
}

// Close closes the connection and releases its place.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.conns.Close(c.id)
		delete(c.guard.open, c.id)
	})
	return c.Conn.Close()
}

func (c *conn) note(a intake.Activity) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.conns.Note(c.id, a, now())
}

func (c *conn) received(bytes int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.conns.Received(c.id, bytes, now())
}

// sourceOf returns the address of a client without its port.
func sourceOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// Listener returns a listener that admits connections within the limit. If it is reached, a connection
// gives way that nobody uses; without one, the new one is refused at once, so that its client moves on.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		l.guard.refuse(raw)
	}
}

// refusalTimeout limits the time to send a refusal, which fits into the send buffer of a new connection.
const refusalTimeout = 100 * time.Millisecond

func (g *Guard) refuse(raw net.Conn) {
	if g.options.Refusal != "" {
		_ = raw.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = raw.Write([]byte(g.options.Refusal)) // the client may be gone
	}
	_ = raw.Close()
}

func (g *Guard) admit(raw net.Conn) *conn {
	g.mu.Lock()
	id, victim, ok := g.conns.Admit(sourceOf(raw.RemoteAddr().String()), now())
	gaveWay := g.open[victim]
	var c *conn
	if ok {
		c = &conn{Conn: raw, guard: g, id: id}
		g.open[id] = c
	}
	g.mu.Unlock()
	switch {
	case !ok:
		g.count("connections", "refused")
	case gaveWay != nil:
		g.count("connections", "gave_way")
		gaveWay.Close()
	}
	return c
}

// count counts a client that was refused or closed and logs the crowd.
func (g *Guard) count(name, what string) {
	if g.options.Counters != nil {
		g.options.Counters.Count("intake_"+name, what, 1)
	}
	g.crowd.note(name, what, bootclock.Now())
}

type connKey struct{}

// Attach has the server report what happens on its connections.
func (g *Guard) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		counted, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive, http.StateHijacked:
			counted.note(intake.Receiving)
		case http.StateIdle:
			counted.note(intake.Idle)
		}
	}
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
