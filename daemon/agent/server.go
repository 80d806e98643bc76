package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/fleet"
)

// maxQueuedResponses bounds the responses that wait for a leader that does not read. A stream that
// exceeds it ends.
const maxQueuedResponses = 1 << 16

// leaderTimeout ends a stream on which the leader sends nothing. It sends a ping every 200 ms.
const leaderTimeout = 5 * time.Second

// smallFrame is the size up to which frames are not accounted. Most have a few calls.
const smallFrame = 4 << 10

// Budget accounts the connections of streams and the memory of frames. It is implemented by intake.Guard.
type Budget interface {
	// Received notes that a frame has arrived on a connection.
	Received(conn net.Conn)
	// Frame returns a reader that fails once the frame is given up, and a function that ends its account.
	Frame(conn net.Conn, r io.Reader) (reader io.Reader, release func())
}

// Server executes the calls that leaders send.
type Server struct {
	workers fleet.WorkerClient
	zone    model.Zone
	budget  Budget
	logger  zerolog.Logger

	highestToken atomic.Uint64 // highest fencing token in any request
	draining     atomic.Bool

	mu      sync.Mutex
	streams map[*serverStream]struct{}
}

// NewServer returns an agent in an availability zone that calls workers through the client.
func NewServer(workers fleet.WorkerClient, zone model.Zone, budget Budget, logger zerolog.Logger) *Server {
	return &Server{workers: workers, zone: zone, budget: budget, logger: logger, streams: map[*serverStream]struct{}{}}
}

// ServeHTTP upgrades the connection to a stream and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocolName {
		w.Header().Set("Upgrade", protocolName)
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.logger.Error().Err(err).Msg("cannot take over the connection of a stream")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if err := s.accept(conn); err != nil {
		s.logger.Info().Err(err).Msg("stream of calls not accepted")
		return
	}
	err = s.serve(conn, buffer.Reader)
	s.logger.Info().Err(err).Str("leader", r.RemoteAddr).Msg("stream of calls ended")
}

func (s *Server) accept(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n\r\n", protocolName, headerZone, s.zone)
	return err
}

// serverStream is one stream with a leader.
type serverStream struct {
	server    *Server
	ctx       context.Context // done when the stream ends; calls in progress are then given up
	responses *batcher[response]
	pong      atomic.Uint64
}

func (s *Server) serve(conn net.Conn, reader *bufio.Reader) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := &serverStream{server: s, ctx: ctx}
	stream.responses = newBatcher(maxQueuedResponses, func(items []response) error {
		return writeTo(conn, responseFrame{Pong: stream.pong.Load(), Draining: s.draining.Load(), Responses: items})
	})
	s.track(stream)
	defer s.forget(stream)
	go func() {
		_ = stream.responses.run(ctx.Done()) // the reader reports why the connection has ended
		conn.Close()
	}()
	delays := delayMeter{}
	for {
		if err := conn.SetReadDeadline(time.Now().Add(leaderTimeout)); err != nil {
			return err
		}
		frame, release, err := s.readRequests(conn, reader)
		if err != nil {
			return err
		}
		s.budget.Received(conn)
		received := bootclock.Now()
		delay := delays.observe(bootclock.Time(frame.SentAt), received)
		if frame.Ping != 0 {
			stream.pong.Store(frame.Ping)
			stream.responses.wake()
		}
		var calls sync.WaitGroup
		for _, r := range frame.Requests {
			calls.Go(func() { stream.execute(r, received.Add(-delay)) })
		}
		if release != nil {
			go func() {
				calls.Wait()
				release()
			}()
		}
	}
}

// readRequests reads the next frame. A large one is accounted until release is called, because its calls refer to it;
// release is nil for others.
func (s *Server) readRequests(conn net.Conn, reader io.Reader) (frame requestFrame, release func(), err error) {
	size, err := readFrameSize(reader)
	if err != nil {
		return frame, nil, err
	}
	body := io.LimitReader(reader, size)
	if size > smallFrame {
		body, release = s.budget.Frame(conn, body)
	}
	if err = readFrameBody(body, size, &frame); err != nil && release != nil {
		release()
		release = nil
	}
	return frame, release, err
}

func (s *Server) track(stream *serverStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
}

func (s *Server) forget(stream *serverStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// Drain tells the leaders to send their next calls through another agent. Calls in progress go on.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		stream.responses.wake()
	}
}

// execute makes one call and queues its response. sentAt is when the leader sent the request, on
// the agent's clock.
func (s *serverStream) execute(r request, sentAt bootclock.Time) {
	answer := response{ID: r.ID}
	defer func() {
		if reason := recover(); reason != nil {
			s.server.logger.Error().Interface("panic", reason).Str("worker", string(r.To.Worker)).
				Str("job", string(r.Attempt.Task.Job)).Bytes("stack", debug.Stack()).Msg("a call to a worker panicked")
			answer = response{ID: r.ID}
			answer.setError(errors.New("the agent panicked during the call"))
		}
		s.responses.add(answer)
	}()
	remaining := time.Duration(r.TimeoutMs)*time.Millisecond - bootclock.Since(sentAt)
	if remaining <= 0 {
		// The leader has given the call up, or is about to.
		answer.setError(fmt.Errorf("%w: it reached the agent too late", fleet.ErrNotSent))
		return
	}
	if !s.server.acceptToken(r.Token) {
		answer.setError(fleet.ErrFenced)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, remaining)
	defer cancel()
	s.server.call(ctx, r, &answer)
}

// acceptToken reports whether no request with a higher fencing token has been received. Workers
// check the token too, but a worker that has just restarted has not seen any.
func (s *Server) acceptToken(token uint64) bool {
	for {
		highest := s.highestToken.Load()
		if token <= highest {
			return token == highest
		}
		if s.highestToken.CompareAndSwap(highest, token) {
			return true
		}
	}
}

func (s *Server) call(ctx context.Context, r request, answer *response) {
	to := fleet.Endpoint{Incarnation: r.To, Addr: r.Addr}
	var err error
	switch r.Operation {
	case opStart:
		answer.Clock, err = s.workers.Start(ctx, to, fleet.StartCall{
			Attempt: r.Attempt, Payload: r.Payload, Checkpoint: r.Checkpoint, LeaseUntil: r.LeaseUntil, Token: r.Token,
		})
	case opStop:
		answer.Clock, err = s.workers.Stop(ctx, to, r.Attempt, r.Token)
	case opHold:
		var listing fleet.Listing
		listing, err = s.workers.Hold(ctx, to, fleet.HoldCall{LeaseUntil: r.LeaseUntil, Token: r.Token, AckedThrough: r.AckedThrough, Wait: r.Wait})
		answer.setListing(listing)
	case opPace:
		err = s.workers.Pace(ctx, to, r.Attempt, r.Percent, r.Token)
	default:
		err = fmt.Errorf("%w: unknown operation %d", fleet.ErrNotSent, r.Operation)
	}
	answer.setError(err)
}
