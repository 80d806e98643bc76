package fleet

import (
	"context"
	"sync"

	"samphirepaddle.example/core/model"
)

// maxSearchingCalls is the number of calls that look for a leader at the same time once none has responded for
// leaderTimeout. All others fail at once and truly without effect: with half of the controllers unreachable, one
// round takes longer than callers wait, and they would learn at their deadline that nothing was done.
const maxSearchingCalls = 2

// admitCall reports whether a call may be made, and whether it looks for a leader. done must be called if it may.
func (c *Client) admitCall(op string) (done func(), searching, ok bool) {
	if op == opPing || c.SinceContact() <= leaderTimeout {
		return func() {}, false, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.searching >= maxSearchingCalls {
		return nil, true, false
	}
	c.searching++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.searching--
	}, true, true
}

// FindLeader asks all known controllers at the same time whether they lead. It returns once one does, or all
// have answered or failed.
func (c *Client) FindLeader(ctx context.Context) {
	data, err := model.Encode(struct{}{})
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var asked sync.WaitGroup
	for _, addr := range c.ControllerAddrs() {
		asked.Go(func() {
			if _, _, err := c.callAt(ctx, addr, opPing, data); err == nil {
				cancel()
			}
		})
	}
	asked.Wait()
}
