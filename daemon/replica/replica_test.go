package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/rpc"
)

// waitTimeout bounds waits. It is long because the tests check only the order of events.
const waitTimeout = 60 * time.Second

// controller is one replica with its HTTP server.
type controller struct {
	options Options
	replica *Replica
	server  *http.Server
}

type cluster struct {
	t           testing.TB
	controllers []*controller
}

func newCluster(t testing.TB, size int, adjust func(*Options)) *cluster {
	t.Helper()
	c := &cluster{t: t}
	var initial []Controller
	for i := range size {
		initial = append(initial, Controller{model.GatewayID(fmt.Sprintf("gateway-%d", i)), freeAddr(t)})
	}
	for i, self := range initial {
		o := Options{
			Gateway: self.Gateway, Addr: self.Addr, InitialControllers: initial, Dir: t.TempDir(),
			Seed: uint64(i + 1), Logger: zerolog.Nop(),
			OnFatal: func(err error) { t.Errorf("fatal: %v", err) },
		}
		if os.Getenv("REPLICA_LOG") != "" {
			o.Logger = zerolog.New(zerolog.NewConsoleWriter()).With().Str("self", string(self.Gateway)).Logger()
		}
		if adjust != nil {
			adjust(&o)
		}
		c.controllers = append(c.controllers, &controller{options: o})
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.controllers {
			c.kill(i)
		}
	})
	return c
}

// Ports of controllers are below the ephemeral port range: otherwise another process could take that of a
// controller that does not listen yet or is down. Those of test/cluster begin at lastPort.
const (
	firstPort = 4_000
	lastPort  = 12_000
)

var portCounter atomic.Int64

// freeAddr returns an address at which nothing listens. Processes begin with different ports.
func freeAddr(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*97+portCounter.Add(1))%(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
	t.Fatalf("none of the ports %d to %d is free", firstPort, lastPort)
	return ""
}

func (c *cluster) start(i int) {
	c.t.Helper()
	ctl := c.controllers[i]
	r, err := Open(ctl.options)
	if err != nil {
		c.t.Fatal(err)
	}
	var listener net.Listener
	c.waitFor("port of "+string(ctl.options.Gateway), func() bool {
		listener, err = net.Listen("tcp", ctl.options.Addr)
		return err == nil
	})
	ctl.replica = r
	ctl.server = &http.Server{Handler: r.Handler()}
	go ctl.server.Serve(listener)
}

// kill stops a controller without transferring the leadership.
func (c *cluster) kill(i int) {
	ctl := c.controllers[i]
	if ctl.replica == nil {
		return
	}
	ctl.server.Close()
	if err := ctl.replica.Close(); err != nil {
		c.t.Errorf("close: %v", err)
	}
	ctl.replica = nil
}

