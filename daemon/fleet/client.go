package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/wait"
)

// Times of a call to the leader.
const (
	callTimeout = 900 * time.Millisecond // one try; a commit takes some 20 ms
	roundPause  = 40 * time.Millisecond  // after every known controller was tried
	maxKnown    = 16                     // addresses that are remembered beside the seeds
	// leaderPatience is how long a leader may be silent before calls fail after one round: an
	// election takes 0.6 to 1.2 s, and a longer silence means that no majority is connected.
	leaderPatience = 1500 * time.Millisecond
)

// NotRunError says that a call had no effect and will have none.
type NotRunError struct{ Cause error }

func (e *NotRunError) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Client calls the leader from any daemon. It finds the leader from the seeds and from what
// controllers answer, and tries again until the context ends: every operation may be repeated.
type Client struct {
	http   *http.Client
	logger zerolog.Logger
	group  func() []string // addresses of the controllers as the own log names them; nil on other daemons

	mu        sync.Mutex
	seeds     []string
	known     []string // members as controllers named them
	leader    string   // address that answered last, or the one that was named
	next      int
	contact   bootclock.Time // last answer of a leader
	connected bool
}

// NewClient returns a client that begins with the seeds.
func NewClient(seeds []string, transport http.RoundTripper, logger zerolog.Logger) *Client {
	return &Client{http: &http.Client{Transport: transport}, seeds: slices.Clone(seeds), logger: logger}
}

// NewMemberClient returns the client of a controller. It tells every daemon that it calls who
// the controllers are.
func NewMemberClient(seeds []string, transport http.RoundTripper, group func() []string, logger zerolog.Logger) *Client {
	c := NewClient(seeds, transport, logger)
	c.group = group
	return c
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// SinceContact returns how long ago a leader answered.
func (c *Client) SinceContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.contact == 0 {
		return time.Duration(1<<62 - 1)
	}
	return bootclock.Since(c.contact)
}

// LeaderAddr returns the address of the leader that answered last, or an empty string.
func (c *Client) LeaderAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		return ""
	}
	return c.leader
}

// MemberAddrs returns the addresses of the controllers as they named them.
func (c *Client) MemberAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.known)
}

// Submit hands in a workflow.
func (c *Client) Submit(ctx context.Context, s workflow.Submission) (JobAnswer, error) {
	return call[JobAnswer](ctx, c, opSubmit, s)
}

// Cancel cancels a workflow.
func (c *Client) Cancel(ctx context.Context, cancel workflow.Cancel) (JobAnswer, error) {
	return call[JobAnswer](ctx, c, opCancel, cancel)
}

// Lookup asks about a job or a queue.
func (c *Client) Lookup(ctx context.Context, q Query) (JobAnswer, error) {
	return call[JobAnswer](ctx, c, opAsk, q)
}

// Configure applies a ticket.
func (c *Client) Configure(ctx context.Context, t model.Ticket) (state.Result, error) {
	return call[state.Result](ctx, c, opConfigure, t)
}

// ReadConfiguration returns the newest routing table.
func (c *Client) ReadConfiguration(ctx context.Context) (Configuration, error) {
	return call[Configuration](ctx, c, opConfig, struct{}{})
}

// Report passes on a worker's heartbeat.
func (c *Client) Report(ctx context.Context, r Report) error {
	_, err := call[struct{}](ctx, c, opReport, r)
	return err
}

// Deregister passes on that a worker has ended.
func (c *Client) Deregister(ctx context.Context, id workflow.WorkerID) error {
	_, err := call[struct{}](ctx, c, opLeave, id)
	return err
}

// Ping asks whether a leader can be reached.
func (c *Client) Ping(ctx context.Context) error {
	_, err := call[struct{}](ctx, c, opPing, struct{}{})
	return err
}

