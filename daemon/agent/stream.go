package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/fleet"
)

// Timing and limits of the leader's side of a stream.
const (
	openTimeout  = time.Second // to connect and upgrade
	pingInterval = 200 * time.Millisecond
	// silenceTimeout ends a stream whose agent returns no ping. It exceeds the pauses of a VM whose
	// processor quota is used up.
	silenceTimeout    = time.Second
	maxQueuedRequests = 1 << 14
	// returnMargin is the part of a call's time that is left for the response of the agent.
	returnMargin = 30 * time.Millisecond
	// maxCallTimeout bounds calls whose caller sets no deadline.
	maxCallTimeout = 10 * time.Second
)

var errStreamEnded = errors.New("the stream to the agent has ended")

// stream is the leader's side of a connection to one agent.
type stream struct {
	addr string
	zone model.Zone
	conn net.Conn
	done chan struct{} // closed when the stream has ended

	requests *batcher[*pendingCall]

	draining atomic.Bool // the agent shuts down and wants no new calls

	mu       sync.Mutex
	nextID   uint64
	pending  map[uint64]*pendingCall
	ping     uint64         // last ping
	pingSent uint64         // last ping that was written
	pong     uint64         // last ping that the agent returned
	pongAt   bootclock.Time // when pong increased
	ended    bool
}

// pendingCall is a call without a response.
type pendingCall struct {
	request request
	result  chan response // receives the response; closed if the stream ends
	written bool          // the request may have reached the agent
	dropped bool          // the caller has given up before the request was written
}

// openStream connects to the agent at an address.
func openStream(ctx context.Context, dial dialFunc, addr string) (*stream, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(conn)
	zone, err := upgrade(ctx, conn, reader, addr)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	s := &stream{
		addr: addr, zone: zone, conn: conn, done: make(chan struct{}), pending: map[uint64]*pendingCall{}, pongAt: bootclock.Now(),
	}
	s.requests = newBatcher(maxQueuedRequests, s.writeRequests)
	return s, reader, nil
}

// upgrade turns the connection into a stream and returns the agent's availability zone.
func upgrade(ctx context.Context, conn net.Conn, reader *bufio.Reader, addr string) (model.Zone, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return "", err
		}
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+StreamPath, http.NoBody)
	if err != nil {
		return "", err
	}
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", protocolName)
	if err := r.Write(conn); err != nil {
		return "", err
	}
	answer, err := http.ReadResponse(reader, r)
	if err != nil {
		return "", err
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusSwitchingProtocols {
		return "", fmt.Errorf("status %d in place of a stream", answer.StatusCode)
	}
	return model.Zone(answer.Header.Get(headerZone)), conn.SetDeadline(time.Time{})
}

// run serves the stream until it ends or ctx is done, and returns why it has ended.
func (s *stream) run(ctx context.Context, reader *bufio.Reader) error {
	failures := make(chan error, 3)
	go func() { failures <- s.requests.run(s.done) }()
	go func() { failures <- s.readResponses(reader) }()
	go func() { failures <- s.sendPings() }()
	var err error
	select {
	case err = <-failures:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.end()
	return err
}

// end closes the connection and fails the calls in progress.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.done)
	s.conn.Close()
	for id, call := range s.pending {
		delete(s.pending, id)
		close(call.result)
	}
}

func (s *stream) readResponses(reader *bufio.Reader) error {
	for {
		var frame responseFrame
		if err := readFrame(reader, &frame); err != nil {
			return err
		}
		s.deliver(frame)
	}
}

func (s *stream) deliver(frame responseFrame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frame.Draining {
		s.draining.Store(true)
	}
	if frame.Pong > s.pong {
		s.pong, s.pongAt = frame.Pong, bootclock.Now()
	}
	for _, answer := range frame.Responses {
		if call := s.pending[answer.ID]; call != nil {
			delete(s.pending, answer.ID)
			call.result <- answer
		}
	}
}

// sendPings ends the stream if the agent falls silent. A pause of this process delays the agent's
// answers too, so the time of the pause does not count.
func (s *stream) sendPings() error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	last := bootclock.Now()
	for {
		select {
		case <-s.done:
			return nil
		case <-ticker.C:
		}
		now := bootclock.Now()
		paused := max(0, now.Sub(last)-2*pingInterval)
		last = now
		if silent := s.nextPing(now, paused); silent > silenceTimeout {
			return fmt.Errorf("no answer to a ping for %v", silent)
		}
		s.requests.wake()
	}
}

// nextPing begins a ping and returns for how long the agent has returned none.
func (s *stream) nextPing(now bootclock.Time, paused time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pongAt = min(now, s.pongAt.Add(paused))
	s.ping++
	return now.Sub(s.pongAt)
}

// writeRequests writes one frame with the calls that still wait.
func (s *stream) writeRequests(calls []*pendingCall) error {
	frame := requestFrame{SentAt: int64(bootclock.Now()), Requests: make([]request, 0, len(calls))}
	s.mu.Lock()
	if s.ping != s.pingSent {
		frame.Ping, s.pingSent = s.ping, s.ping
	}
	for _, call := range calls {
		if !call.dropped {
			call.written = true
			frame.Requests = append(frame.Requests, call.request)
		}
	}
	s.mu.Unlock()
	return writeTo(s.conn, frame)
}

// call sends a request and waits for its response. If ctx ends before the request was written, the
// error is fleet.ErrNotSent.
func (s *stream) call(ctx context.Context, r request) (response, error) {
	timeout := maxCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-returnMargin)
	}
	r.TimeoutMs = max(1, timeout.Milliseconds())
	call := &pendingCall{request: r, result: make(chan response, 1)}
	if !s.register(call) || !s.requests.add(call) {
		s.abandon(call)
		return response{}, fmt.Errorf("%w: %w", fleet.ErrNotSent, errStreamEnded)
	}
	select {
	case answer, ok := <-call.result:
		if ok {
			return answer, answer.err()
		}
		return response{}, s.failure(call, errStreamEnded)
	case <-ctx.Done():
		return response{}, s.failure(call, ctx.Err())
	}
}

func (s *stream) register(call *pendingCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.nextID++
	call.request.ID = s.nextID
	s.pending[s.nextID] = call
	return true
}

// abandon forgets a call and reports whether its request may have reached the agent.
func (s *stream) abandon(call *pendingCall) (written bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, call.request.ID)
	call.dropped = true
	return call.written
}

func (s *stream) failure(call *pendingCall, cause error) error {
	if s.abandon(call) {
		return fmt.Errorf("agent %s: %w", s.addr, cause)
	}
	return fmt.Errorf("%w: agent %s: %w", fleet.ErrNotSent, s.addr, cause)
}
