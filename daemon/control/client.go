// Package control is the client of the controllers' Control service. It finds the leader and
// follows leader changes.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/rpc"
	"samphirepaddle.example/daemon/wait"
)

// MetaLeader is the metadata key that carries the leader's address in a twirp error.
const MetaLeader = "leader"

// retryInterval is the wait after all controllers were tried without finding a leader.
const retryInterval = 20 * time.Millisecond

// attemptTimeout limits one call, so that a controller behind a network partition that drops
// packets does not use up the caller's whole deadline.
const attemptTimeout = 700 * time.Millisecond

// ErrOutcomeUnknown is returned if a proposal may or may not have been committed.
var ErrOutcomeUnknown = errors.New("the outcome of the proposal is unknown")

// Client calls the leader of the controllers.
type Client struct {
	http *http.Client

	mu          sync.Mutex
	addresses   []string // peer addresses of the controllers
	leader      string   // address of the last known leader, or empty
	nextAddress int
	clients     map[string]rpc.Control

	// syncMu guards view. Renewals are sequential, so it is held during the call.
	syncMu sync.Mutex
	view   syncmsg.View
}

// NewClient returns a client for the controllers at the given peer addresses.
func NewClient(addresses []string, transport http.RoundTripper) *Client {
	return &Client{
		http:      &http.Client{Transport: transport},
		addresses: addresses,
		clients:   map[string]rpc.Control{},
	}
}

// Propose commits a command and returns the result of applying it. A command may be
// proposed more than once during a leader change; every command is idempotent by its own
// identity.
func (c *Client) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := model.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	var result state.Result
	err = c.call(ctx, attemptTimeout, func(ctx context.Context, control rpc.Control) error {
		response, err := control.Propose(ctx, &rpc.ProposeRequest{Command: data})
		if err != nil {
			return err
		}
		return model.Decode(response.Result, &result)
	})
	if err != nil {
		return state.Result{}, fmt.Errorf("propose: %w", errors.Join(ErrOutcomeUnknown, err))
	}
	return result, nil
}

// Sync renews the session once. It does not retry, because the lease counts from the time at
// which this call was sent. Partial responses are merged into the client's view, so that the
// returned response is complete.
func (c *Client) Sync(ctx context.Context, request syncmsg.Request) (syncmsg.Response, error) {
	c.syncMu.Lock()
	defer c.syncMu.Unlock()
	c.view.Prepare(&request)
	data, err := model.Encode(request)
	if err != nil {
		return syncmsg.Response{}, err
	}
	address := c.currentAddress()
	reply, err := c.client(address).Sync(ctx, &rpc.SyncRequest{Body: data})
	if err != nil {
		c.noteFailure(address, err)
		return syncmsg.Response{}, fmt.Errorf("sync with %s: %w", address, err)
	}
	c.setLeader(address)
	var response syncmsg.Response
	if err := model.Decode(reply.Body, &response); err != nil {
		return syncmsg.Response{}, err
	}
	c.view.Merge(request, &response)
	return response, nil
}

// Read runs a linearizable query and returns the body of its result: JSON, except for the query
// "owner", which returns plain text.
func (c *Client) Read(ctx context.Context, query string, arguments any) (json.RawMessage, error) {
	data, err := model.Encode(arguments)
	if err != nil {
		return nil, err
	}
	var body []byte
	err = c.call(ctx, attemptTimeout, func(ctx context.Context, control rpc.Control) error {
		response, err := control.Read(ctx, &rpc.ReadRequest{Query: query, Arguments: data})
		if err != nil {
			return err
		}
		body = response.Body
		return nil
	})
	return body, err
}

// call tries controllers until one responds as the leader, one returns a permanent error, or ctx
// is done.
func (c *Client) call(ctx context.Context, timeout time.Duration, do func(context.Context, rpc.Control) error) error {
	for tries := 1; ; tries++ {
		address := c.currentAddress()
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err := do(attempt, c.client(address))
		cancel()
		if err == nil {
			c.setLeader(address)
			return nil
		}
		if isPermanent(err) {
			return err
		}
		c.noteFailure(address, err)
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		if tries%len(c.addresses) == 0 {
			wait.For(ctx, retryInterval)
		}
	}
}

// isPermanent reports whether every controller would return the same error.
func isPermanent(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return false
	}
	return twirpErr.Code() == twirp.InvalidArgument || twirpErr.Code() == twirp.NotFound
}

// currentAddress returns the address of the last known leader, or else of the controller that is
// next to be tried.
func (c *Client) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.addresses[c.nextAddress%len(c.addresses)]
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// noteFailure records that the controller at address did not respond as the leader. It adopts the
// leader that err names, if any.
func (c *Client) noteFailure(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	c.nextAddress++
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		if leader := twirpErr.Meta(MetaLeader); leader != address {
			c.leader = leader
		}
	}
}

func (c *Client) client(address string) rpc.Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = rpc.NewControlProtobufClient("http://"+address, c.http)
		c.clients[address] = client
	}
	return client
}
