package fleet

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/wait"
)

// Timeouts and limits of calls to the leader.
const (
	callTimeout = 900 * time.Millisecond // of one call to one controller; a commit takes about 20 ms
	retryDelay  = 40 * time.Millisecond  // after all known controllers have been tried
	maxMembers  = 16                     // controller addresses that are kept in addition to the seeds
	// leaderTimeout is the time without a response from a leader after which a call fails as soon
	// as every controller has been tried. An election takes 0.6 to 1.2 s; a longer silence means
	// that no majority is connected.
	leaderTimeout = 1500 * time.Millisecond
)

// NotRunError reports that a call had no effect and never will.
type NotRunError struct{ Cause error }

func (e *NotRunError) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Client calls the leader from any daemon. It finds the leader through the seeds and the addresses
// that controllers return. It retries until the context ends, because every operation is
// idempotent.
type Client struct {
	http   *http.Client
	logger zerolog.Logger
	self   string                // address of this daemon on a controller, otherwise empty
	group  func() ControllerList // the members in the local log of a controller; nil on other daemons. Called with mu held

	mu          sync.Mutex
	seeds       []string
	known       knownControllers
	leader      string         // address that last responded as the leader, or that a controller named as the leader
	next        int            // index in addresses of the controller to try if no leader is known
	lastContact bootclock.Time // time of the last response from a leader
	connected   bool           // the last call to the address in leader succeeded
	calls       inFlightCalls
	searching   int // calls that look for a leader
}

// NewClient returns a client that starts from the seed addresses.
func NewClient(seeds []string, transport http.RoundTripper, logger zerolog.Logger) *Client {
	return &Client{http: &http.Client{Transport: transport}, seeds: callableAddrs(seeds), logger: logger, calls: inFlightCalls{}}
}

// NewControllerClient returns the client of the controller with the address self. group returns
// the members in its log. Every call carries them, or a newer list that the client has received.
func NewControllerClient(self string, seeds []string, transport http.RoundTripper, group func() ControllerList, logger zerolog.Logger) *Client {
	c := NewClient(seeds, transport, logger)
	c.self, c.group = self, group
	return c
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = callableAddrs(seeds)
}

// SinceContact returns the time since the last response from a leader. It is longer than any timeout if
// none has ever responded.
func (c *Client) SinceContact() time.Duration {
	if age, ok := c.ContactAge(); ok {
		return age
	}
	return time.Duration(1<<62 - 1)
}

// ContactAge returns the time since the last response from a leader, and false if none has ever responded.
func (c *Client) ContactAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bootclock.Since(c.lastContact), c.lastContact != 0
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

// KnownControllers returns the newest list of controllers that was received from another daemon.
func (c *Client) KnownControllers() ControllerList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.list
}

// newest returns the newer of the list in the local log and the received one; c.mu must be held.
func (c *Client) newest() ControllerList {
	if c.group == nil {
		return c.known.list
	}
	return c.group().Newer(c.known.list)
}

// MemberAddrs returns the addresses in the newest list of controllers that was received from another daemon.
func (c *Client) MemberAddrs() []string { return slices.Clone(c.KnownControllers().Addrs) }

// ControllerAddrs returns the addresses at which the client looks for the leader.
func (c *Client) ControllerAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses()
}

// DescribeControllers adds to a line where the client looks for the leader.
func (c *Client) DescribeControllers(line *zerolog.Event) *zerolog.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	line = line.Strs("seeds", c.seeds).Str("asks", c.leader)
	if len(c.known.list.Addrs) == 0 {
		return line
	}
	return c.known.describe(line).Int64("confirmed_ms_ago", bootclock.Since(c.known.confirmed).Milliseconds())
}

// Submit submits a workflow.
func (c *Client) Submit(ctx context.Context, s workflow.Submission) (JobResponse, error) {
	return call[JobResponse](ctx, c, opSubmit, s)
}

// Cancel cancels a workflow.
func (c *Client) Cancel(ctx context.Context, cancel workflow.Cancel) (JobResponse, error) {
	return call[JobResponse](ctx, c, opCancel, cancel)
}

// Lookup returns the state of a job, or the number of pending jobs of a queue.
func (c *Client) Lookup(ctx context.Context, q Query) (JobResponse, error) {
	return call[JobResponse](ctx, c, opLookup, q)
}

// Configure applies a configuration ticket.
func (c *Client) Configure(ctx context.Context, t model.Ticket) (state.Result, error) {
	return call[state.Result](ctx, c, opConfigure, t)
}

// ReadConfiguration returns the newest routing table.
func (c *Client) ReadConfiguration(ctx context.Context) (Configuration, error) {
	return call[Configuration](ctx, c, opConfig, struct{}{})
}

// ReportWorker forwards a worker's heartbeat.
func (c *Client) ReportWorker(ctx context.Context, r WorkerReport) error {
	result, err := call[ReportResult](ctx, c, opReport, r)
	return result.check(err)
}

