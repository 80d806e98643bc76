package fleet

import "context"

// inFlightCalls are the calls to controllers that have no response yet.
type inFlightCalls map[*inFlightCall]struct{}

type inFlightCall struct {
	addr   string
	cancel context.CancelFunc
}

// cancelOthers cancels the calls to all other addresses than that of the leader.
func (f inFlightCalls) cancelOthers(leader string) {
	for call := range f {
		if call.addr != leader {
			call.cancel()
		}
	}
}

// beginCall returns the context of a call to an address. It ends after callTimeout, or once another
// controller responds as the leader: a call to a frozen leader would otherwise hold its caller's
// request until the timeout although the next leader is known. done must be called.
func (c *Client) beginCall(ctx context.Context, addr string) (_ context.Context, done func()) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	call := &inFlightCall{addr, cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call] = struct{}{}
	return ctx, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.calls, call)
	}
}
