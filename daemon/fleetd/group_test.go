package fleetd

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/settings"
)

// groupTimeout bounds waits. It is long because the tests check only that an event follows.
const groupTimeout = 60 * time.Second

// noPlatform is an adapter without interfaces to callers, operators and workers.
type noPlatform struct{}

func (noPlatform) CallerHandler(*fleet.Client, zerolog.Logger) http.Handler          { return nil }
func (noPlatform) RegisterControl(*http.ServeMux, fleet.Control, zerolog.Logger)     {}
func (noPlatform) WorkerClient(http.RoundTripper, zerolog.Logger) fleet.WorkerClient { return nil }

// vm is a VM that serves control, with the daemon that runs on it.
type vm struct {
	t      *testing.T
	addr   string
	dir    string // of the settings file, and of the log on a VM with a disk
	disk   bool
	daemon *Daemon
	stop   func() // ends the daemon at once
	term   func() // shuts the daemon down gracefully
}

func newVM(t *testing.T, disk bool) *vm {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	v := &vm{t: t, addr: free.Addr().String(), dir: t.TempDir(), disk: disk}
	t.Cleanup(v.kill)
	return v
}

// start starts the daemon with the seeds.
func (v *vm) start(mayFound bool, seeds ...*vm) {
	v.t.Helper()
	s := v.writeSettings(mayFound, seeds...)
	d := newDaemon(s, v.settingsPath(), zerolog.Nop(), nil)
	force, stop := context.WithCancel(context.Background())
	ctx, term := context.WithCancel(force)
	listeners, err := d.build(ctx, noPlatform{})
	if err != nil {
		v.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.serve(ctx, force, nil, listeners) // the daemon is stopped with an ended context, which it returns
	}()
	v.daemon, v.stop, v.term = d, func() { stop(); <-ended }, func() { term(); <-ended; stop() }
}

func (v *vm) settingsPath() string { return filepath.Join(v.dir, "settings.json") }

// writeSettings writes the settings file, which a running daemon may read again.
func (v *vm) writeSettings(mayFound bool, seeds ...*vm) settings.Fleet {
	v.t.Helper()
	s := settings.Fleet{ID: v.addr, Role: settings.RoleRelay, Zone: "z", ControlListen: v.addr, MayFound: mayFound}
	if v.disk {
		s.Role, s.DataDir = settings.RoleController, filepath.Join(v.dir, "data")
	}
	for _, seed := range seeds {
		s.Controllers = append(s.Controllers, seed.addr)
	}
	data, err := json.Marshal(s)
	if err != nil {
		v.t.Fatal(err)
	}
	if err := os.WriteFile(v.settingsPath(), data, 0o600); err != nil {
		v.t.Fatal(err)
	}
	if s, err = settings.ParseFleet(data); err != nil {
		v.t.Fatal(err)
	}
	return s
}

func (v *vm) kill() {
	if v.stop != nil {
		v.stop()
		v.daemon, v.stop = nil, nil
	}
}

// shutDown ends the daemon as planned work does, and returns how long it took.
func (v *vm) shutDown() time.Duration {
	began := time.Now()
	v.term()
	v.daemon, v.stop = nil, nil
	return time.Since(began)
}

func (v *vm) loseDisk() {
	v.t.Helper()
	if err := os.RemoveAll(filepath.Join(v.dir, "data")); err != nil {
		v.t.Fatal(err)
	}
}

func (v *vm) status() replica.Status { return v.daemon.node.log.Status() }

