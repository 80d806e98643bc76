// Package session keeps a gateway's session at the controllers: it registers, renews the
// lease and holds the gateway's view of the configuration, its targets and its peers.
package session

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/lease"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/wait"
)

// Times of the session protocol.
const (
	syncWaitMs    = model.Millis(250)      // the leader waits at most this long for news
	syncTimeout   = 600 * time.Millisecond // of one renewal
	registerPause = 100 * time.Millisecond // between attempts to register
	failurePause  = 20 * time.Millisecond  // after a failed renewal
)

// Owned receives the changes of what the gateway owns, and answers the summaries to report.
type Owned interface {
	// Apply takes the targets and orders of a session. It is called before the revision of
	// the changes is acknowledged to the leader.
	Apply(changes *syncmsg.Changes, config state.Config)
	// Summaries returns the summaries that changed since the last call, or all of them.
	Summaries(all bool) []syncmsg.TargetSummary
	// SetThrottles takes the levels of all throttled attempts on the owned targets.
	SetThrottles(throttles syncmsg.Throttles)
	// TakeUsage returns the targets' usage reports since the last call.
	TakeUsage() []syncmsg.TargetUsage
	// Reset drops everything that an earlier session owned.
	Reset()
}

// Identity is what the gateway registers with.
type Identity struct {
	Gateway    model.GatewayID
	Zone       model.Zone
	PublicAddr string
	PeerAddr   string
}

// Session is a gateway's session. All methods are safe for concurrent use.
type Session struct {
	identity    Identity
	incarnation string
	client      *control.Client
	owned       Owned
	logger      zerolog.Logger
	onRenewal   func()

	mu     sync.RWMutex
	epoch  model.Epoch
	until  time.Time // end of the lease on this process's monotonic clock
	config state.Config
	peers  []syncmsg.Peer

	// Used by the renewal loop only.
	revision model.Revision
	sendAll  bool
}

// New returns a session; Run opens and renews it.
func New(identity Identity, client *control.Client, owned Owned, logger zerolog.Logger) *Session {
	return &Session{
		identity:    identity,
		incarnation: rand.Text(),
		client:      client,
		owned:       owned,
		logger:      logger,
		onRenewal:   func() {},
	}
}

// OnRenewal sets a function that is called after each renewal. It must be set before Run and
// must not block.
func (s *Session) OnRenewal(f func()) { s.onRenewal = f }

// Valid reports whether the lease holds now. It must be called immediately before each
// dispatch: a process that was frozen wakes up with an old answer to any earlier call.
func (s *Session) Valid() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return time.Now().Before(s.until)
}

// Epoch returns the session epoch, zero before the first registration.
func (s *Session) Epoch() model.Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.epoch
}

// Gateway returns the id of this gateway.
func (s *Session) Gateway() model.GatewayID { return s.identity.Gateway }

// Service returns a service of the present configuration.
func (s *Session) Service(id model.ServiceID) (model.Service, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	service, ok := s.config.Services[id]
	return service, ok
}

// Tenant returns a tenant of the present configuration.
func (s *Session) Tenant(id model.TenantID) (model.Tenant, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	tenant, ok := s.config.Tenants[id]
	return tenant, ok
}

// Peers returns the other gateways that are live and not draining.
func (s *Session) Peers() []syncmsg.Peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.peers
}

// Run registers and renews until ctx is done.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.register(ctx); err != nil {
			s.logger.Warn().Err(err).Msg("registration failed")
			wait.For(ctx, registerPause)
			continue
		}
		s.renew(ctx)
	}
}

func (s *Session) register(ctx context.Context) error {
	result, err := s.client.Propose(ctx, state.Command{RegisterGateway: &state.RegisterGateway{
		Gateway:     s.identity.Gateway,
		Incarnation: s.incarnation,
		Zone:        s.identity.Zone,
		PublicAddr:  s.identity.PublicAddr,
		PeerAddr:    s.identity.PeerAddr,
	}})
	if err != nil {
		return err
	}
	if !result.OK() {
		return fmt.Errorf("register: %s: %s", result.Code, result.Message)
	}
	s.logger.Info().Uint64("epoch", uint64(result.Epoch)).Msg("session registered")
	s.start(result.Epoch)
	return nil
}

func (s *Session) start(epoch model.Epoch) {
	s.owned.Reset()
	s.revision = 0
	s.sendAll = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	s.until = time.Time{}
}

// renew renews the session until it has expired or ctx is done.
func (s *Session) renew(ctx context.Context) {
	for ctx.Err() == nil {
		known, err := s.renewOnce(ctx)
		if err != nil {
			s.logger.Debug().Err(err).Msg("renewal failed")
			wait.For(ctx, failurePause)
			continue
		}
		if !known {
			s.logger.Warn().Msg("session has expired")
			s.expire()
			return
		}
		s.onRenewal()
	}
}

func (s *Session) expire() {
	s.mu.Lock()
	s.until = time.Time{}
	s.mu.Unlock()
	s.owned.Reset()
}

func (s *Session) renewOnce(ctx context.Context) (known bool, err error) {
	request := syncmsg.Request{
		Gateway:  s.identity.Gateway,
		Epoch:    s.Epoch(),
		Revision: s.revision,
		WaitMs:   syncWaitMs,
		All:      s.sendAll,
		Targets:  s.owned.Summaries(s.sendAll),
		Usage:    s.owned.TakeUsage(),
	}
	if s.revision == 0 {
		request.WaitMs = 0
	}
	call, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sent := time.Now()
	response, err := s.client.Sync(call, request)
	if err != nil {
		// The report may be lost, so the next one holds everything.
		s.sendAll = true
		return true, err
	}
	if !response.SessionKnown {
		return false, nil
	}
	s.take(sent, response)
	return true, nil
}

// take stores a renewal. The targets are applied before the lease is extended, so that a
// valid lease implies a view at least as new as the renewal that granted it.
func (s *Session) take(sent time.Time, response syncmsg.Response) {
	config := s.nextConfig(response)
	s.owned.Apply(response.Changes, config)
	if response.Throttles != nil {
		s.owned.SetThrottles(*response.Throttles)
	}
	s.revision = response.Revision
	s.sendAll = response.SendAll
	ttl := time.Duration(response.LeaseMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	s.peers = s.otherPeers(response.Peers)
	s.until = lease.HolderExpiry(sent, ttl)
}

func (s *Session) nextConfig(response syncmsg.Response) state.Config {
	if response.Config != nil {
		return *response.Config
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config
}

func (s *Session) otherPeers(all []syncmsg.Peer) []syncmsg.Peer {
	var peers []syncmsg.Peer
	for _, peer := range all {
		if peer.ID != s.identity.Gateway && !peer.Draining {
			peers = append(peers, peer)
		}
	}
	return peers
}
