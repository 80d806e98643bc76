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

// Target is a running stand-in target.
type Target struct {
	config      Config
	startID     string
	log         zerolog.Logger
	listener    net.Listener
	server      *http.Server
	client      *http.Client
	announceNow chan struct{} // triggers an immediate announcement
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu                  sync.Mutex // guards all fields below
	tracker             workTracker
	faults              Faults
	epoch               model.Epoch // highest epoch seen
	leaseExpiry         time.Time   // monotonic; zero before the first renewal
	leaseTimer          *time.Timer
	leavingAt           time.Time // zero while ready
	closed              bool      // no new task may start, so that Close can wait for the running ones
	leavingAcknowledged bool      // a gateway has responded to a leaving announcement
	owner               string    // owner address from the last announcement response
	sequence            uint64
	tasks               map[model.AttemptID]*task // all tasks since the start of this process, ended ones included
	quickRequests       map[model.RequestID]int   // number of quick requests in progress by request id
	unacknowledgedEnds  map[model.AttemptID]model.EndedAttempt
	usage               usageLog
	lastQuickResponse   QuickResponse // for Faults.SendPrevious
}

// Start starts a target: it listens for work and sends announcements until Close or Leave.
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
	t.goroutines.Go(func() { t.serve() })
	t.goroutines.Go(func() { t.announceLoop(ctx) })
	t.goroutines.Go(func() { t.usageLoop(ctx) })
	return t, nil
}

func newTarget(config Config, log zerolog.Logger, listener net.Listener) *Target {
	startID := rand.Text()
	t := &Target{
		config:             config,
		startID:            startID,
		log:                log,
		listener:           listener,
		client:             &http.Client{Timeout: announceTimeout},
		announceNow:        make(chan struct{}, 1),
		tracker:            workTracker{startID: startID, capacity: config.Capacity, seen: map[string]bool{}},
		tasks:              map[model.AttemptID]*task{},
		quickRequests:      map[model.RequestID]int{},
		unacknowledgedEnds: map[model.AttemptID]model.EndedAttempt{},
	}
	t.leaseTimer = time.AfterFunc(time.Hour, t.checkLease)
	t.leaseTimer.Stop()
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: readHeaderTimeout}
	return t
}

// readHeaderTimeout limits the time to receive the headers of a request.
const readHeaderTimeout = 10 * time.Second

func (t *Target) serve() {
	err := t.server.Serve(t.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		t.log.Error().Err(err).Msg("HTTP server failed")
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

// Address returns the ip:port at which the target listens, as announced to gateways.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// StartID returns the random id that distinguishes this run of the target from earlier ones.
func (t *Target) StartID() string {
	return t.startID
}

// leavePollInterval is the interval at which Leave checks whether the target can exit.
const leavePollInterval = 20 * time.Millisecond

// Leave announces that the target is leaving and closes it once all work has ended, every end
// of an attempt is acknowledged, and a gateway has responded to a leaving announcement. If ctx is
// done first, Leave closes the target at once and returns an error.
func (t *Target) Leave(ctx context.Context) error {
	t.mu.Lock()
	if t.leavingAt.IsZero() {
		t.leavingAt = time.Now()
	}
	t.mu.Unlock()
	t.triggerAnnouncement()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for !t.canExit() {
		select {
		case <-ctx.Done():
			t.Close()
			return fmt.Errorf("target closed before its work, acknowledgements and leaving announcement were complete: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	err := t.server.Shutdown(ctx)
	t.Close()
	return err
}

func (t *Target) canExit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	acknowledged := t.leavingAcknowledged || len(t.config.Gateways) == 0
	return acknowledged && len(t.quickRequests) == 0 && len(t.running()) == 0 && len(t.unacknowledgedEnds) == 0
}

// Close stops the target at once, without a leaving announcement, as if its process were killed.
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
	t.goroutines.Wait()
}