func (c *cluster) removeData(i int) {
	if err := os.RemoveAll(c.controllers[i].options.Dir); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) waitFor(what string, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	for i, ctl := range c.controllers {
		if ctl.replica != nil {
			c.t.Logf("controller %d: %+v", i, ctl.replica.Status())
		}
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// leader waits until a live controller leads and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	leader := -1
	c.waitFor("a leader", func() bool {
		for i, ctl := range c.controllers {
			if ctl.replica != nil && ctl.replica.Leader().Self {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

func ticket(number int) state.Command {
	pool := model.Pool{ID: model.PoolID(fmt.Sprintf("pool-%d", number))}
	return state.Command{
		ProposedAt:   model.Millis(number),
		SubmitTicket: &state.SubmitTicket{Ticket: model.Ticket{Number: uint64(number), Author: "ana", Pools: []model.Pool{pool}}},
	}
}

// propose commits a command through the current leader. Every command is idempotent, so it is
// proposed again after an unknown outcome.
func (c *cluster) propose(number int) state.Result {
	c.t.Helper()
	var result state.Result
	c.waitFor(fmt.Sprintf("command %d", number), func() bool {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		var err error
		result, err = c.controllers[c.leader()].replica.Propose(ctx, ticket(number))
		if err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrOutcomeUnknown) {
			c.t.Fatalf("command %d: %v", number, err)
		}
		return err == nil
	})
	if !result.OK() {
		c.t.Fatalf("command %d: %+v", number, result)
	}
	return result
}

// proposeRange commits the commands from number from to number to, inclusive.
func (c *cluster) proposeRange(from, to int) {
	c.t.Helper()
	for i := from; i <= to; i++ {
		c.propose(i)
	}
}

// checkTickets checks with a linearizable read that the tickets 1 to to are applied.
func (c *cluster) checkTickets(to int) {
	c.t.Helper()
	c.waitFor("a linearizable read", func() bool {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		return c.controllers[c.leader()].replica.Read(ctx, func(s *state.State) {
			for i := 1; i <= to; i++ {
				if _, ok := s.Config.Pools[model.PoolID(fmt.Sprintf("pool-%d", i))]; !ok {
					c.t.Errorf("committed ticket %d is lost", i)
				}
			}
		}) == nil
	})
}

// waitEqualStates waits until all live controllers have the same state.
func (c *cluster) waitEqualStates() {
	c.t.Helper()
	c.waitFor("equal states", func() bool {
		first := ""
		for _, ctl := range c.controllers {
			if ctl.replica == nil {
				continue
			}
			var data []byte
			ctl.replica.View(func(s *state.State) { data, _ = s.Snapshot() })
			if first == "" {
				first = string(data)
			}
			if first != string(data) {
				return false
			}
		}
		return true
	})
}

// waitVoters waits until the voters are exactly the live controllers and this membership is
// committed. Until then the group may lose its quorum if another controller is lost.
func (c *cluster) waitVoters() {
	c.t.Helper()
	c.waitFor("the live controllers to be the voters", func() bool {
		live := map[string]bool{}
		for _, ctl := range c.controllers {
			if ctl.replica != nil {
				live[string(ctl.replica.identity().ID)] = true
			}
		}
		status := c.controllers[c.leader()].replica.Status()
		for _, member := range status.Members {
			if member.Learner || !live[string(member.ID)] {
				return false
			}
		}
		return len(status.Members) == len(live) && !status.ChangePending
	})
}

// Guards against a lost commit, a diverging state or a stalled group when the leader is killed
// and restarted.
func TestLeaderKilledAndRestarted(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.proposeRange(1, 20)
	old := c.leader()
	c.kill(old)
	c.proposeRange(21, 40)
	c.start(old)
	c.propose(41)
	c.waitEqualStates()
	c.checkTickets(41)
}

// Guards against a lost commit when a disk is lost, its VM comes back with a new id, and a second
// controller is lost as soon as the group is repaired. The new directory needs a snapshot.
func TestDiskLostThenSecondControllerLost(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.SnapshotBytes, o.KeepBytes = 4<<10, 1 })
	c.proposeRange(1, 120)
	lost := c.leader()
	oldID := c.controllers[lost].replica.identity().ID
	c.kill(lost)
	c.removeData(lost)
	c.proposeRange(121, 140)
	c.start(lost)
	c.waitVoters()
	if id := c.controllers[lost].replica.identity().ID; id == oldID {
		t.Fatalf("the new data directory has the old id %s", id)
	}
	second := c.leader()
	c.kill(second)
	c.proposeRange(141, 160)
	c.checkTickets(160)
	c.start(second)
	c.waitEqualStates()
}

// Guards against a second group when a disk is lost before the other controllers were told of the
// group, or while they are down: an empty directory must not create a group alone.
func TestEmptyDirectoryCreatesNoSecondGroup(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose(1)
	group := c.controllers[0].replica.identity().Group
	c.kill(0)
	c.removeData(0)
	c.kill(1)
	c.kill(2)
	c.start(0)
	time.Sleep(3 * discoveryInterval)
	if got := c.controllers[0].replica.identity().Group; got != "" {
		t.Fatalf("an empty directory created or joined group %q alone", got)
	}
	c.start(1)
	c.start(2)
	c.waitVoters()
	c.checkTickets(1)
	for i, ctl := range c.controllers {
		if got := ctl.replica.identity().Group; got != group {
			t.Errorf("controller %d is in group %q, want %q", i, got, group)
		}
	}
}

// transfer hands the leadership over and returns the index of the former leader.
func (c *cluster) transfer() int {
	c.t.Helper()
	old := c.leader()
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	if err := c.controllers[old].replica.TransferLeadership(ctx); err != nil {
		c.t.Fatal(err)
	}
	return old
}

// Guards against a graceful shutdown that leaves the group without a leader for an election
// timeout, and against a removed directory that joins again by itself.
func TestTransferAndRemove(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose(1)
	old := c.transfer()
	c.propose(2)
	removed := c.controllers[old].replica.identity().ID
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	c.waitFor("the removal", func() bool {
		return c.controllers[c.leader()].replica.RemoveMember(ctx, removed) == nil
	})
	c.propose(3)
	time.Sleep(3 * noLeaderTimeout / 2)
	for _, member := range c.controllers[c.leader()].replica.Status().Members {
		if member.ID == removed {
			t.Fatalf("the removed directory is a member again: %+v", member)
		}
	}
	c.checkTickets(3)
}

// dropFirstTimeoutNow drops the first call that asks a controller to take over the leadership.
type dropFirstTimeoutNow struct {
	http.RoundTripper
	dropped atomic.Bool
}

func (l *dropFirstTimeoutNow) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var request rpc.StepRequest
	var b batch
	if proto.Unmarshal(body, &request) == nil && model.Decode(request.Messages, &b) == nil {
		for _, m := range b.Messages {
			if m.Kind == consensus.MsgTimeoutNow && !l.dropped.Swap(true) {
				return nil, errors.New("dropped by the test")
			}
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return l.RoundTripper.RoundTrip(r)
}

// Guards against a transfer that never ends because the message that asks the successor to take
// over was lost.
func TestTransferOverALossyLink(t *testing.T) {
	link := &dropFirstTimeoutNow{RoundTripper: http.DefaultTransport}
	c := newCluster(t, 3, func(o *Options) { o.Client = &http.Client{Transport: link} })
	c.propose(1)
	c.transfer()
	if !link.dropped.Load() {
		t.Error("no message was lost")
	}
	c.propose(2)
}

// Guards against a stale read by a leader that is cut off from the others: Read and Confirm need
// a quorum.
func TestNoReadWithoutQuorum(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose(1)
	leader := c.leader()
	for i := range c.controllers {
		if i != leader {
			c.kill(i)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r := c.controllers[leader].replica
	if err := r.Confirm(ctx); err == nil {
		t.Error("Confirm succeeded without a quorum")
	}
	if err := r.Read(ctx, func(*state.State) {}); err == nil {
		t.Error("Read succeeded without a quorum")
	}
}

// Guards against a VM with an empty disk that creates a second group although one exists, and
// accepts work that the other controllers do not know of.
func TestEmptyDirectoryWaitsForItsGroup(t *testing.T) {
	c := &cluster{t: t}
	addr := freeAddr(t)
	c.controllers = append(c.controllers, &controller{options: Options{
		Gateway: "g", Addr: addr, InitialControllers: []Controller{{"g", addr}}, Dir: t.TempDir(), Seed: 1, Logger: zerolog.Nop(),
		JoinOnly: true, OnFatal: func(err error) { t.Errorf("fatal: %v", err) },
	}})
	t.Cleanup(func() { c.kill(0) })
	c.start(0)
	// The creation of a group takes one discovery interval.
	time.Sleep(4 * discoveryInterval)
	if status := c.controllers[0].replica.Status(); status.Group != "" {
		t.Errorf("the controller created group %q", status.Group)
	}
}
