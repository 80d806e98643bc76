package controller

import (
	"sync"
	"time"

	"samphirepaddle.example/core/lease"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// Times of the session protocol.
const (
	maxSyncWaitMs = model.Millis(250)
	expiryTick    = 50 * time.Millisecond
	expiryMargin  = 100 * time.Millisecond
)

// session is what the leader knows about a gateway's session beyond the replicated state.
type session struct {
	epoch    model.Epoch
	answered time.Time
	ended    bool           // expiry was decided; no more grants
	revision model.Revision // revision that the gateway has applied
	all      bool           // summaries hold every target
	targets  map[model.TargetID]syncmsg.TargetSummary
}

// sessions tracks the leases that this leader granted. It is reset at each change of term.
type sessions struct {
	ttl time.Duration

	mu    sync.Mutex
	term  uint64
	since time.Time // begin of this leadership, as far as this table knows
	byID  map[model.GatewayID]*session
}

func newSessions(ttl time.Duration) *sessions {
	return &sessions{ttl: ttl, byID: map[model.GatewayID]*session{}}
}

// enterTerm forgets the grants of an earlier leadership. A predecessor may have granted a
// lease until just before the election, so every session counts from now.
func (t *sessions) enterTerm(term uint64) {
	if t.term == term {
		return
	}
	t.term = term
	t.since = time.Now()
	t.byID = map[model.GatewayID]*session{}
}

func (t *sessions) get(id model.GatewayID, epoch model.Epoch) *session {
	s, ok := t.byID[id]
	if !ok || s.epoch < epoch {
		s = &session{epoch: epoch, answered: time.Now(), targets: map[model.TargetID]syncmsg.TargetSummary{}}
		t.byID[id] = s
	}
	return s
}

// report stores what a gateway said about its targets and its view.
func (t *sessions) report(term uint64, body syncmsg.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enterTerm(term)
	s := t.get(body.Gateway, body.Epoch)
	if s.epoch != body.Epoch {
		return
	}
	if body.All {
		s.targets = map[model.TargetID]syncmsg.TargetSummary{}
		s.all = true
	}
	for _, summary := range body.Targets {
		s.targets[summary.Target] = summary
	}
	s.revision = max(s.revision, body.Revision)
}

// grant records that a renewal is being answered now. It refuses a session that is about
// to be expired, so that the grant cannot follow the decision.
func (t *sessions) grant(term uint64, id model.GatewayID, epoch model.Epoch) (granted, sendAll bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enterTerm(term)
	s := t.get(id, epoch)
	if s.epoch != epoch || s.ended {
		return false, false
	}
	s.answered = time.Now()
	return true, !s.all
}

// overdue returns the sessions whose lease is over and marks them as ended.
func (t *sessions) overdue(term uint64, open []state.Gateway) []state.Gateway {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enterTerm(term)
	now := time.Now()
	var over []state.Gateway
	for _, gateway := range open {
		answered := t.since
		s, ok := t.byID[gateway.ID]
		if ok && s.epoch == gateway.Epoch {
			answered = s.answered
		}
		if now.Before(lease.GranterEnd(answered, t.ttl, expiryMargin)) {
			continue
		}
		t.get(gateway.ID, gateway.Epoch).ended = true
		over = append(over, gateway)
	}
	return over
}

// applied reports which of the gateways have a view of at least revision.
func (t *sessions) applied(gateways []state.Gateway, revision model.Revision) (behind []model.GatewayID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, gateway := range gateways {
		s, ok := t.byID[gateway.ID]
		if !ok || s.epoch != gateway.Epoch || s.revision < revision {
			behind = append(behind, gateway.ID)
		}
	}
	return behind
}

// addFreeQuick adds the free quick slots that the peers reported.
func (t *sessions) addFreeQuick(peers []syncmsg.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range peers {
		s, ok := t.byID[peers[i].ID]
		if !ok {
			continue
		}
		for _, summary := range s.targets {
			if summary.Open {
				peers[i].FreeQuick[summary.Pool] += summary.FreeQuick
			}
		}
	}
}

// summaries returns the summaries of all live sessions.
func (t *sessions) summaries() map[model.TargetID]syncmsg.TargetSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[model.TargetID]syncmsg.TargetSummary{}
	for _, s := range t.byID {
		for id, summary := range s.targets {
			if known, ok := all[id]; !ok || known.Epoch < summary.Epoch {
				all[id] = summary
			}
		}
	}
	return all
}
