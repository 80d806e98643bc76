// Package intake decides which clients a process goes on with when more of them press in than it has memory
// or descriptors for. It answers crowds that send large bodies and stop short of their end, or open connections
// and leave them. It does no I/O: the caller reports what arrives and closes what the decisions name.
//
// Clients that have stopped sending give way first. If all go on, the address that holds most gives way to one
// that holds less than half as much. Requests that were read completely are never given up.
package intake

import (
	"cmp"

	"samphirepaddle.example/core/model"
)

const (
	// stalledAfter is the time without a byte after which a client counts as one that has stopped sending. A
	// lost packet is sent again within a fraction of it.
	stalledAfter = model.Millis(500)
	// minProgress is the number of bytes that count as progress. A client that sends a byte now and then has stopped
	// sending for all that others get from it.
	minProgress = 1 << 10
	// smallBody is the size up to which a body may use the whole budget. Larger ones leave a part of it to
	// ordinary requests, which are small.
	smallBody       = 16 << 10
	largeBodyShare  = 0.75
	fairShareFactor = 2 // an address gives way to one that holds less than its own part divided by this factor
)

// ID identifies a body or a connection.
type ID uint64

// Verdict is the decision about bytes that have arrived.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota
	Wait            // there is no room now; the client should not be read from meanwhile
	Refused         // the body was given up, before or by this decision
)

// Bodies accounts the memory of the request bodies that a process holds. It is not safe for concurrent use.
type Bodies struct {
	limit    int64
	held     int64
	next     ID
	bodies   map[ID]*body
	bySource map[string]int64 // bytes held by the bodies that are not complete
}

type body struct {
	id         ID
	source     string
	held       int64
	progressAt model.Millis // when minProgress bytes had last arrived
	sinceThen  int64        // bytes that have arrived since then
	expected   int64        // declared size when it has arrived as a whole; 0 if not known
	waiting    bool         // the process does not read from the client for want of room
	wanted     int64        // bytes that it waits for
	complete   bool
	givenUp    bool
}

// NewBodies returns an account with a limit in bytes.
func NewBodies(limit int64) *Bodies {
	return &Bodies{limit: limit, bodies: map[ID]*body{}, bySource: map[string]int64{}}
}

// Held returns the bytes held.
func (b *Bodies) Held() int64 { return b.held }

// Open adds the body of a request from an address.
func (b *Bodies) Open(source string, now model.Millis) ID {
	b.next++
	b.bodies[b.next] = &body{id: b.next, source: source, progressAt: now}
	return b.next
}

// Expect notes the size that a body will have when it has arrived as a whole.
func (b *Bodies) Expect(id ID, bytes int64) {
	if body, ok := b.bodies[id]; ok {
		body.expected = bytes
	}
}

// Grow decides about bytes that have arrived of a body, and returns the bodies that are given up for them. The
// caller closes the connections of these.
func (b *Bodies) Grow(id ID, bytes int64, now model.Millis) (Verdict, []ID) {
	grown, ok := b.bodies[id]
	if !ok || grown.givenUp {
		return Refused, nil
	}
	var victims []ID
	for !b.fits(grown, bytes) {
		victim := cmp.Or(b.victimFor(grown, bytes, now), b.lastOfDeadlock(grown))
		if victim == nil && b.waitsInVain(grown, bytes) {
			victim = grown
		}
		switch victim {
		case nil:
			grown.waiting, grown.wanted = true, bytes
			return Wait, victims
		case grown:
			b.giveUp(grown)
			return Refused, victims
		}
		b.giveUp(victim)
		victims = append(victims, victim.id)
	}
	grown.noteProgress(bytes, now)
	b.Hold(id, bytes)
	return Granted, victims
}

// noteProgress notes bytes that are granted. The time for which a body has waited is not its client's fault.
func (b *body) noteProgress(bytes int64, now model.Millis) {
	if b.sinceThen += bytes; b.waiting || b.sinceThen >= minProgress {
		b.progressAt, b.sinceThen, b.waiting = now, 0, false
	}
}

