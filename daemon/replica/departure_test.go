package replica

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// logBuffer collects the lines of several controllers.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.lines.String(), text)
}

func (c *cluster) leave(i int) {
	c.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	if err := c.controllers[i].replica.Leave(ctx); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a replaced controller that the leader adds again as a learner while it is still
// shutting down, and that stays a member although it does not come back.
func TestReplacedControllerStaysOutWhileItShutsDown(t *testing.T) {
	var log logBuffer
	c := newCluster(t, 3, func(o *Options) {
		o.OpenMembership, o.MaxVoters = true, 3
		o.ElectionTicks = 48 // Leave waits this long; two changes took more than the default of 300 ms at a load of 36
		o.Logger = zerolog.New(&log)
	})
	old, id := c.replaceFollower(c.leave)
	time.Sleep(3 * noLeaderTimeout / 2) // a directory that is no member sends requests after noLeaderTimeout
	for _, member := range c.controllers[c.leader()].replica.Status().Members {
		if member.ID == id {
			t.Errorf("the replaced controller is a member again: %+v", member)
		}
	}
	if log.count(`"successor":"gateway-3","message":"controller shuts down`) == 0 {
		t.Error("no line names the controller that leaves and its successor")
	}
	c.kill(old)
	c.start(old)
	c.waitMember(old, true)
	c.propose(2)
}

// Guards against a departure that no line of the leader mentions.
func TestDepartureWithoutLearnerIsLogged(t *testing.T) {
	var log logBuffer
	c := newCluster(t, 3, func(o *Options) {
		o.OpenMembership, o.MaxVoters = true, 3
		o.Logger = zerolog.New(&log)
	})
	c.propose(1)
	leaving := (c.leader() + 1) % 3
	c.leave(leaving)
	if got := log.count(`"gateway":"` + string(c.controllers[leaving].options.Gateway) + `"`); got == 0 {
		t.Error("no line names the controller that leaves")
	}
	if got := log.count("controller shuts down and no learner can replace it"); got != 1 {
		t.Errorf("%d lines about the departure, want 1", got)
	}
}
