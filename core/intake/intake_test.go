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
	b.Close(stalled[len(stalled)-1])
	moving := stalled[0]
	if verdict, _ := b.Grow(moving, minProgress, 400); verdict != Granted {
		t.Fatal("a body that goes on is not granted")
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

// Guards against bodies whose senders send a byte now and then and so keep the memory that others need.
func TestBodiesThatTrickleGiveWay(t *testing.T) {
	b := NewBodies(1024 * kib)
	slow := fill(b, "crowd", 64*kib, 0)
	b.Close(slow[len(slow)-1])
	for now := model.Millis(50); now <= 600; now += 50 {
		for _, id := range slow[:len(slow)-1] {
			if verdict, _ := b.Grow(id, 3, now); verdict != Granted {
				t.Fatalf("verdict %d at %d ms", verdict, now)
			}
		}
	}
	if verdict, victims := b.Grow(b.Open("crowd", 600), 64*kib, 600); verdict != Granted || len(victims) == 0 {
		t.Errorf("verdict %d, victims %v: bodies that send a byte now and then keep their memory", verdict, victims)
	}
}

// Guards against a body that gives way because it had to wait for memory.
func TestWaitingIsNotStalling(t *testing.T) {
	b := NewBodies(1024 * kib)
	filled := fill(b, "crowd", 64*kib, 0)
	waiting := b.Open("crowd", 0)
	if verdict, _ := b.Grow(waiting, 64*kib, 0); verdict != Wait {
		t.Fatal("there is room")
	}
	b.Close(filled[0])
	if verdict, _ := b.Grow(waiting, 64*kib, 900); verdict != Granted {
		t.Fatal("there is no room")
	}
	next := b.Open("crowd", 910)
	if verdict, victims := b.Grow(next, 64*kib, 910); verdict != Granted || victims[0] == waiting {
		t.Errorf("verdict %d, victims %v", verdict, victims)
	}
}

// Guards against large bodies of legal clients that each hold a part of the memory, wait for each other and are all
// refused, although one after the other would fit.
func TestBodiesThatWaitForEachOther(t *testing.T) {
	b := NewBodies(1024 * kib)
	first, second := b.Open("a", 0), b.Open("a", 0)
	for _, id := range []ID{first, second} {
		if verdict, _ := b.Grow(id, 350*kib, 0); verdict != Granted {
			t.Fatalf("verdict %d", verdict)
		}
	}
	if verdict, _ := b.Grow(first, 100*kib, 10); verdict != Wait {
		t.Fatalf("verdict %d while the other one may go on", verdict)
	}
	if verdict, victims := b.Grow(second, 100*kib, 20); verdict != Refused || len(victims) != 0 {
		t.Fatalf("verdict %d, victims %v, want the later one refused at once", verdict, victims)
	}
	if verdict, _ := b.Grow(first, 100*kib, 30); verdict != Granted {
		t.Errorf("verdict %d for the earlier one", verdict)
	}
	third := b.Open("a", 40)
	if verdict, _ := b.Grow(third, 300*kib, 40); verdict != Granted {
		t.Fatalf("verdict %d", verdict)
	}
	if verdict, _ := b.Grow(third, 100*kib, 40); verdict != Wait {
		t.Fatalf("verdict %d while the other one may go on", verdict)
	}
	if verdict, victims := b.Grow(first, 100*kib, 50); verdict != Granted || len(victims) != 1 || victims[0] != third {
		t.Errorf("verdict %d, victims %v, want the later one to give way", verdict, victims)
	}
}

// Guards against a body that waits for its deadline although earlier ones need all the memory that can be released.
func TestBodyThatWaitsInVainIsRefusedAtOnce(t *testing.T) {
	b := NewBodies(1024 * kib)
	served := b.Open("a", 0)
	b.Hold(served, 700*kib)
	b.Complete(served)
	var waiting []ID
	ask := func(declared int64) Verdict {
		id := b.Open("a", 0)
		b.Expect(id, declared)
		waiting = append(waiting, id)
		verdict, _ := b.Grow(id, 100*kib, 0)
		return verdict
	}
	for range 3 { // each needs up to 200 KiB, and 768 can be released
		if verdict := ask(1 << 60); verdict != Wait {
			t.Fatalf("verdict %d: a declared length that nobody has sent makes others give up", verdict)
		}
	}
	if verdict := ask(200 * kib); verdict != Refused {
		t.Errorf("verdict %d for a body behind others that need all the memory", verdict)
	}
	b.Close(served)
	for _, id := range waiting[:3] {
		if verdict, _ := b.Grow(id, 200*kib, 10); verdict != Granted {
			t.Errorf("verdict %d after memory was released", verdict)
		}
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

// Guards against connections of daemons and callers, idle between two requests, that are closed for those of a crowd
// that sends nothing.
func TestStalledConnectionsGiveWayBeforeIdleOnes(t *testing.T) {
	c := NewConnections(2)
	idle, _, _ := c.Admit("a", 0)
	c.Note(idle, Idle, 0)
	stalled, _, _ := c.Admit("a", 100)
	if _, victim, ok := c.Admit("a", 700); !ok || victim != stalled {
		t.Errorf("connection %d gave way, want the stalled one, %d", victim, stalled)
	}
}

// Guards against connections whose clients send a byte now and then and so keep all others out.
func TestConnectionsThatTrickleGiveWay(t *testing.T) {
	c := NewConnections(8)
	var ids []ID
	for range 8 {
		id, _, _ := c.Admit("crowd", 0)
		ids = append(ids, id)
	}
	for now := model.Millis(50); now <= 600; now += 50 {
		for _, id := range ids[1:] {
			c.Received(id, 1, now)
		}
		c.Received(ids[0], minProgress, now)
	}
	if _, victim, ok := c.Admit("crowd", 600); !ok || victim != ids[1] {
		t.Errorf("connection %d gave way, want %d", victim, ids[1])
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
