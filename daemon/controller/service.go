// Package controller serves the Control calls on the leader: proposals, linearizable reads
// and the gateways' sessions.
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
	sessions *sessions

	usage     usageQueue
	throttles throttleTable
	explainer Explainer
	members   MemberLister
}

// NewService returns the service. Run must be called to let sessions expire.
func NewService(log replica.Log, ttl time.Duration, logger zerolog.Logger) *Service {
	return &Service{log: log, logger: logger, sessions: newSessions(ttl)}
}

// Propose commits one command.
func (s *Service) Propose(ctx context.Context, request *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	var command state.Command
	if err := model.Decode(request.Command, &command); err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	if command.RegisterGateway != nil {
		if err := s.endOldSession(ctx, command.RegisterGateway); err != nil {
			return nil, s.wrap(err)
		}
	}
	command.ProposedAt = model.Millis(time.Now().UnixMilli())
	result, err := s.log.Propose(ctx, command)
	if err != nil {
		return nil, s.wrap(err)
	}
	data, err := model.Encode(result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ProposeResponse{Result: data}, nil
}

// Sync renews a gateway's session and answers what changed. It waits for news for at most
// the time that the request allows.
func (s *Service) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	var body syncmsg.Request
	if err := model.Decode(request.Body, &body); err != nil {
		return nil, twirp.InvalidArgumentError("body", err.Error())
	}
	leader := s.log.Leader()
	if !leader.Self {
		return nil, s.wrap(replica.ErrNotLeader)
	}
	s.sessions.report(leader.Term, body)
	s.usage.take(body)
	confirmed := s.waitForNews(ctx, body)
	response, err := s.answer(ctx, leader.Term, body, confirmed)
	if err != nil {
		return nil, s.wrap(err)
	}
	data, err := model.Encode(response)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.SyncResponse{Body: data}, nil
}

// waitForNews reports whether a heartbeat confirmed the leadership while it waited.
func (s *Service) waitForNews(ctx context.Context, body syncmsg.Request) (confirmed bool) {
	if s.hasNews(body) {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan bool, 1)
	go func() {
		answer <- s.log.ReadAtHeartbeat(ctx, func(*state.State) {}) == nil
	}()
	s.sleepUntilNews(ctx, body)
	select {
	case confirmed = <-answer:
	default:
	}
	return confirmed
}

func (s *Service) sleepUntilNews(ctx context.Context, body syncmsg.Request) {
	timer := time.NewTimer(time.Duration(min(body.WaitMs, maxSyncWaitMs)) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := s.log.Changed()
		if s.hasNews(body) {
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

func (s *Service) hasNews(body syncmsg.Request) bool {
	news := false
	s.log.View(func(st *state.State) { news = st.ViewChangedSince(body.Gateway, body.Revision) })
	return news
}

// answer grants the lease only under a leadership that a quorum confirmed after the call
// began: a deposed leader must not extend sessions that its successor lets expire. The view
// is read with or after that confirmation, so a lease never comes with an older view.
func (s *Service) answer(ctx context.Context, term uint64, body syncmsg.Request, confirmed bool) (syncmsg.Response, error) {
	var response syncmsg.Response
	var gateways peerList
	query := func(st *state.State) {
		response = syncView(st, body)
		gateways = s.sessions.peersFor(st, body)
	}
	if confirmed {
		s.log.View(query)
	} else if err := s.log.Read(ctx, query); err != nil {
		return syncmsg.Response{}, err
	}
	if leader := s.log.Leader(); !leader.Self || leader.Term != term {
		return syncmsg.Response{}, replica.ErrNotLeader
	}
	if !response.SessionKnown || !s.sessions.grant(term, body, gateways, &response) {
		return syncmsg.Response{}, nil
	}
	s.throttles.fill(body, &response)
	return response, nil
}

// wrap turns the log's errors into twirp errors that name the leader.
func (s *Service) wrap(err error) error {
	if !errors.Is(err, replica.ErrNotLeader) {
		return twirp.Unavailable.Error(err.Error())
	}
	answer := twirp.FailedPrecondition.Error(err.Error())
	if leader := s.log.Leader(); !leader.Self && leader.PeerAddr != "" {
		answer = answer.WithMeta(control.MetaLeader, leader.PeerAddr)
	}
	return answer
}

// Run lets sessions expire until ctx is done.
func (s *Service) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryTick)
	defer expiry.Stop()
	balance := time.NewTicker(balanceTick)
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
	var open []state.Gateway
	s.log.View(func(st *state.State) {
		for _, gateway := range st.Gateways {
			if !gateway.Expired {
				open = append(open, *gateway)
			}
		}
	})
	for _, gateway := range s.sessions.overdue(leader.Term, open) {
		s.expire(ctx, gateway)
	}
}

func (s *Service) expire(ctx context.Context, gateway state.Gateway) {
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

// endOldSession waits, before a gateway is registered with a new incarnation, until the lease
// of its old session is over. The old process may still dispatch under that lease. A process
// that shuts down ends its own session with ExpireGateway as its last step, and then nothing
// is waited for.
func (s *Service) endOldSession(ctx context.Context, c *state.RegisterGateway) error {
	for {
		leader := s.log.Leader()
		if !leader.Self {
			return replica.ErrNotLeader
		}
		changed := s.log.Changed()
		if !s.hasOldSession(c) {
			return nil
		}
		timer := time.NewTimer(expiryTick)
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

// TakeSummaries returns the free capacity that the owners reported in a term since the last call.
func (s *Service) TakeSummaries(term uint64) map[model.TargetID]syncmsg.TargetSummary {
	return s.sessions.takeSummaries(term)
}

// NextReport returns a channel that is closed at the next report of free capacity.
func (s *Service) NextReport() <-chan struct{} { return s.sessions.reported() }

// TakeUsage returns the usage reports that arrived since the last call.
func (s *Service) TakeUsage() []syncmsg.TargetUsage { return s.usage.drain() }

// SetThrottles replaces the levels of the throttled attempts of all gateways.
func (s *Service) SetThrottles(levels map[model.GatewayID][]syncmsg.Throttle) {
	s.throttles.set(levels)
}
