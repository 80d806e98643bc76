package fleet

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
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
	http       *http.Client
	logger     zerolog.Logger
	groupAddrs func() []string // addresses of the controllers in the local log; nil on daemons that are not controllers

	mu            sync.Mutex
	seeds         []string
	members       []string       // controller addresses, as last received from another daemon
	membersHeader string         // from which members was read
	leader        string         // address that last responded as the leader, or that a controller named as the leader
	next          int            // index in addresses of the controller to try if no leader is known
	lastContact   bootclock.Time // time of the last response from a leader
	connected     bool           // the last call to the address in leader succeeded
	calls         inFlightCalls
}

// NewClient returns a client that starts from the seed addresses.
func NewClient(seeds []string, transport http.RoundTripper, logger zerolog.Logger) *Client {
	return &Client{http: &http.Client{Transport: transport}, seeds: callableAddrs(seeds), logger: logger, calls: inFlightCalls{}}
}

// NewControllerClient returns the client of a controller. It sends the addresses of the controllers
// with every call.
func NewControllerClient(seeds []string, transport http.RoundTripper, groupAddrs func() []string, logger zerolog.Logger) *Client {
	c := NewClient(seeds, transport, logger)
	c.groupAddrs = groupAddrs
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

// MemberAddrs returns the controller addresses as last received from another daemon.
func (c *Client) MemberAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

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
	return line.Strs("seeds", c.seeds).Strs("controllers", c.members).Str("asks", c.leader)
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
// within leaderTimeout, it fails after one round, so that callers do not wait until their deadline
// while there is no leader.
func call[Resp, Req any](ctx context.Context, c *Client, op string, request Req) (Resp, error) {
	var response Resp
	data, err := model.Encode(request)
	if err != nil {
		return response, &NotRunError{err}
	}
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
		if tries%c.addressCount() == 0 {
			if c.SinceContact() > leaderTimeout {
				return response, callError(last, mayHaveRun)
			}
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
	ctx, done := c.beginCall(ctx, addr)
	defer done()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathPrefix+op, bytes.NewReader(data))
	if err != nil {
		c.recordFailure(addr, "") // a request to the address cannot be made, so the next one is tried
		return nil, false, err
	}
	request.GetBody = nil // prevents automatic retries by the transport
	if c.groupAddrs != nil {
		request.Header.Set(headerMembers, strings.Join(c.groupAddrs(), ","))
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.recordFailure(addr, "")
		return nil, !dialFailed(err), fmt.Errorf("%s at %s: %w", op, addr, err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxCallBytes))
	c.setMembers(response.Header.Get(headerMembers))
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

// dialFailed reports whether the connection could not be opened, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
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
	members := c.members
	if c.groupAddrs != nil {
		members = append(c.groupAddrs(), members...)
	}
	for _, addr := range members {
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

// AnnounceMembers sends the addresses of the controllers to the seeds that are not members of the group.
// Without these announcements, relays whose seeds are only other relays could not find the
// controllers after a power loss of all VMs, and nor could an empty controller that is a seed itself.
func (c *Client) AnnounceMembers(ctx context.Context) {
	members := c.groupAddrs()
	c.mu.Lock()
	seeds := slices.Clone(c.seeds)
	c.mu.Unlock()
	for _, addr := range seeds {
		if slices.Contains(members, addr) {
			continue
		}
		if err := c.announceMembersTo(ctx, addr, members); err != nil {
			c.logger.Debug().Err(err).Str("seed", addr).Msg("could not send the controllers' addresses to a seed")
		}
	}
}

func (c *Client) announceMembersTo(ctx context.Context, addr string, members []string) error {
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

func (c *Client) setMembers(header string) {
	if header == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if header == c.membersHeader {
		return // nearly every request and response repeats the same list
	}
	list := callableAddrs(strings.Split(header, ","))
	if len(list) > maxMembers {
		list = list[:maxMembers]
	}
	c.members, c.membersHeader = list, header
}
