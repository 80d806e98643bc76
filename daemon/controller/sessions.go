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

// Timeouts and intervals of the session protocol.
const (
	maxSyncWaitMs  = model.Millis(250)      // longest wait of one Sync call
	expiryInterval = 50 * time.Millisecond  // between two checks for expired sessions
	expiryMargin   = 100 * time.Millisecond // added to the lease duration and the bound on clock drift before a session expires
)

// session holds the leader's state of one gateway's session. It is not replicated.
type session struct {
	epoch     model.Epoch
	renewedAt time.Time      // when the lease was last granted
	expiring  bool           // the expiry was decided; no lease is granted any more
	revision  model.Revision // revision that the gateway has applied
	complete  bool           // targets holds every target of the gateway
	targets   map[model.TargetID]syncmsg.TargetSummary
	sentPeers sentPeers // peers as of the last response
	freeQuick map[model.PoolID]int32
}

// sessionTable tracks the leases that this leader has granted. It is reset at each change of
// term.
type sessionTable struct {
	ttl time.Duration

	mu               sync.Mutex
	term             uint64
	leaderSince      time.Time // when enterTerm began the current term
	byID             map[model.GatewayID]*session
	lastNumber       uint64                                   // number of the last response to any session
	freeVersion      uint64                                   // incremented when the free quick slots of a session change
	revisionReported chan struct{}                            // closed when a session reports a newer applied revision
	untaken          map[model.TargetID]syncmsg.TargetSummary // summaries that takeSummaries has not returned yet
	capacityReported chan struct{}                            // closed at the next report of free capacity
}

func newSessions(ttl time.Duration) *sessionTable {
	return &sessionTable{
		ttl:              ttl,
		byID:             map[model.GatewayID]*session{},
		revisionReported: make(chan struct{}),
		capacityReported: make(chan struct{}),
		untaken:          map[model.TargetID]syncmsg.TargetSummary{},
	}
}

// enterTerm resets the table when a newer term begins. The previous leader may have granted
// leases until just before the election, so every session counts as renewed now. It reports false
// for an older term: a call that began under it must not reset the table.
func (t *sessionTable) enterTerm(term uint64) bool {
	if term <= t.term {
		return term == t.term
	}
	t.term = term
	t.leaderSince = time.Now()
	t.byID = map[model.GatewayID]*session{}
	t.untaken = map[model.TargetID]syncmsg.TargetSummary{}
	return true
}

// getOrCreate returns the session of a gateway. It creates one if there is none or only one of an
// older epoch.
func (t *sessionTable) getOrCreate(id model.GatewayID, epoch model.Epoch) *session {
	s, ok := t.byID[id]
	if !ok || s.epoch < epoch {
		s = &session{epoch: epoch, renewedAt: time.Now(), targets: map[model.TargetID]syncmsg.TargetSummary{}}
		t.byID[id] = s
	}
	return s
}

// recordReport stores the summaries of targets and the applied revision that a gateway reported.
func (t *sessionTable) recordReport(term uint64, body syncmsg.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterTerm(term) {
		return
	}
	s := t.getOrCreate(body.Gateway, body.Epoch)
	if s.epoch != body.Epoch {
		return
	}
	if body.All {
		s.targets = map[model.TargetID]syncmsg.TargetSummary{}
		s.complete = true
	}
	for _, summary := range body.Targets {
		s.targets[summary.Target] = summary
		if known, ok := t.untaken[summary.Target]; !ok || known.Epoch <= summary.Epoch {
			t.untaken[summary.Target] = summary
		}
	}
	if body.All || len(body.Targets) > 0 {
		if free := freeQuick(s.targets); !maps.Equal(free, s.freeQuick) {
			s.freeQuick = free
			t.freeVersion++
		}
		close(t.capacityReported)
		t.capacityReported = make(chan struct{})
	}
	if body.Revision > s.revision {
		s.revision = body.Revision
		close(t.revisionReported)
		t.revisionReported = make(chan struct{})
	}
}

// freeQuick returns the free quick slots of the targets that accept work, by pool.
func freeQuick(targets map[model.TargetID]syncmsg.TargetSummary) map[model.PoolID]int32 {
	free := map[model.PoolID]int32{}
	for _, summary := range targets {
		if summary.AcceptsWork {
			free[summary.Pool] += summary.FreeQuick
		}
	}
	return free
}

// grant renews a session and fills in the lease. It must be called before the response is sent:
// then the lease expires later for the leader than for the gateway, which counts from the time
// at which it sent the call. It refuses a session whose expiry was decided, so that no grant
// follows the decision.
func (t *sessionTable) grant(term uint64, body syncmsg.Request, peers peerList, response *syncmsg.Response) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterTerm(term) {
		return false
	}
	s := t.getOrCreate(body.Gateway, body.Epoch)
	if s.epoch != body.Epoch || s.expiring {
		return false
	}
	s.renewedAt = time.Now()
	response.SendAll = !s.complete
	response.LeaseMs = model.Millis(t.ttl.Milliseconds())
	t.lastNumber++
	response.Number = t.lastNumber
	t.addPeers(s, body, peers, response)
	return true
}

// markOverdue returns the gateways whose lease has expired and marks their sessions as expiring.
func (t *sessionTable) markOverdue(term uint64, live []state.Gateway) []state.Gateway {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterTerm(term) {
		return nil
	}
	now := time.Now()
	var overdue []state.Gateway
	for _, gateway := range live {
		if now.Before(t.leaseExpiry(gateway)) {
			continue
		}
		t.getOrCreate(gateway.ID, gateway.Epoch).expiring = true
		overdue = append(overdue, gateway)
	}
	return overdue
}

// leaseExpiry returns when the leader may treat the lease of a session as expired.
func (t *sessionTable) leaseExpiry(gateway state.Gateway) time.Time {
	renewedAt := t.leaderSince
	if s, ok := t.byID[gateway.ID]; ok && s.epoch == gateway.Epoch {
		renewedAt = s.renewedAt
	}
	return lease.GranterExpiry(renewedAt, t.ttl, expiryMargin)
}

// laggingGateways returns the gateways that have not reported revision or a newer one as applied,
// and a channel that is closed when that may have changed.
func (t *sessionTable) laggingGateways(gateways []state.Gateway, revision model.Revision) (lagging []model.GatewayID, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, gateway := range gateways {
		s, ok := t.byID[gateway.ID]
		if !ok || s.epoch != gateway.Epoch || s.revision < revision {
			lagging = append(lagging, gateway.ID)
		}
	}
	return lagging, t.revisionReported
}

// takeSummaries returns the summaries of a term that it has not returned before.
func (t *sessionTable) takeSummaries(term uint64) map[model.TargetID]syncmsg.TargetSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || len(t.untaken) == 0 {
		return nil
	}
	taken := t.untaken
	t.untaken = map[model.TargetID]syncmsg.TargetSummary{}
	return taken
}

// describe returns the lease of one session for the leases query.
func (t *sessionTable) describe(gateway state.Gateway) SessionLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := SessionLease{Gateway: gateway, ExpiresInMs: model.Millis(time.Until(t.leaseExpiry(gateway)).Milliseconds())}
	if s, ok := t.byID[gateway.ID]; ok && s.epoch == gateway.Epoch {
		out.AppliedRevision = s.revision
	}
	return out
}

// nextReport returns a channel that is closed at the next report of free capacity.
func (t *sessionTable) nextReport() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.capacityReported
}