// Deregister deregisters a worker whose process has ended.
func (c *Client) Deregister(ctx context.Context, id workflow.WorkerID) error {
	result, err := call[ReportResult](ctx, c, opDeregister, id)
	return result.check(err)
}

// Ping checks whether a leader can be reached.
func (c *Client) Ping(ctx context.Context) error {
	_, err := call[struct{}](ctx, c, opPing, struct{}{})
	return err
}

// call tries the controllers until the leader answers or ctx is done. If no leader has answered
// within leaderTimeout, it fails, so that callers do not wait until their deadline while there is no
// leader; a few calls go on for one round.
func call[Resp, Req any](ctx context.Context, c *Client, op string, request Req) (Resp, error) {
	var response Resp
	data, err := model.Encode(request)
	if err != nil {
		return response, &NotRunError{err}
	}
	done, searching, ok := c.admitCall(op)
	if !ok {
		return response, &NotRunError{ErrNotLeading}
	}
	defer done()
	mayHaveRun := false
	var last error
	for tries := 1; ; tries++ {
		body, ran, err := c.callOnce(ctx, op, data)
		if err == nil {
			return response, model.Decode(body, &response)
		}
		last = err
		mayHaveRun = mayHaveRun || ran
		if errors.Is(err, ErrNoConfiguration) {
			return response, callError(err, mayHaveRun)
		}
		round := tries%c.addressCount() == 0
		if c.SinceContact() > leaderTimeout && (round || !searching) {
			return response, callError(last, mayHaveRun)
		}
		if round {
			wait.For(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return response, callError(last, mayHaveRun)
		}
	}
}

func callError(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return &NotRunError{err}
}

// callOnce makes one call. If it fails, mayHaveRun reports whether it may have had an effect.
func (c *Client) callOnce(ctx context.Context, op string, data []byte) (body []byte, mayHaveRun bool, err error) {
	addr := c.nextAddr()
	if addr == "" {
		return nil, false, ErrNotLeading
	}
	return c.callAt(ctx, addr, op, data)
}

// callAt makes one call to one controller.
func (c *Client) callAt(ctx context.Context, addr, op string, data []byte) (body []byte, mayHaveRun bool, err error) {
	ctx, done := c.beginCall(ctx, addr)
	defer done()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathPrefix+op, bytes.NewReader(data))
	if err != nil {
		c.recordFailure(addr, "") // a request to the address cannot be made, so the next one is tried
		return nil, false, err
	}
	request.GetBody = nil // prevents automatic retries by the transport
	c.setGroupHeader(request.Header)
	response, connected, err := DoTracked(c.http, request)
	if err != nil {
		c.recordFailure(addr, "")
		return nil, connected, fmt.Errorf("%s at %s: %w", op, addr, err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, MaxCallBytes))
	c.learn(response.Header, addr)
	switch {
	case err != nil:
		c.recordFailure(addr, "")
		return nil, true, err
	case response.StatusCode == http.StatusOK:
		c.recordSuccess(addr)
		return body, false, nil
	case response.StatusCode == statusNotLeading:
		c.recordFailure(addr, response.Header.Get(headerLeader))
		return nil, false, ErrNotLeading
	case response.StatusCode == statusNoConfiguration:
		c.recordSuccess(addr)
		return nil, false, ErrNoConfiguration
	}
	c.recordFailure(addr, "")
	return nil, true, fmt.Errorf("%s at %s: status %d", op, addr, response.StatusCode)
}

func (c *Client) nextAddr() string {
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

// addresses returns the seeds followed by the other known controllers; c.mu must be held.
func (c *Client) addresses() []string {
	all := slices.Clone(c.seeds)
	for _, addr := range c.newest().Addrs {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// callableAddrs returns the addresses to which a request can be made. The lists are from other programs, and
// the rest of a list remains useful beside one entry that is no address.
func callableAddrs(addrs []string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool {
		parsed, err := url.Parse("http://" + addr)
		if err != nil || parsed.Host != addr || parsed.Hostname() == "" {
			return true
		}
		port, err := strconv.ParseUint(cmp.Or(parsed.Port(), "80"), 10, 16)
		return err != nil || port == 0
	})
}

func (c *Client) addressCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, len(c.addresses()))
}

func (c *Client) recordSuccess(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected || c.leader != addr {
		c.calls.cancelOthers(addr)
	}
	c.leader = addr
	c.lastContact = bootclock.Now()
	if !c.connected {
		c.connected = true
		c.logger.Info().Str("leader", addr).Msg("leader found")
	}
}

// recordFailure records that addr did not answer as the leader, and the leader that it named, if
// any. The failure is ignored if another address is known as the leader by now: calls to a frozen
// VM fail late and must not discard a leader that was found meanwhile.
func (c *Client) recordFailure(addr, leader string) {
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
		c.next++ // only once, even if several concurrent calls fail at this address
	}
	c.leader = ""
	if leader != addr {
		c.leader = leader
	}
}
