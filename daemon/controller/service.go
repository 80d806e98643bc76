// Package controller serves the Control service on the leader: proposals, linearizable reads and
// the gateways' sessions.
package controller

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/rpc"
)

// Service implements rpc.Control over a replicated log.
type Service struct {
	log      replica.Log
	logger   zerolog.Logger
	sessions *sessionTable

	usage     usageQueue
	throttles throttleTable
	explainer Explainer
	members   MemberLister
}

// NewService returns a service whose session leases last ttl. Run must be called for sessions to
// expire.
func NewService(log replica.Log, ttl time.Duration, logger zerolog.Logger) *Service {
	return &Service{log: log, logger: logger, sessions: newSessions(ttl)}
}

// Propose commits one command. The registration of a new incarnation of a gateway first waits
// until the old session has ended.
func (s *Service) Propose(ctx context.Context, request *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	var command state.Command
	if err := model.Decode(request.Command, &command); err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	if command.RegisterGateway != nil {
		if err := s.waitForOldSession(ctx, command.RegisterGateway); err != nil {
			return nil, s.toTwirpError(err)
		}
	}
	command.ProposedAt = model.Millis(time.Now().UnixMilli())
	result, err := s.log.Propose(ctx, command)
	if err != nil {
		return nil, s.toTwirpError(err)
	}
	data, err := model.Encode(result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ProposeResponse{Result: data}, nil
}

// Sync renews a gateway's session and returns what has changed since the gateway's revision. If
// nothing has changed, it waits for a change for at most the time that the request allows.
func (s *Service) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	var body syncmsg.Request
	if err := model.Decode(request.Body, &body); err != nil {
		return nil, twirp.InvalidArgumentError("body", err.Error())
	}
	leader := s.log.Leader()
	if !leader.Self {
		return nil, s.toTwirpError(replica.ErrNotLeader)
	}
	s.sessions.recordReport(leader.Term, body)
	s.usage.add(body)
	confirmed := s.waitForChanges(ctx, body)
	response, err := s.renewSession(ctx, leader.Term, body, confirmed)
	if err != nil {
		return nil, s.toTwirpError(err)
	}
	data, err := model.Encode(response)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.SyncResponse{Body: data}, nil
}

// waitForChanges waits until there are changes for the gateway or the wait time of the request has
// passed. It reports whether a heartbeat confirmed the leadership during the wait.
func (s *Service) waitForChanges(ctx context.Context, body syncmsg.Request) (confirmed bool) {
	if s.hasChanges(body) {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan bool, 1)
	go func() {
		result <- s.log.ReadAtHeartbeat(ctx, func(*state.State) {}) == nil
	}()
	s.sleepUntilChanged(ctx, body)
	select {
	case confirmed = <-result:
	default:
	}
	return confirmed
}

func (s *Service) sleepUntilChanged(ctx context.Context, body syncmsg.Request) {
	timer := time.NewTimer(time.Duration(min(body.WaitMs, maxSyncWaitMs)) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := s.log.Changed()
		if s.hasChanges(body) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

func (s *Service) hasChanges(body syncmsg.Request) bool {
	changes := false
	s.log.View(func(st *state.State) { changes = st.ViewChangedSince(body.Gateway, body.Revision) })
	return changes
}

// renewSession grants a lease only under a leadership that a quorum confirmed after the call
// began: a deposed leader must not extend sessions that its successor lets expire. The view is
// read together with that confirmation or after it, so that no lease comes with an older view.
func (s *Service) renewSession(ctx context.Context, term uint64, body syncmsg.Request, confirmed bool) (syncmsg.Response, error) {
	var response syncmsg.Response
	var peers peerList
	query := func(st *state.State) {
		response = syncView(st, body)
		peers = s.sessions.peersFor(st, body)
	}
	if confirmed {
		s.log.View(query)
	} else if err := s.log.Read(ctx, query); err != nil {
		return syncmsg.Response{}, err
	}
	if leader := s.log.Leader(); !leader.Self || leader.Term != term {
		return syncmsg.Response{}, replica.ErrNotLeader
	}
	if !response.SessionKnown || !s.sessions.grant(term, body, peers, &response) {
		return syncmsg.Response{}, nil
	}
	s.throttles.addThrottles(body, &response)
	return response, nil
}

// toTwirpError converts an error of the log to a twirp error. ErrNotLeader carries the leader's
// address, if it is known.
func (s *Service) toTwirpError(err error) error {
	if !errors.Is(err, replica.ErrNotLeader) {
		return twirp.Unavailable.Error(err.Error())
	}
	twirpErr := twirp.FailedPrecondition.Error(err.Error())
	if leader := s.log.Leader(); !leader.Self && leader.PeerAddr != "" {
		twirpErr = twirpErr.WithMeta(control.MetaLeader, leader.PeerAddr)
	}
	return twirpErr
}

// Run expires sessions and balances the ownership of targets until ctx is done.
func (s *Service) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	balance := time.NewTicker(balanceInterval)
	defer balance.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			s.expireSessions(ctx)
		case <-balance.C:
			s.balanceOwnership(ctx)
		}
	}
}