// call tries controllers until the leader has answered, ctx is done, or no leader has been
// heard of for long: a caller that cannot be served is told at once.
func call[A, Q any](ctx context.Context, c *Client, op string, question Q) (A, error) {
	var answer A
	data, err := model.Encode(question)
	if err != nil {
		return answer, &NotRunError{err}
	}
	mayHaveRun := false
	var last error
	for tries := 1; ; tries++ {
		body, ran, err := c.try(ctx, op, data)
		if err == nil {
			return answer, model.Decode(body, &answer)
		}
		last = err
		mayHaveRun = mayHaveRun || ran
		if errors.Is(err, ErrNoConfiguration) {
			return answer, verdict(err, mayHaveRun)
		}
		if tries%c.fanout() == 0 {
			if c.SinceContact() > leaderPatience {
				return answer, verdict(last, mayHaveRun)
			}
			wait.For(ctx, roundPause)
		}
		if ctx.Err() != nil {
			return answer, verdict(last, mayHaveRun)
		}
	}
}

func verdict(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return &NotRunError{err}
}

// try makes one call. ran reports, with an error, whether the call may have had an effect.
func (c *Client) try(ctx context.Context, op string, data []byte) (body []byte, ran bool, err error) {
	addr := c.pick()
	if addr == "" {
		return nil, false, ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathPrefix+op, bytes.NewReader(data))
	if err != nil {
		return nil, false, err
	}
	request.GetBody = nil // the transport must not repeat a call by itself
	if c.group != nil {
		request.Header.Set(headerMembers, strings.Join(c.group(), ","))
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.failed(addr, "")
		return nil, !neverSent(err), fmt.Errorf("%s at %s: %w", op, addr, err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxCallBytes))
	c.learn(response.Header.Get(headerMembers))
	switch {
	case err != nil:
		c.failed(addr, "")
		return nil, true, err
	case response.StatusCode == http.StatusOK:
		c.succeeded(addr)
		return body, false, nil
	case response.StatusCode == statusNotLeading:
		c.failed(addr, response.Header.Get(headerLeader))
		return nil, false, ErrNotLeading
	case response.StatusCode == statusNoConfiguration:
		c.succeeded(addr)
		return nil, false, ErrNoConfiguration
	}
	c.failed(addr, "")
	return nil, true, fmt.Errorf("%s at %s: status %d", op, addr, response.StatusCode)
}

// neverSent reports whether the connection could not be opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	all := c.addresses()
	if len(all) == 0 {
		return ""
	}
	return all[c.next%len(all)]
}

// addresses returns the seeds and then the known members; mu is held.
func (c *Client) addresses() []string {
	all := slices.Clone(c.seeds)
	known := c.known
	if c.group != nil {
		known = append(c.group(), known...)
	}
	for _, addr := range known {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// Introduce tells the seeds that are no controllers who the controllers are. After all daemons
// have lost power, relays that are each other's seeds know nobody else.
func (c *Client) Introduce(ctx context.Context) {
	members := c.group()
	c.mu.Lock()
	seeds := slices.Clone(c.seeds)
	c.mu.Unlock()
	for _, addr := range seeds {
		if slices.Contains(members, addr) {
			continue
		}
		if err := c.introduceTo(ctx, addr, members); err != nil {
			c.logger.Debug().Err(err).Str("seed", addr).Msg("controllers not named to a seed")
		}
	}
}

func (c *Client) introduceTo(ctx context.Context, addr string, members []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathPrefix+opPing, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set(headerMembers, strings.Join(members, ","))
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (c *Client) fanout() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, len(c.addresses()))
}

func (c *Client) succeeded(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
	c.contact = bootclock.Now()
	if !c.connected {
		c.connected = true
		c.logger.Info().Str("leader", addr).Msg("leader found")
	}
}

// failed notes that addr did not answer as the leader, and who it says leads. A call that began
// before another one found the leader changes nothing: its address may be a frozen VM, whose
// calls fail for as long as it is asked.
func (c *Client) failed(addr, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" && c.leader != addr {
		return
	}
	if c.connected && c.leader == addr {
		c.connected = false
		c.logger.Info().Str("leader", addr).Str("named", leader).Msg("leader lost")
	}
	if all := c.addresses(); len(all) > 0 && all[c.next%len(all)] == addr {
		c.next++ // once, however many calls fail there at a time
	}
	c.leader = ""
	if leader != addr {
		c.leader = leader
	}
}

func (c *Client) learn(members string) {
	if members == "" {
		return
	}
	list := strings.Split(members, ",")
	if len(list) > maxKnown {
		list = list[:maxKnown]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = list
}
