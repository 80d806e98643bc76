package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
	"samphirepaddle.example/test/cluster"
)

// Timing of faults. Faults overlap because most last longer than the pause before the next one.
const (
	meanFaultPause    = 500 * time.Millisecond // exponentially distributed
	shortestFault     = 200 * time.Millisecond
	longestFault      = 3500 * time.Millisecond
	longestDelay      = 250 * time.Millisecond // added to each chunk that a relay forwards
	longestStartDelay = 5 * time.Second        // delay with which a worker carries out a start
	segmentPattern    = "log-*"                // segment files of a controller's log; their names sort in log order
	catchUpTime       = 5 * time.Second        // after the start, until all controllers are voters
)

// faults chooses and injects faults.
type faults struct {
	system  *System
	workers *workers
	rng     *rand.Rand // used only by the goroutine that chooses faults
	log     func(string)
	group   sync.WaitGroup

	mu          sync.Mutex
	lostDisks   int // data directories removed and controllers replaced, which count together
	tornEntries int
}

// faultKind is a kind of fault. prepare makes the random choices, in the scheduling goroutine; the
// function that it returns injects the fault, in a goroutine of its own.
type faultKind struct {
	name    string
	weight  int
	target  faultTarget
	prepare func(f *faults, duration time.Duration) func(context.Context)
}

// faultTarget tells what a fault affects.
type faultTarget int

const (
	core faultTarget = iota // controllers, relays or the connections to them
	edge                    // gateways or workers
)

var faultKinds = []faultKind{
	{"kill a controller", 3, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Controllers()), syscall.SIGKILL, d, nil)
	}},
	{"kill the leader", 3, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.leader(), syscall.SIGKILL, d, nil)
	}},
	{"stop a controller", 2, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Controllers()), syscall.SIGTERM, d/4, nil)
	}},
	{"kill all controllers", 1, core, func(f *faults, _ time.Duration) func(context.Context) { return f.killAll() }},
	{"freeze a controller", 2, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.freeze(f.anyNode(f.system.Controllers()), d)
	}},
	{"freeze the leader", 3, core, func(f *faults, d time.Duration) func(context.Context) { return f.freeze(f.leader(), 2*d) }},
	{"lose a disk", 2, core, func(f *faults, d time.Duration) func(context.Context) { return f.loseDisk(d) }},
	{"append a torn log entry", 2, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Controllers()), syscall.SIGKILL, d/4, f.appendTornEntry)
	}},
	{"cut the leader off", 4, core, func(f *faults, d time.Duration) func(context.Context) {
		// Long enough to elect a new leader and to exceed the bound on stale reads.
		return f.cut(f.leader(), f.rng.IntN(3), longestFault+d)
	}},
	{"cut a controller off", 2, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.cut(f.anyNode(f.system.Controllers()), f.rng.IntN(3), d)
	}},
	{"delay links", 2, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.delay(f.anyNode(f.system.nodes()), f.randomDuration(0, longestDelay), d)
	}},
	{"reset connections", 2, core, func(f *faults, _ time.Duration) func(context.Context) {
		return f.forEachRelay((*cluster.Relay).Reset)
	}},
	{"blackhole connections", 2, core, func(f *faults, _ time.Duration) func(context.Context) {
		return f.forEachRelay((*cluster.Relay).BlackholeConnections)
	}},
	{"kill a gateway", 2, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Gateways), syscall.SIGKILL, d, nil)
	}},
	{"stop a gateway", 2, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Gateways), syscall.SIGTERM, d/4, nil)
	}},
	{"freeze a gateway", 1, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.freeze(f.anyNode(f.system.Gateways), d)
	}},
	{"crash a worker", 2, edge, func(f *faults, _ time.Duration) func(context.Context) {
		w := f.workers.anyWorker(f.rng)
		return func(context.Context) { w.Crash() }
	}},
	{"make a worker unresponsive", 3, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.impairWorker(standin.Fault{Unresponsive: true}, 2*d)
	}},
	{"delay starts", 5, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.impairWorker(standin.Fault{StartDelay: f.randomDuration(shortestFault, longestStartDelay)}, d)
	}},
	{"kill the leader while starts are delayed", 4, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.delayStartsAcrossLeaders(d)
	}},
	{"failing worker", 1, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.impairWorker(standin.Fault{FailAll: true}, d)
	}},
	{"stalled worker", 1, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.impairWorker(standin.Fault{Stall: true}, d)
	}},
	{"refusing worker", 1, edge, func(f *faults, d time.Duration) func(context.Context) {
		return f.impairWorker(standin.Fault{RefuseStarts: true}, d)
	}},
	{"replace a worker", 1, edge, func(f *faults, _ time.Duration) func(context.Context) {
		return func(ctx context.Context) { f.workers.replace(ctx) }
	}},
}

// run injects faults of the given kinds until ctx is done and then waits until each of them has ended.
func (f *faults) run(ctx context.Context, kinds []faultKind) {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	for ctx.Err() == nil {
		n := f.rng.IntN(total)
		i := 0
		for n >= kinds[i].weight {
			n -= kinds[i].weight
			i++
		}
		duration := f.randomDuration(shortestFault, longestFault)
		inject := kinds[i].prepare(f, duration)
		f.log(fmt.Sprintf("%s, %v", kinds[i].name, duration.Round(time.Millisecond)))
		f.group.Go(func() { inject(ctx) })
		wait.For(ctx, time.Duration(f.rng.ExpFloat64()*float64(meanFaultPause)))
	}
	f.group.Wait()
}

func (f *faults) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

func (f *faults) anyNode(nodes []*Node) *Node { return nodes[f.rng.IntN(len(nodes))] }