// Hold accounts bytes that the process holds already, whatever room there is.
func (b *Bodies) Hold(id ID, bytes int64) {
	if body, ok := b.bodies[id]; ok {
		body.held += bytes
		b.held += bytes
		if !body.complete {
			b.bySource[body.source] += bytes
		}
	}
}

// fits reports whether the body may hold so many more bytes. A body that is alone always fits: the process must
// serve each legal request in calm.
func (b *Bodies) fits(grown *body, bytes int64) bool {
	limit := b.limit
	if grown.held+bytes > smallBody {
		limit = int64(largeBodyShare * float64(b.limit))
	}
	return b.held+bytes <= limit || b.held == grown.held
}

// victimFor returns the body to give up first, or nil if all others have a better claim than the grown one.
func (b *Bodies) victimFor(grown *body, bytes int64, now model.Millis) *body {
	var stalled, greedy *body
	for _, other := range b.bodies {
		if other == grown || other.complete || other.givenUp || other.held == 0 {
			continue
		}
		if !other.waiting && now-other.progressAt >= stalledAfter && olderThan(other, stalled) {
			stalled = other
		}
		claim := fairShareFactor * (b.bySource[grown.source] + bytes)
		if other.source != grown.source && b.bySource[other.source] > claim && (greedy == nil || b.bySource[other.source] > b.bySource[greedy.source] ||
			(other.source == greedy.source && olderThan(other, greedy))) {
			greedy = other
		}
	}
	return cmp.Or(stalled, greedy)
}

// lastOfDeadlock returns the body that was opened last if all bodies with memory wait for more, so that none of them would
// release any. It is nil if one of them may go on or is being served.
func (b *Bodies) lastOfDeadlock(grown *body) *body {
	last := grown
	for _, other := range b.bodies {
		if other == grown || other.givenUp || other.held == 0 {
			continue
		}
		if !other.waiting {
			return nil
		}
		if other.id > last.id {
			last = other
		}
	}
	return last
}

// waitsInVain reports whether the bodies that were opened earlier and wait need so much that the grown one finds no room
// when everything that is held now has been released. It answers crowds of large bodies that all go on: the queue for
// memory stays as short as what it can serve.
func (b *Bodies) waitsInVain(grown *body, bytes int64) bool {
	var ahead int64
	for _, other := range b.bodies {
		if other.waiting && other.id < grown.id {
			ahead += other.needs(other.wanted)
		}
	}
	return ahead > 0 && ahead+grown.needs(bytes) > int64(largeBodyShare*float64(b.limit))
}

// needs returns the memory that a body asks for in all, if it asks for so many more bytes now. A declared length counts
// up to twice of what the client has really sent, so that a false one makes nobody else give up.
func (b *body) needs(bytes int64) int64 {
	sent := b.held + bytes
	return max(sent, min(b.expected, 2*sent))
}

// olderThan reports whether a has made no progress for longer than b.
func olderThan(a, b *body) bool {
	return b == nil || a.progressAt < b.progressAt || (a.progressAt == b.progressAt && a.id < b.id)
}

func (b *Bodies) giveUp(victim *body) {
	b.release(victim)
	victim.givenUp, victim.waiting = true, false
}

// GiveUp gives up a body that has waited for too long.
func (b *Bodies) GiveUp(id ID) {
	if body, ok := b.bodies[id]; ok && !body.givenUp {
		b.giveUp(body)
	}
}

// Complete notes that a body has arrived as a whole. It is held until Close.
func (b *Bodies) Complete(id ID) {
	if body, ok := b.bodies[id]; ok && !body.complete && !body.givenUp {
		b.dropSource(body.source, body.held)
		body.complete = true
	}
}

// Close releases a body.
func (b *Bodies) Close(id ID) {
	if body, ok := b.bodies[id]; ok {
		b.release(body)
		delete(b.bodies, id)
	}
}

func (b *Bodies) release(body *body) {
	b.held -= body.held
	if !body.complete {
		b.dropSource(body.source, body.held)
	}
	body.held = 0
}

func (b *Bodies) dropSource(source string, bytes int64) {
	if b.bySource[source] -= bytes; b.bySource[source] <= 0 {
		delete(b.bySource, source)
	}
}
