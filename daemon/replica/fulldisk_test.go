package replica

import (
	"net"
	"testing"

	"samphirepaddle.example/core/model"
)

// addController starts a further controller with an empty directory, which asks to be added.
func (c *cluster) addController(gateway model.GatewayID, dir string) int {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	o := c.controllers[0].options
	o.Gateway, o.Addr, o.Dir, o.Seed = gateway, listener.Addr().String(), dir, uint64(len(c.controllers)+1)
	o.JoinOnly = true
	listener.Close()
	c.controllers = append(c.controllers, &controller{options: o})
	c.start(len(c.controllers) - 1)
	return len(c.controllers) - 1
}

// waitMember waits until the directory of the controller is a committed member, as a learner or not.
func (c *cluster) waitMember(i int, learner bool) {
	c.t.Helper()
	id := c.controllers[i].replica.identity().ID
	c.waitFor("membership of "+string(c.controllers[i].options.Gateway), func() bool {
		status := c.controllers[c.leader()].replica.Status()
		for _, member := range status.Members {
			if member.ID == id {
				return member.Learner == learner && !status.ChangePending
			}
		}
		return false
	})
}

// Guards against a controller that stays out of its group for good because a learner replaced it
// while its disk was full: when two other controllers are lost later, one after the other, the
// group has no quorum although half of the controllers and all of their disks are sound.
func TestControllerReplacedWhileItsDiskWasFullReturns(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.OpenMembership, o.MaxVoters = true, 3 })
	c.propose(1)
	spare := c.addController("gateway-3", t.TempDir())
	c.waitMember(spare, true)
	full := (c.leader() + 1) % 3
	c.kill(full)
	c.waitMember(spare, false)
	c.start(full)
	c.waitMember(full, true)
	second := c.leader()
	c.kill(second)
	c.propose(2)
	c.waitMember(full, false)
	c.kill(c.leader())
	c.propose(3)
	c.checkTickets(3)
}
