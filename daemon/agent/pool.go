package agent

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/wait"
)

// Intervals of the pool.
const (
	membersInterval = 100 * time.Millisecond // between two looks at the controllers and the number of workers
	reopenDelay     = 200 * time.Millisecond // after a stream has ended or could not be opened
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the settings of a Pool.
type Options struct {
	Self    string             // own address, which is not an agent
	Direct  fleet.WorkerClient // makes the calls for which there is no agent
	Members func() []string    // addresses of the controllers
	// MinWorkers is the number of workers from which the calls pass through agents.
	MinWorkers int
	Dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger     zerolog.Logger
}

// Pool is the leader's client of the workers. It passes each call to an agent in the worker's
// availability zone, or else to any agent. It makes the call itself if no agent is connected.
type Pool struct {
	opts Options

	mu      sync.RWMutex
	streams []*stream // ordered by address
}

var _ fleet.WorkerClient = (*Pool)(nil)

// NewPool returns a pool without agents. Run connects them.
func NewPool(o Options) *Pool { return &Pool{opts: o} }

// Run keeps streams with the other controllers while there are enough workers, until ctx is done.
// workers returns the number of workers.
func (p *Pool) Run(ctx context.Context, workers func() int) {
	var open sync.WaitGroup
	defer open.Wait()
	known := map[string]context.CancelFunc{}
	for ; ctx.Err() == nil; wait.For(ctx, membersInterval) {
		if len(known) == 0 && workers() < p.opts.MinWorkers {
			continue
		}
		members := p.opts.Members()
		for addr, cancel := range known {
			if !slices.Contains(members, addr) {
				cancel()
				delete(known, addr)
			}
		}
		for _, addr := range members {
			if addr == p.opts.Self || known[addr] != nil {
				continue
			}
			agentCtx, cancel := context.WithCancel(ctx)
			known[addr] = cancel
			open.Add(1)
			go func() {
				defer open.Done()
				p.keepStream(agentCtx, addr)
			}()
		}
	}
	for _, cancel := range known {
		cancel()
	}
}

// keepStream keeps a stream with one agent open until ctx is done.
func (p *Pool) keepStream(ctx context.Context, addr string) {
	for ; ctx.Err() == nil; wait.For(ctx, reopenDelay) {
		s, reader, err := openStream(ctx, p.opts.Dial, addr)
		if err != nil {
			p.opts.Logger.Debug().Err(err).Str("agent", addr).Msg("agent not reached")
			continue
		}
		p.add(s)
		p.opts.Logger.Info().Str("agent", addr).Str("zone", string(s.zone)).Msg("agent connected")
		err = s.run(ctx, reader)
		p.remove(s)
		p.opts.Logger.Info().Err(err).Str("agent", addr).Msg("agent lost")
	}
}

func (p *Pool) add(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = append(slices.Clone(p.streams), s)
}

func (p *Pool) remove(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = slices.DeleteFunc(slices.Clone(p.streams), func(other *stream) bool { return other == s })
}

// pick returns the stream for calls to a worker, or nil if no agent is connected. Each worker keeps
// its agent while that one is connected, so that the agent's connections are reused.
func (p *Pool) pick(to fleet.Endpoint) *stream {
	p.mu.RLock()
	streams := p.streams
	p.mu.RUnlock()
	var best *stream
	bestLocal, bestRank := false, uint64(0)
	for _, s := range streams {
		if s.draining.Load() {
			continue
		}
		local, rank := s.zone == to.Zone, rank(to.Incarnation.Worker, s.addr)
		if best == nil || (local && !bestLocal) || (local == bestLocal && rank > bestRank) {
			best, bestLocal, bestRank = s, local, rank
		}
	}
	return best
}

// rank orders the agents of a worker (rendezvous hashing with FNV-1a).
func rank(worker workflow.WorkerID, addr string) uint64 {
	hash := uint64(14695981039346656037)
	for _, part := range [...]string{string(worker), addr} {
		for i := range len(part) {
			hash = (hash ^ uint64(part[i])) * 1099511628211
		}
	}
	// The last bytes change only the low bits of this hash; the finalizer spreads them.
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// Start starts an attempt on a worker and returns the worker's clock.
func (p *Pool) Start(ctx context.Context, to fleet.Endpoint, call fleet.StartCall) (model.Millis, error) {
	s := p.pick(to)
	if s == nil {
		return p.opts.Direct.Start(ctx, to, call)
	}
	answer, err := s.call(ctx, request{
		Operation: opStart, To: to.Incarnation, Addr: to.Addr, Token: call.Token, Attempt: call.Attempt,
		Payload: call.Payload, Checkpoint: call.Checkpoint, LeaseUntil: call.LeaseUntil,
	})
	return answer.Clock, err
}

// Stop stops an attempt on a worker and returns the worker's clock.
func (p *Pool) Stop(ctx context.Context, to fleet.Endpoint, a workflow.Attempt, token uint64) (model.Millis, error) {
	s := p.pick(to)
	if s == nil {
		return p.opts.Direct.Stop(ctx, to, a, token)
	}
	answer, err := s.call(ctx, request{Operation: opStop, To: to.Incarnation, Addr: to.Addr, Token: token, Attempt: a})
	return answer.Clock, err
}

// Hold renews a worker's lease and returns its running and ended attempts.
func (p *Pool) Hold(ctx context.Context, to fleet.Endpoint, call fleet.HoldCall) (fleet.Listing, error) {
	s := p.pick(to)
	if s == nil {
		return p.opts.Direct.Hold(ctx, to, call)
	}
	answer, err := s.call(ctx, request{
		Operation: opHold, To: to.Incarnation, Addr: to.Addr, Token: call.Token,
		LeaseUntil: call.LeaseUntil, AckedThrough: call.AckedThrough, Wait: call.Wait,
	})
	if err != nil {
		return fleet.Listing{}, err
	}
	return answer.listing(), nil
}

// Pace throttles an attempt to a percentage of its full speed.
func (p *Pool) Pace(ctx context.Context, to fleet.Endpoint, a workflow.Attempt, percent int, token uint64) error {
	s := p.pick(to)
	if s == nil {
		return p.opts.Direct.Pace(ctx, to, a, percent, token)
	}
	_, err := s.call(ctx, request{Operation: opPace, To: to.Incarnation, Addr: to.Addr, Token: token, Attempt: a, Percent: percent})
	return err
}
