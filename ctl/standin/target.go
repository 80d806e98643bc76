package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
)

// Target is one running stand-in target.
type Target struct {
	config   Config
	startID  string
	log      zerolog.Logger
	listener net.Listener
	server   *http.Server
	client   *http.Client
	wake     chan struct{} // asks for an announcement at once
	cancel   context.CancelFunc
	loops    sync.WaitGroup

	mu         sync.Mutex // guards all fields below
	ledger     ledger
	faults     Faults
	epoch      model.Epoch // greatest seen
	leaseEnd   time.Time   // monotonic; zero before the first renewal
	leaseTimer *time.Timer
	leavingAt  time.Time // zero while ready
	closed     bool      // no task starts any more, so that Close can wait for those that run
	leaveHeard bool      // a leaving announcement was answered
	owner      string    // address hint of the last answer
	sequence   uint64
	tasks      map[model.AttemptID]*task // every task of this process
	requests   map[model.RequestID]int   // quick requests in progress
	ended      map[model.AttemptID]model.EndedAttempt
	usage      usageLog
	last       QuickAnswer // to the previous quick request, for crossed answers
}

// Start listens and begins to announce.
func Start(config Config, log zerolog.Logger) (*Target, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", config.Listen, err)
	}
	t := newTarget(config, log, listener)
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.loops.Go(func() { t.serve() })
	t.loops.Go(func() { t.announceLoop(ctx) })
	t.loops.Go(func() { t.usageLoop(ctx) })
	return t, nil
}

func newTarget(config Config, log zerolog.Logger, listener net.Listener) *Target {
	startID := rand.Text()
	t := &Target{
		config:   config,
		startID:  startID,
		log:      log,
		listener: listener,
		client:   &http.Client{Timeout: announceTimeout},
		wake:     make(chan struct{}, 1),
		ledger:   ledger{startID: startID, capacity: config.Capacity, seen: map[string]bool{}},
		tasks:    map[model.AttemptID]*task{},
		requests: map[model.RequestID]int{},
		ended:    map[model.AttemptID]model.EndedAttempt{},
	}
	t.leaseTimer = time.AfterFunc(time.Hour, t.checkLease)
	t.leaseTimer.Stop()
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: readHeaderTimeout}
	return t
}

// readHeaderTimeout bounds a connection that sends no request headers.
const readHeaderTimeout = 10 * time.Second

func (t *Target) serve() {
	err := t.server.Serve(t.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		t.log.Error().Err(err).Msg("serving ended")
	}
}

func (t *Target) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /samphire/v1/tasks", t.handleStart)
	mux.HandleFunc("POST /samphire/v1/tasks/{job}/{number}/checkpoint", t.handleCheckpoint)
	mux.HandleFunc("POST /samphire/v1/tasks/{job}/{number}/throttle", t.handleThrottle)
	mux.HandleFunc("POST /samphire/v1/tasks/{job}/{number}/stop", t.handleStop)
	mux.HandleFunc("GET /samphire/v1/tasks/{job}/{number}/output", t.handleOutput)
	mux.HandleFunc("GET /standin/violations", t.handleViolations)
	mux.HandleFunc("GET /standin/stats", t.handleStats)
	mux.HandleFunc("GET /standin/journal", t.handleJournal)
	mux.HandleFunc("GET /standin/faults", t.handleGetFaults)
	mux.HandleFunc("POST /standin/faults", t.handleSetFaults)
	mux.HandleFunc("/", t.handleQuick)
	return mux
}

// Address returns the ip:port that the target announces.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// StartID returns the id of this process of the target.
func (t *Target) StartID() string {
	return t.startID
}

// leavePoll is the interval at which Leave looks for the end of the work in progress.
const leavePoll = 20 * time.Millisecond

// Leave announces that the target is leaving and closes it when its work has ended, every end
// of an attempt is acknowledged and one leaving announcement was answered. It closes it early
// if ctx ends.
func (t *Target) Leave(ctx context.Context) error {
	t.mu.Lock()
	if t.leavingAt.IsZero() {
		t.leavingAt = time.Now()
	}
	t.mu.Unlock()
	t.announceSoon()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for !t.mayExit() {
		select {
		case <-ctx.Done():
			t.Close()
			return fmt.Errorf("leave ended before work, acknowledgements or the leaving announcement were complete: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	err := t.server.Shutdown(ctx)
	t.Close()
	return err
}

func (t *Target) mayExit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := t.leaveHeard || len(t.config.Gateways) == 0
	return heard && len(t.requests) == 0 && len(t.running()) == 0 && len(t.ended) == 0
}

// Close ends the target at once, as a kill would.
func (t *Target) Close() {
	t.cancel()
	t.server.Close()
	t.mu.Lock()
	t.closed = true
	t.leaseTimer.Stop()
	for _, id := range t.running() {
		t.tasks[id].requestStop(outcomeStopped)
	}
	t.mu.Unlock()
	t.loops.Wait()
}
