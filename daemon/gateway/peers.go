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

// Durations of the corrections to the peers' summaries. A summary is the free slots per pool that
// a peer reports to the controllers (syncmsg.Peer.FreeQuick).
const (
	// correctionTTL is how long the count in a peer's response overrides its summary, which is
	// renewed at least every 250 ms.
	correctionTTL = 250 * time.Millisecond
	refusedPause  = 50 * time.Millisecond // after a peer did not accept a call
	failedPause   = time.Second           // after a peer did not respond; its session expires within 1.7 s
)

var errWrongRequestID = errors.New("the answer belongs to another request")

// peerTable corrects the peers' summaries of free slots by the results of forwarded calls. It is
// safe for concurrent use.
type peerTable struct {
	mu          sync.Mutex
	corrections map[peerPool]correction
	pausedUntil map[model.GatewayID]time.Time
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
		corrections: map[peerPool]correction{},
		pausedUntil: map[model.GatewayID]time.Time{},
	}
}

// free returns the estimated free slots of a peer. The caller holds t.mu.
func (t *peerTable) free(peer syncmsg.Peer, pool model.PoolID, now time.Time) int32 {
	if now.Before(t.pausedUntil[peer.ID]) {
		return 0
	}
	if c, ok := t.corrections[peerPool{peer.ID, pool}]; ok && now.Before(c.until) {
		return c.free
	}
	return peer.FreeQuick[pool]
}

// choose picks two peers with free slots at random, returns the one with more of them, and counts
// one of its slots as taken.
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
	t.corrections[peerPool{best.ID, pool}] = correction{t.free(best, pool, now) - 1, now.Add(correctionTTL)}
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

// correct stores the free slots that a peer reported in a response.
func (t *peerTable) correct(peer model.GatewayID, pool model.PoolID, text string) {
	free, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.corrections[peerPool{peer, pool}] = correction{int32(free), time.Now().Add(correctionTTL)}
}

// markFull treats a peer that did not accept a call as having no free slot for refusedPause.
func (t *peerTable) markFull(peer model.GatewayID, pool model.PoolID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.corrections[peerPool{peer, pool}] = correction{0, time.Now().Add(refusedPause)}
}

// markFailed records that a peer did not respond, so that it is skipped for failedPause.
func (t *peerTable) markFailed(peer model.GatewayID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedUntil[peer] = time.Now().Add(failedPause)
}