// isVoter reports whether the controller knows itself as a voter of the group.
func (v *vm) isVoter(group string) bool {
	s := v.status()
	for _, member := range s.Members {
		if member.ID == s.ID {
			return s.Group == group && !member.Learner
		}
	}
	return false
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(groupTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// testGroup is a group of three controllers, and relays that have found it.
type testGroup struct {
	core   []*vm
	relays []*vm
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{
		core:   []*vm{newVM(t, true), newVM(t, true), newVM(t, true)},
		relays: []*vm{newVM(t, false), newVM(t, false)},
	}
	for _, v := range slices.Concat(g.core, g.relays) {
		v.start(v.disk, g.core...)
	}
	for _, v := range g.core {
		waitUntil(t, "the group has three voters", func() bool { return v.isVoter(g.core[0].status().Group) })
	}
	for _, v := range g.relays {
		waitUntil(t, "the relay knows the leader", func() bool { return v.daemon.client.LeaderAddr() != "" })
	}
	return g
}

// exchangeSeeds writes other seeds to the settings of the running controllers, without a signal.
func (g *testGroup) exchangeSeeds(seeds ...*vm) {
	for _, v := range g.core {
		v.writeSettings(true, seeds...)
	}
}

// Guards against a group that runs with a voter less and does not notice: the seeds were exchanged for VMs without
// a disk, and a controller that has lost its disk or replaces another one asked the seeds only.
func TestEmptyControllerFindsItsGroupAfterTheSeedsWereExchanged(t *testing.T) {
	for name, replace := range map[string]func(t *testing.T, g *testGroup) *vm{
		"another VM": func(t *testing.T, g *testGroup) *vm {
			g.exchangeSeeds(g.relays...)
			g.core[2].kill()
			successor := newVM(t, true)
			successor.start(false, g.relays...)
			return successor
		},
		"lost disk": func(_ *testing.T, g *testGroup) *vm {
			g.exchangeSeeds(g.relays...)
			g.core[2].kill()
			g.core[2].loseDisk()
			g.core[2].start(false, g.relays...)
			return g.core[2]
		},
		"another VM, and the seeds have restarted with each other as seeds": func(t *testing.T, g *testGroup) *vm {
			g.exchangeSeeds(g.relays...)
			g.core[2].kill()
			for _, relay := range g.relays {
				relay.kill()
			}
			for _, relay := range g.relays {
				relay.start(false, g.relays...)
			}
			successor := newVM(t, true)
			successor.start(false, g.relays...)
			return successor
		},
		"another VM that is the only seed that runs": func(t *testing.T, g *testGroup) *vm {
			successor := newVM(t, true)
			g.exchangeSeeds(successor, g.relays[0])
			g.core[2].kill()
			g.relays[0].kill()
			successor.start(false, successor, g.relays[0])
			return successor
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGroup(t)
			group := g.core[0].status().Group
			successor := replace(t, g)
			waitUntil(t, "the empty controller is a voter", func() bool { return successor.isVoter(group) })
		})
	}
}

// Guards against a daemon that finds no leader after a loss, because the only controller that it can ask is outside its
// group and keeps to itself whom it knows.
func TestControllerOutsideItsGroupNamesTheMembers(t *testing.T) {
	g := newTestGroup(t)
	var addrs []string
	waitUntil(t, "a controller tells its members", func() bool {
		addrs = g.core[0].daemon.node.dir.Members().Addrs
		return len(addrs) == len(g.core)
	})
	g.core[1].kill()
	g.core[2].kill()
	outside := newVM(t, true)
	outside.start(false, g.relays...)
	waitUntil(t, "the controller outside the group knows the members", func() bool {
		return slices.Equal(outside.daemon.client.MemberAddrs(), addrs)
	})
	relay := newVM(t, false)
	relay.start(false, outside)
	waitUntil(t, "the relay knows the members", func() bool { return slices.Equal(relay.daemon.client.MemberAddrs(), addrs) })
}

// Guards against a controller that never joins, or a group that has lost a voter, and says so nowhere.
func TestLastingProblemOfTheGroupIsLogged(t *testing.T) {
	self := replica.MemberStatus{Member: consensus.Member{ID: "a", Addr: "a:1"}}
	live, silent := replica.MemberStatus{Member: consensus.Member{ID: "b", Addr: "b:1"}}, replica.MemberStatus{Member: consensus.Member{ID: "c", Addr: "c:1"}, SilentFor: 3 * time.Second}
	learner := replica.MemberStatus{Member: consensus.Member{ID: "d", Addr: "d:1", Learner: true}}
	leader, other := replica.Leader{ID: "a", Self: true}, replica.Leader{ID: "b"}
	for name, test := range map[string]struct {
		status replica.Status
		want   groupProblem
	}{
		"empty disk":       {replica.Status{ID: "a"}, groupNotFound},
		"not added":        {replica.Status{ID: "a", Group: "g", Members: []replica.MemberStatus{live}}, groupNotAdded},
		"two voters":       {replica.Status{ID: "a", Group: "g", Leader: leader, Members: []replica.MemberStatus{self, live, learner}}, groupTooSmall},
		"four, one silent": {replica.Status{ID: "a", Group: "g", Leader: leader, Members: []replica.MemberStatus{self, live, live, silent}}, groupTooSmall},
		"a silent voter":   {replica.Status{ID: "a", Group: "g", Leader: leader, Members: []replica.MemberStatus{self, live, silent}}, groupTooSmall},
		"follower":         {replica.Status{ID: "a", Group: "g", Leader: other, Members: []replica.MemberStatus{self, live}}, groupHealthy},
		"no leader":        {replica.Status{ID: "a", Group: "g", Members: []replica.MemberStatus{self, live}}, groupNoLeader},
		"three voters":     {replica.Status{ID: "a", Group: "g", Leader: leader, Members: []replica.MemberStatus{self, live, {}}}, groupHealthy},
		"learner of three": {replica.Status{ID: "d", Group: "g", Leader: other, Members: []replica.MemberStatus{self, live, learner}}, groupHealthy},
	} {
		var log bytes.Buffer
		w := groupWatch{wanted: 3, logger: zerolog.New(&log), metrics: fleet.NewMetrics(), asked: func() []string { return []string{"s:1"} }}
		began := time.Now()
		for s := range 11 {
			w.observe(test.status, began.Add(time.Duration(s)*time.Second))
		}
		want := 2
		if test.want == groupHealthy {
			want = 0
		}
		if got := strings.Count(log.String(), `"message":"`+string(test.want)); got != want || w.problem != test.want {
			t.Errorf("%s: problem %q with %d lines, want %q with %d", name, w.problem, got, test.want, want)
		}
	}
}