// leader returns the leader, or a random controller if there is none.
func (f *faults) leader() *Node {
	if n := f.system.leader(); n != nil {
		return n
	}
	return f.anyNode(f.system.Controllers())
}

// stopAndRestart ends a process with a signal and starts it again after a time. If whileStopped
// is not nil, it is called before the restart. Nodes that another fault has locked are skipped.
func (f *faults) stopAndRestart(n *Node, signal syscall.Signal, duration time.Duration, whileStopped func(*Node)) func(context.Context) {
	return func(ctx context.Context) {
		if !n.faultLock.TryLock() {
			return
		}
		defer n.faultLock.Unlock()
		n.Signal(signal)
		n.Wait()
		if whileStopped != nil {
			whileStopped(n)
		}
		wait.For(ctx, duration)
		f.restart(n)
	}
}

func (f *faults) restart(n *Node) {
	if err := n.Start(); err != nil {
		f.log(fmt.Sprintf("failed to start %s: %v", n.Name, err))
	}
}

func (f *faults) killAll() func(context.Context) {
	return func(ctx context.Context) {
		var held []*Node
		for _, n := range f.system.Controllers() {
			if n.faultLock.TryLock() {
				held = append(held, n)
				n.Signal(syscall.SIGKILL)
			}
		}
		wait.For(ctx, shortestFault)
		for _, n := range held {
			n.Wait()
			f.restart(n)
			n.faultLock.Unlock()
		}
	}
}

func (f *faults) freeze(n *Node, duration time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		if !n.faultLock.TryLock() {
			return
		}
		defer n.faultLock.Unlock()
		n.Freeze()
		wait.For(ctx, duration)
		n.Resume()
	}
}

// loseDisk kills a controller and removes its data, unless the group tolerates no further loss.
func (f *faults) loseDisk(duration time.Duration) func(context.Context) {
	n := f.anyNode(f.system.Controllers())
	return func(ctx context.Context) {
		f.stopAndRestart(n, syscall.SIGKILL, duration/2, func(n *Node) {
			if f.countLoss() {
				f.removeData(n)
			}
		})(ctx)
	}
}

// countLoss counts the loss of a disk and reports whether the group tolerates it. Without a series,
// disks count for the whole run, because the test cannot tell when a controller has caught up:
// catching up needs a leader, whose election other faults may prevent.
func (f *faults) countLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostDisks >= f.system.tolerance {
		return false
	}
	f.lostDisks++
	return true
}

func (f *faults) removeData(n *Node) {
	if err := os.RemoveAll(n.DataDir); err != nil {
		f.log(err.Error())
	}
}

// appendTornEntry appends garbage to the newest segment of a log, like an entry that a power loss
// left incomplete.
func (f *faults) appendTornEntry(n *Node) {
	segments, err := filepath.Glob(filepath.Join(n.DataDir, segmentPattern))
	if err != nil || len(segments) == 0 {
		return // another fault has just removed the data
	}
	slices.Sort(segments)
	file, err := os.OpenFile(segments[len(segments)-1], os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		f.log(err.Error())
		return
	}
	defer file.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tornEntries++
	garbage := make([]byte, 1+f.tornEntries%40)
	for i := range garbage {
		garbage[i] = byte(7*f.tornEntries + 13*i + 1)
	}
	if _, err := file.Write(garbage); err != nil {
		f.log(err.Error())
	}
}

// cut partitions a controller from the other daemons. Direction 0 drops all traffic, 1 what the
// controller sends on connections that it opens, and 2 what the others send on connections that
// they open to it.
func (f *faults) cut(n *Node, direction int, duration time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		in := cluster.Impairment{DropFromSource: direction != 1, DropToSource: direction == 0}
		out := cluster.Impairment{DropFromSource: direction != 2, DropToSource: direction == 0}
		for _, other := range f.system.nodes() {
			if other == n {
				continue
			}
			n.Relay.Impair(other.IP, in)
			other.Relay.Impair(n.IP, out)
		}
		wait.For(ctx, duration)
		n.Relay.Heal()
		for _, other := range f.system.nodes() {
			other.Relay.HealSource(n.IP)
		}
	}
}

func (f *faults) delay(n *Node, by, duration time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		for _, other := range f.system.nodes() {
			n.Relay.Impair(other.IP, cluster.Impairment{Delay: by})
		}
		wait.For(ctx, duration)
		n.Relay.Heal()
	}
}

func (f *faults) forEachRelay(impair func(*cluster.Relay)) func(context.Context) {
	return func(context.Context) {
		for _, n := range f.system.nodes() {
			impair(n.Relay)
		}
	}
}

// delayStartsAcrossLeaders makes the workers carry out the starts of a leader after the leader was
// killed.
func (f *faults) delayStartsAcrossLeaders(duration time.Duration) func(context.Context) {
	delayed := standin.Fault{StartDelay: f.randomDuration(workerLeaseMs*time.Millisecond/2, workerLeaseMs*time.Millisecond)}
	killLeader := f.stopAndRestart(f.leader(), syscall.SIGKILL, duration, nil)
	return func(ctx context.Context) {
		f.workers.setAll(delayed)
		wait.For(ctx, shortestFault)
		f.group.Go(func() { killLeader(ctx) })
		wait.For(ctx, shortestFault)
		f.workers.setAll(standin.Fault{})
	}
}

func (f *faults) impairWorker(fault standin.Fault, duration time.Duration) func(context.Context) {
	w := f.workers.anyWorker(f.rng)
	return func(ctx context.Context) {
		w.SetFault(fault)
		wait.For(ctx, duration)
		w.SetFault(standin.Fault{})
	}
}
