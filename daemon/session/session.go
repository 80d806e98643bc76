// Package session maintains a gateway's session with the controllers: it registers the gateway,
// renews the session lease and keeps the gateway's view of the configuration, its targets and its
// peers.
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

// Timeouts and intervals of the session protocol.
const (
	maxSyncWaitMs         = model.Millis(250)      // longest time for which the leader waits for a change before it responds
	syncTimeout           = 600 * time.Millisecond // for one renewal
	registerRetryInterval = 100 * time.Millisecond // between attempts to register
	renewRetryInterval    = 20 * time.Millisecond  // after a failed renewal
)

// TargetOwner manages the targets that the gateway owns. It receives the changes to them, and
// provides the summaries and usage reports for the leader.
type TargetOwner interface {
	// Apply applies changes to the owned targets and their orders. It is called before the
	// revision of the changes is acknowledged to the leader.
	Apply(changes *syncmsg.Changes, config state.Config)
	// Summaries returns the summaries that changed since the last call, or all of them.
	Summaries(all bool) []syncmsg.TargetSummary
	// SetThrottles sets the levels of all throttled attempts on the owned targets.
	SetThrottles(throttles syncmsg.Throttles)
	// TakeUsage returns the targets' usage reports since the last call.
	TakeUsage() []syncmsg.TargetUsage
	// Reset drops everything that was owned under an earlier session.
	Reset()
}

// Identity is the data with which the gateway registers.
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
	owned       TargetOwner
	logger      zerolog.Logger
	onRenewal   func()

	mu          sync.RWMutex
	epoch       model.Epoch
	leaseExpiry time.Time // expiry of the lease on this process's monotonic clock
	config      state.Config
	peers       []syncmsg.Peer

	// Used by the renewal loop only.
	revision model.Revision
	sendAll  bool
}

// New returns a session; Run opens and renews it.
func New(identity Identity, client *control.Client, owned TargetOwner, logger zerolog.Logger) *Session {
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

// Valid reports whether the lease is valid now. It must be called immediately before each
// dispatch: if the process is suspended after an earlier call, the lease may expire meanwhile.
func (s *Session) Valid() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return time.Now().Before(s.leaseExpiry)
}

// Epoch returns the session epoch, zero before the first registration.
func (s *Session) Epoch() model.Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.epoch
}

// Gateway returns the id of this gateway.
func (s *Session) Gateway() model.GatewayID { return s.identity.Gateway }

// Service returns a service of the current configuration.
func (s *Session) Service(id model.ServiceID) (model.Service, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	service, ok := s.config.Services[id]
	return service, ok
}

// Tenant returns a tenant of the current configuration.
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

// Run registers the gateway and renews the session until ctx is done. It registers again when the
// session has expired.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.register(ctx); err != nil {
			s.logger.Warn().Err(err).Msg("registration failed")
			wait.For(ctx, registerRetryInterval)
			continue
		}
		s.renewUntilExpired(ctx)
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
	s.beginSession(result.Epoch)
	return nil
}

// beginSession resets the view for a new session. The first renewal grants its lease.
func (s *Session) beginSession(epoch model.Epoch) {
	s.owned.Reset()
	s.revision = 0
	s.sendAll = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	s.leaseExpiry = time.Time{}
}

// renewUntilExpired renews the session until it has expired or ctx is done.
func (s *Session) renewUntilExpired(ctx context.Context) {
	for ctx.Err() == nil {
		known, err := s.renewOnce(ctx)
		if err != nil {
			s.logger.Debug().Err(err).Msg("renewal failed")
			wait.For(ctx, renewRetryInterval)
			continue
		}
		if !known {
			s.logger.Warn().Msg("session has expired")
			s.endSession()
			return
		}
		s.onRenewal()
	}
}

func (s *Session) endSession() {
	s.mu.Lock()
	s.leaseExpiry = time.Time{}
	s.mu.Unlock()
	s.owned.Reset()
}

func (s *Session) renewOnce(ctx context.Context) (known bool, err error) {
	request := syncmsg.Request{
		Gateway:  s.identity.Gateway,
		Epoch:    s.Epoch(),
		Revision: s.revision,
		WaitMs:   maxSyncWaitMs,
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
		// The leader may not have received the summaries, so the next renewal sends all of them.
		s.sendAll = true
		return true, err
	}
	if !response.SessionKnown {
		return false, nil
	}
	s.applyResponse(sent, response)
	return true, nil
}

// applyResponse applies the response to a renewal that was sent at the given time. The targets are
// applied before the lease is extended, so that a valid lease implies a view at least as new as
// the renewal that granted it.
func (s *Session) applyResponse(sent time.Time, response syncmsg.Response) {
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
	s.leaseExpiry = lease.HolderExpiry(sent, ttl)
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
