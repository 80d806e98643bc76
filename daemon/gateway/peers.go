package gateway

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

// Times of the corrections to the peers' summaries.
const (
	// correctionFor is how long a peer's own answer overrides its summary, which is renewed
	// at least every 250 ms.
	correctionFor = 250 * time.Millisecond
	refusedPause  = 50 * time.Millisecond // after a peer had no room
	failedPause   = time.Second           // after a peer did not answer; its session ends in 1.7 s
)

var errCrossed = errors.New("the answer belongs to another request")

// peerTable corrects the peers' free-slot summaries by what forwards report. It is safe for
// concurrent use.
type peerTable struct {
	mu       sync.Mutex
	learned  map[peerPool]correction
	pausedTo map[model.GatewayID]time.Time
}

type peerPool struct {
	peer model.GatewayID
	pool model.PoolID
}

type correction struct {
	free  int32
	until time.Time
}

func newPeerTable() *peerTable {
	return &peerTable{
		learned:  map[peerPool]correction{},
		pausedTo: map[model.GatewayID]time.Time{},
	}
}

// free returns the believed free slots of a peer. The caller holds t.mu.
func (t *peerTable) free(peer syncmsg.Peer, pool model.PoolID, now time.Time) int32 {
	if now.Before(t.pausedTo[peer.ID]) {
		return 0
	}
	if c, ok := t.learned[peerPool{peer.ID, pool}]; ok && now.Before(c.until) {
		return c.free
	}
	return peer.FreeQuick[pool]
}

// choose returns the peer with more free slots of two chosen at random, and counts one slot
// of it as taken.
func (t *peerTable) choose(peers []syncmsg.Peer, pool model.PoolID) (syncmsg.Peer, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var usable []syncmsg.Peer
	for _, peer := range peers {
		if t.free(peer, pool, now) > 0 {
			usable = append(usable, peer)
		}
	}
	if len(usable) == 0 {
		return syncmsg.Peer{}, false
	}
	best := usable[rand.IntN(len(usable))]
	if other := usable[rand.IntN(len(usable))]; t.free(other, pool, now) > t.free(best, pool, now) {
		best = other
	}
	t.learned[peerPool{best.ID, pool}] = correction{t.free(best, pool, now) - 1, now.Add(correctionFor)}
	return best, true
}

func (t *peerTable) anyFree(peers []syncmsg.Peer, pool model.PoolID) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range peers {
		if t.free(peer, pool, now) > 0 {
			return true
		}
	}
	return false
}

// learn stores the free slots that a peer stated with an answer.
func (t *peerTable) learn(peer model.GatewayID, pool model.PoolID, text string) {
	free, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[peerPool{peer, pool}] = correction{int32(free), time.Now().Add(correctionFor)}
}

// refused notes that a peer had no room: it is not asked again at once.
func (t *peerTable) refused(peer model.GatewayID, pool model.PoolID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[peerPool{peer, pool}] = correction{0, time.Now().Add(refusedPause)}
}

// failed notes that a peer did not answer.
func (t *peerTable) failed(peer model.GatewayID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedTo[peer] = time.Now().Add(failedPause)
}
