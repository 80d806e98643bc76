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
	command.At = model.Millis(time.Now().UnixMilli())
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
	if leader := s.log.Leader(); !leader.Self {
		return nil, s.wrap(replica.ErrNotLeader)
	}
	s.sessions.report(s.log.Leader().Term, body)
	s.waitForNews(ctx, body)
	// The lease is granted only under a leadership that a quorum confirmed after the call
	// began: a deposed leader must not extend sessions that its successor lets expire.
	if err := s.log.Confirm(ctx); err != nil {
		return nil, s.wrap(err)
	}
	response := s.answer(body)
	data, err := model.Encode(response)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.SyncResponse{Body: data}, nil
}

func (s *Service) waitForNews(ctx context.Context, body syncmsg.Request) {
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
	s.log.View(func(st *state.State) { news = st.HasNews(body.Gateway, body.Revision) })
	return news
}

func (s *Service) answer(body syncmsg.Request) syncmsg.Response {
	var response syncmsg.Response
	s.log.View(func(st *state.State) { response = syncView(st, body) })
	if !response.Known {
		return response
	}
	term := s.log.Leader().Term
	granted, sendAll := s.sessions.grant(term, body.Gateway, body.Epoch)
	if !granted {
		return syncmsg.Response{}
	}
	response.SendAll = sendAll
	response.LeaseMs = model.Millis(s.sessions.ttl.Milliseconds())
	s.sessions.addFreeQuick(response.Peers)
	return response
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
	ticker := time.NewTicker(expiryTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expireSessions(ctx)
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
		command := state.Command{ExpireGateway: &state.ExpireGateway{Gateway: gateway.ID, Epoch: gateway.Epoch}}
		command.At = model.Millis(time.Now().UnixMilli())
		if _, err := s.log.Propose(ctx, command); err != nil {
			s.logger.Warn().Err(err).Str("gateway", string(gateway.ID)).Msg("session expiry not committed")
			continue
		}
		s.logger.Info().Str("gateway", string(gateway.ID)).Uint64("epoch", uint64(gateway.Epoch)).Msg("session expired")
	}
}

// Summaries returns the free capacity that the owners reported.
func (s *Service) Summaries() map[model.TargetID]syncmsg.TargetSummary {
	return s.sessions.summaries()
}
