package controller

import (
	"maps"
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
	epoch     model.Epoch
	answered  time.Time
	ended     bool           // expiry was decided; no more grants
	revision  model.Revision // revision that the gateway has applied
	all       bool           // summaries hold every target
	targets   map[model.TargetID]syncmsg.TargetSummary
	sent      sentPeers // of the last answer
	freeQuick map[model.PoolID]int32
}

// sessions tracks the leases that this leader granted. It is reset at each change of term.
type sessions struct {
	ttl time.Duration

	mu          sync.Mutex
	term        uint64
	since       time.Time // begin of this leadership, as far as this table knows
	byID        map[model.GatewayID]*session
	number      uint64                                   // of the last answer of any session
	freeVersion uint64                                   // grows with each change of the free quick slots of a session
	changed     chan struct{}                            // closed when a session has applied a newer revision
	fresh       map[model.TargetID]syncmsg.TargetSummary // reports that were not taken yet
	news        chan struct{}                            // closed at the next report of free capacity
}

func newSessions(ttl time.Duration) *sessions {
	return &sessions{
		ttl:     ttl,
		byID:    map[model.GatewayID]*session{},
		changed: make(chan struct{}),
		news:    make(chan struct{}),
		fresh:   map[model.TargetID]syncmsg.TargetSummary{},
	}
}

// enterTerm forgets the grants of an earlier leadership. A predecessor may have granted a
// lease until just before the election, so every session counts from now. It reports false
// for a term that has passed: a call that started under it must not reset the table.
func (t *sessions) enterTerm(term uint64) bool {
	if term <= t.term {
		return term == t.term
	}
	t.term = term
	t.since = time.Now()
	t.byID = map[model.GatewayID]*session{}
	t.fresh = map[model.TargetID]syncmsg.TargetSummary{}
	return true
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
	if !t.enterTerm(term) {
		return
	}
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
		if known, ok := t.fresh[summary.Target]; !ok || known.Epoch <= summary.Epoch {
			t.fresh[summary.Target] = summary
		}
	}
	if body.All || len(body.Targets) > 0 {
		if free := freeQuick(s.targets); !maps.Equal(free, s.freeQuick) {
			s.freeQuick = free
			t.freeVersion++
		}
		close(t.news)
		t.news = make(chan struct{})
	}
	if body.Revision > s.revision {
		s.revision = body.Revision
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func freeQuick(targets map[model.TargetID]syncmsg.TargetSummary) map[model.PoolID]int32 {
	free := map[model.PoolID]int32{}
	for _, summary := range targets {
		if summary.AcceptsWork {
			free[summary.Pool] += summary.FreeQuick
		}
	}
	return free
}

// grant records that a renewal is being answered now, before the answer is sent: the granter's
// bound then lies after the holder's, which counts from the time it sent the call. It
// refuses a session that is about to be expired, so that the grant cannot follow the decision.
func (t *sessions) grant(term uint64, body syncmsg.Request, gateways peerList, response *syncmsg.Response) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterTerm(term) {
		return false
	}
	s := t.get(body.Gateway, body.Epoch)
	if s.epoch != body.Epoch || s.ended {
		return false
	}
	s.answered = time.Now()
	response.SendAll = !s.all
	response.LeaseMs = model.Millis(t.ttl.Milliseconds())
	t.number++
	response.Number = t.number
	t.addPeers(s, body, gateways, response)
	return true
}

// overdue returns the sessions whose lease is over and marks them as ended.
func (t *sessions) overdue(term uint64, open []state.Gateway) []state.Gateway {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterTerm(term) {
		return nil
	}
	now := time.Now()
	var over []state.Gateway
	for _, gateway := range open {
		if now.Before(t.endOf(gateway)) {
			continue
		}
		t.get(gateway.ID, gateway.Epoch).ended = true
		over = append(over, gateway)
	}
	return over
}

// endOf returns when the lease of a session is over by the granter's bound.
func (t *sessions) endOf(gateway state.Gateway) time.Time {
	answered := t.since
	if s, ok := t.byID[gateway.ID]; ok && s.epoch == gateway.Epoch {
		answered = s.answered
	}
	return lease.GranterExpiry(answered, t.ttl, expiryMargin)
}

// applied reports which of the gateways have no view of at least revision, and a channel that
// is closed when that may have changed.
func (t *sessions) applied(gateways []state.Gateway, revision model.Revision) (behind []model.GatewayID, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, gateway := range gateways {
		s, ok := t.byID[gateway.ID]
		if !ok || s.epoch != gateway.Epoch || s.revision < revision {
			behind = append(behind, gateway.ID)
		}
	}
	return behind, t.changed
}

// takeSummaries returns the reports of a term that were not taken before.
func (t *sessions) takeSummaries(term uint64) map[model.TargetID]syncmsg.TargetSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || len(t.fresh) == 0 {
		return nil
	}
	taken := t.fresh
	t.fresh = map[model.TargetID]syncmsg.TargetSummary{}
	return taken
}

// lease describes one session for the leases query.
func (t *sessions) lease(gateway state.Gateway) SessionLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := SessionLease{Gateway: gateway, EndsInMs: model.Millis(time.Until(t.endOf(gateway)).Milliseconds())}
	if s, ok := t.byID[gateway.ID]; ok && s.epoch == gateway.Epoch {
		out.Applied = s.revision
	}
	return out
}

// reported returns a channel that is closed at the next report of free capacity.
func (t *sessions) reported() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}
