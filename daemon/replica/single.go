package replica

import (
	"context"
	"sync"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// MemoryLog is a Log of a single controller that is kept in memory, for tests of other packages.
type MemoryLog struct {
	id   model.GatewayID
	addr string

	mu      sync.Mutex
	state   *state.State
	changed chan struct{}
}

// NewMemoryLog returns an empty MemoryLog, which is its own leader.
func NewMemoryLog(id model.GatewayID, addr string) *MemoryLog {
	return &MemoryLog{id: id, addr: addr, state: state.New(), changed: make(chan struct{})}
}

// Propose applies the command at once.
func (s *MemoryLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.state.Apply(s.state.Revision+1, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return result, nil
}

// Read calls query with the state.
func (s *MemoryLog) Read(_ context.Context, query func(*state.State)) error {
	s.View(query)
	return nil
}

// ReadAtHeartbeat calls query with the state.
func (s *MemoryLog) ReadAtHeartbeat(ctx context.Context, query func(*state.State)) error {
	return s.Read(ctx, query)
}

// View calls query with the state.
func (s *MemoryLog) View(query func(*state.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query(s.state)
}

// Confirm returns at once: there is no other controller.
func (s *MemoryLog) Confirm(context.Context) error { return nil }

// Leader returns this controller.
func (s *MemoryLog) Leader() Leader {
	return Leader{ID: s.id, PeerAddr: s.addr, Self: true, Term: 1}
}

// Changed returns a channel that is closed when the next command has been applied.
func (s *MemoryLog) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Close does nothing.
func (s *MemoryLog) Close() error { return nil }
