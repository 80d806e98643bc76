package intake

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/model"
)

const kib = 1 << 10

// fill opens bodies of one address until the account grants no more.
func fill(b *Bodies, source string, bytes int64, now model.Millis) (ids []ID) {
	for {
		id := b.Open(source, now)
		if verdict, _ := b.Grow(id, bytes, now); verdict != Granted {
			b.Close(id)
			return ids
		}
		ids = append(ids, id)
	}
}

// Guards against bodies whose senders have stopped and which hold the memory that others need.
func TestBodiesThatStalledGiveWayFirst(t *testing.T) {
	b := NewBodies(1024 * kib)
	stalled := fill(b, "crowd", 64*kib, 0)
	moving := stalled[0]
	if verdict, _ := b.Grow(moving, 0, 400); verdict != Granted {
		t.Fatal("a body without new bytes is not granted")
	}
	next := b.Open("crowd", 400)
	if verdict, victims := b.Grow(next, 64*kib, 400); verdict != Wait || len(victims) != 0 {
		t.Fatalf("while all make progress: verdict %d, victims %v", verdict, victims)
	}
	verdict, victims := b.Grow(next, 64*kib, 600)
	if verdict != Granted || len(victims) != 1 || victims[0] != stalled[1] {
		t.Fatalf("verdict %d, victims %v, want the one that has stalled for longest, %d", verdict, victims, stalled[1])
	}
	if verdict, _ := b.Grow(victims[0], 1, 601); verdict != Refused {
		t.Error("a body that was given up grows")
	}
}

// Guards against a crowd of large bodies that shuts out small requests, and against a limit that refuses a
// single legal request.
func TestSmallAndSingleBodiesFindRoom(t *testing.T) {
	b := NewBodies(1024 * kib)
	fill(b, "crowd", 64*kib, 0)
	small := b.Open("crowd", 1)
	if verdict, _ := b.Grow(small, 2*kib, 1); verdict != Granted {
		t.Error("a small body finds no room beside large ones")
	}
	alone := NewBodies(1 * kib)
	if verdict, _ := alone.Grow(alone.Open("a", 0), 4096*kib, 0); verdict != Granted {
		t.Error("a body that is alone is not granted")
	}
}

// Guards against an address with many bodies in progress that shuts out another one, and against bodies that
// were read completely and are given up.
func TestOneAddressDoesNotShutOutOthers(t *testing.T) {
	b := NewBodies(1024 * kib)
	crowd := fill(b, "crowd", 64*kib, 0)
	for _, id := range crowd[1:] {
		b.Complete(id)
	}
	other := b.Open("other", 10)
	if verdict, _ := b.Grow(other, 40*kib, 10); verdict != Wait {
		t.Fatalf("verdict %d: one body of 64 KiB does not make an address greedy", verdict)
	}
	b = NewBodies(1024 * kib)
	crowd = fill(b, "crowd", 64*kib, 0)
	other = b.Open("other", 10)
	if verdict, victims := b.Grow(other, 40*kib, 10); verdict != Granted || len(victims) != 1 || victims[0] != crowd[0] {
		t.Errorf("verdict %d, victims %v", verdict, victims)
	}
}

// Guards against bytes that stay in the account after their bodies are closed.
func TestClosedBodiesHoldNothing(t *testing.T) {
	b := NewBodies(256 * kib)
	for i := range 100 {
		now := model.Millis(i * 1000)
		for _, id := range fill(b, fmt.Sprint(i%3), 20*kib, now) {
			if i%2 == 0 {
				b.Complete(id)
			}
			defer b.Close(id)
		}
	}
	for id := range b.bodies {
		b.Close(id)
	}
	if b.Held() != 0 || len(b.bySource) != 0 {
		t.Errorf("%d bytes and %d addresses are left", b.Held(), len(b.bySource))
	}
}

// Guards against connections that are opened and left and keep ordinary callers out, and against the loss of
// requests that are being served.
func TestConnectionsThatGiveWay(t *testing.T) {
	c := NewConnections(3)
	admit := func(source string, now model.Millis) ID {
		id, _, ok := c.Admit(source, now)
		if !ok {
			t.Fatalf("a connection of %s is not admitted", source)
		}
		return id
	}
	serving, left, idle := admit("a", 0), admit("a", 0), admit("a", 0)
	c.Note(serving, Serving, 0)
	c.Note(idle, Idle, 100)
	if _, victim, ok := c.Admit("a", 200); !ok || victim != idle {
		t.Fatalf("connection %d gave way, want the idle one, %d", victim, idle)
	}
	if _, _, ok := c.Admit("a", 300); ok {
		t.Error("a connection was admitted although all others are in use")
	}
	if _, victim, ok := c.Admit("a", 600); !ok || victim != left {
		t.Fatalf("connection %d gave way, want the one that was left, %d", victim, left)
	}
	for id := range c.conns {
		c.Note(id, Serving, 700)
	}
	if _, _, ok := c.Admit("b", 10_000); ok || c.Open() != 3 {
		t.Error("a connection that serves a request gave way")
	}
}

// Guards against one address whose connections all send slowly and keep others out.
func TestManyConnectionsOfOneAddressGiveWay(t *testing.T) {
	c := NewConnections(8)
	for range 8 {
		c.Admit("crowd", 0)
	}
	if _, victim, ok := c.Admit("other", 10); !ok || victim == 0 {
		t.Error("another address is kept out")
	}
	if _, _, ok := c.Admit("crowd", 10); ok {
		t.Error("the crowd closes its own connections")
	}
}
