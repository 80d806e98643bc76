package intake

import "samphirepaddle.example/core/model"

// Activity is what happens on a connection.
type Activity uint8

// The activities.
const (
	Idle      Activity = iota // between two requests
	Receiving                 // no request yet, or one that has not arrived as a whole; a stream of messages
	Serving                   // a request has arrived as a whole
)

// Connections accounts the open connections of a process. It is not safe for concurrent use.
type Connections struct {
	limit    int
	next     ID
	conns    map[ID]*connection
	bySource map[string]int
}

type connection struct {
	id       ID
	source   string
	activity Activity
	since    model.Millis // of the last change of the activity, or when minProgress bytes had last arrived
	bytes    int64        // that have arrived since then
}

// NewConnections returns an account with a limit.
func NewConnections(limit int) *Connections {
	return &Connections{limit: max(1, limit), conns: map[ID]*connection{}, bySource: map[string]int{}}
}

// Open returns the number of open connections.
func (c *Connections) Open() int { return len(c.conns) }

// Admit decides about a new connection. If another one gives way to it, the caller closes that one; it no longer
// counts.
func (c *Connections) Admit(source string, now model.Millis) (id ID, victim ID, ok bool) {
	if len(c.conns) >= c.limit {
		found := c.victimFor(source, now)
		if found == nil {
			return 0, 0, false
		}
		victim = found.id
		c.Close(victim)
	}
	c.next++
	c.conns[c.next] = &connection{id: c.next, source: source, activity: Receiving, since: now}
	c.bySource[source]++
	return c.next, victim, true
}

// victimFor returns the connection that gives way: one whose client has stopped sending, then an idle one, then
// one of the address with most connections, if it has many more than the new one's.
func (c *Connections) victimFor(source string, now model.Millis) *connection {
	var idle, stalled, greedy *connection
	for _, other := range c.conns {
		switch {
		case other.activity == Idle && idleBefore(other, idle):
			idle = other
		case other.activity == Receiving && now-other.since >= stalledAfter && idleBefore(other, stalled):
			stalled = other
		}
		if other.activity == Serving || c.bySource[other.source] <= fairShareFactor*(c.bySource[source]+1) {
			continue
		}
		if greedy == nil || c.bySource[other.source] > c.bySource[greedy.source] ||
			(other.source == greedy.source && idleBefore(other, greedy)) {
			greedy = other
		}
	}
	for _, victim := range []*connection{stalled, idle, greedy} {
		if victim != nil {
			return victim
		}
	}
	return nil
}

// idleBefore reports whether a has been quiet for longer than b.
func idleBefore(a, b *connection) bool {
	return b == nil || a.since < b.since || (a.since == b.since && a.id < b.id)
}

// Note notes what happens on a connection.
func (c *Connections) Note(id ID, activity Activity, now model.Millis) {
	if conn, ok := c.conns[id]; ok {
		conn.activity, conn.since, conn.bytes = activity, now, 0
	}
}

// Received notes bytes of a request that has not arrived as a whole.
func (c *Connections) Received(id ID, bytes int64, now model.Millis) {
	conn, ok := c.conns[id]
	if !ok {
		return
	}
	if conn.bytes += bytes; conn.activity != Receiving || conn.bytes >= minProgress {
		c.Note(id, Receiving, now)
	}
}

// Close removes a connection.
func (c *Connections) Close(id ID) {
	conn, ok := c.conns[id]
	if !ok {
		return
	}
	delete(c.conns, id)
	if c.bySource[conn.source]--; c.bySource[conn.source] == 0 {
		delete(c.bySource, conn.source)
	}
}