func (s *Service) expireSessions(ctx context.Context) {
	leader := s.log.Leader()
	if !leader.Self {
		return
	}
	var live []state.Gateway
	s.log.View(func(st *state.State) {
		for _, gateway := range st.Gateways {
			if !gateway.Expired {
				live = append(live, *gateway)
			}
		}
	})
	for _, gateway := range s.sessions.markOverdue(leader.Term, live) {
		s.expireSession(ctx, gateway)
	}
}

func (s *Service) expireSession(ctx context.Context, gateway state.Gateway) {
	command := state.Command{
		ProposedAt:    model.Millis(time.Now().UnixMilli()),
		ExpireGateway: &state.ExpireGateway{Gateway: gateway.ID, Epoch: gateway.Epoch},
	}
	if _, err := s.log.Propose(ctx, command); err != nil {
		s.logger.Warn().Err(err).Str("gateway", string(gateway.ID)).Msg("session expiry not committed")
		return
	}
	s.logger.Info().Str("gateway", string(gateway.ID)).Uint64("epoch", uint64(gateway.Epoch)).Msg("session expired")
}

// waitForOldSession delays the registration of a new incarnation of a gateway until the session
// of the old incarnation has ended, because the old process may still dispatch under its lease. A
// process that shuts down ends its own session with ExpireGateway as its last step; then there is
// nothing to wait for.
func (s *Service) waitForOldSession(ctx context.Context, c *state.RegisterGateway) error {
	for {
		leader := s.log.Leader()
		if !leader.Self {
			return replica.ErrNotLeader
		}
		changed := s.log.Changed()
		if !s.hasOldSession(c) {
			return nil
		}
		timer := time.NewTimer(expiryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		s.expireSessions(ctx)
	}
}

func (s *Service) hasOldSession(c *state.RegisterGateway) bool {
	old := false
	s.log.View(func(st *state.State) {
		gateway, ok := st.Gateways[c.Gateway]
		old = ok && !gateway.Expired && gateway.Incarnation != c.Incarnation
	})
	return old
}

// TakeSummaries returns the summaries of free capacity that owners reported in a term since the
// last call.
func (s *Service) TakeSummaries(term uint64) map[model.TargetID]syncmsg.TargetSummary {
	return s.sessions.takeSummaries(term)
}

// NextReport returns a channel that is closed at the next report of free capacity.
func (s *Service) NextReport() <-chan struct{} { return s.sessions.nextReport() }

// TakeUsage returns the usage reports that arrived since the last call.
func (s *Service) TakeUsage() []syncmsg.TargetUsage { return s.usage.drain() }

// SetThrottles replaces the throttle levels of the attempts of all gateways.
func (s *Service) SetThrottles(levels map[model.GatewayID][]syncmsg.Throttle) {
	s.throttles.set(levels)
}
