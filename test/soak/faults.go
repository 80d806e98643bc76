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

// Times of faults. Series and overlaps arise because a fault lasts longer than the pause to
// the next one.
const (
	faultPause     = 500 * time.Millisecond // mean
	shortestFault  = 200 * time.Millisecond
	longestFault   = 3500 * time.Millisecond
	longestDelay   = 250 * time.Millisecond // of a link
	longestLate    = 5 * time.Second        // a worker carries a start out so much later
	segmentPattern = "log-*"                // files of a controller's log, in the order of their names
	catchUp        = 5 * time.Second        // after the start, until all controllers vote
)

// faults draws and carries out faults.
type faults struct {
	system  *System
	workers *workers
	rng     *rand.Rand // of the goroutine that draws
	log     func(string)
	group   sync.WaitGroup

	mu       sync.Mutex
	wiped    int // disks that were lost
	tearings int
}

// kind is one kind of fault. It is drawn in the goroutine of the schedule and carried out in
// one of its own.
type kind struct {
	name   string
	weight int
	draw   func(f *faults, lasts time.Duration) func(context.Context)
}

var kinds = []kind{
	{"kill a controller", 3, func(f *faults, d time.Duration) func(context.Context) {
		return f.down(f.any(f.system.Controllers), syscall.SIGKILL, d, nil)
	}},
	{"kill the leader", 3, func(f *faults, d time.Duration) func(context.Context) {
		return f.down(f.leader(), syscall.SIGKILL, d, nil)
	}},
	{"stop a controller", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.down(f.any(f.system.Controllers), syscall.SIGTERM, d/4, nil)
	}},
	{"kill all controllers", 1, func(f *faults, _ time.Duration) func(context.Context) { return f.killAll() }},
	{"freeze a controller", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.freeze(f.any(f.system.Controllers), d)
	}},
	{"freeze the leader", 3, func(f *faults, d time.Duration) func(context.Context) { return f.freeze(f.leader(), 2*d) }},
	{"lose a disk", 2, func(f *faults, d time.Duration) func(context.Context) { return f.loseDisk(d) }},
	{"tear the end of a log", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.down(f.any(f.system.Controllers), syscall.SIGKILL, d/4, f.tear)
	}},
	{"cut the leader off", 4, func(f *faults, d time.Duration) func(context.Context) {
		// Long enough that a new leader is elected and old reads are too old.
		return f.cut(f.leader(), f.rng.IntN(3), longestFault+d)
	}},
	{"cut a controller off", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.cut(f.any(f.system.Controllers), f.rng.IntN(3), d)
	}},
	{"delay links", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.delay(f.any(f.system.nodes()), f.between(0, longestDelay), d)
	}},
	{"reset connections", 2, func(f *faults, _ time.Duration) func(context.Context) {
		return f.connections((*cluster.Relay).Reset)
	}},
	{"silence connections", 2, func(f *faults, _ time.Duration) func(context.Context) {
		return f.connections((*cluster.Relay).Silence)
	}},
	{"kill a gateway", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.down(f.any(f.system.Gateways), syscall.SIGKILL, d, nil)
	}},
	{"stop a gateway", 2, func(f *faults, d time.Duration) func(context.Context) {
		return f.down(f.any(f.system.Gateways), syscall.SIGTERM, d/4, nil)
	}},
	{"freeze a gateway", 1, func(f *faults, d time.Duration) func(context.Context) {
		return f.freeze(f.any(f.system.Gateways), d)
	}},
	{"crash a worker", 2, func(f *faults, _ time.Duration) func(context.Context) {
		w := f.workers.any(f.rng)
		return func(context.Context) { w.Crash() }
	}},
	{"mute a worker", 3, func(f *faults, d time.Duration) func(context.Context) {
		return f.misbehave(standin.Fault{Unresponsive: true}, 2*d)
	}},
	{"late starts", 5, func(f *faults, d time.Duration) func(context.Context) {
		return f.misbehave(standin.Fault{StartDelay: f.between(shortestFault, longestLate)}, d)
	}},
	{"lose the leader while starts are late", 4, func(f *faults, d time.Duration) func(context.Context) {
		return f.lateStartsAcrossLeaders(d)
	}},
	{"failing worker", 1, func(f *faults, d time.Duration) func(context.Context) {
		return f.misbehave(standin.Fault{FailAll: true}, d)
	}},
	{"stalled worker", 1, func(f *faults, d time.Duration) func(context.Context) {
		return f.misbehave(standin.Fault{Stall: true}, d)
	}},
	{"refusing worker", 1, func(f *faults, d time.Duration) func(context.Context) {
		return f.misbehave(standin.Fault{RefuseStarts: true}, d)
	}},
	{"replace a worker", 1, func(f *faults, _ time.Duration) func(context.Context) {
		return func(ctx context.Context) { f.workers.replace(ctx) }
	}},
}

// run plays faults until ctx is done and then waits until each has ended.
func (f *faults) run(ctx context.Context) {
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
		lasts := f.between(shortestFault, longestFault)
		play := kinds[i].draw(f, lasts)
		f.log(fmt.Sprintf("%s, %v", kinds[i].name, lasts.Round(time.Millisecond)))
		f.group.Go(func() { play(ctx) })
		wait.For(ctx, time.Duration(f.rng.ExpFloat64()*float64(faultPause)))
	}
	f.group.Wait()
}

func (f *faults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

func (f *faults) any(nodes []*Node) *Node { return nodes[f.rng.IntN(len(nodes))] }

// leader returns the leader, or any controller if none leads.
func (f *faults) leader() *Node {
	if n := f.system.leader(); n != nil {
		return n
	}
	return f.any(f.system.Controllers)
}

// down ends a process by a signal and starts it again; between does something while it is
// down. A node that another fault holds is left alone.
func (f *faults) down(n *Node, signal syscall.Signal, lasts time.Duration, between func(*Node)) func(context.Context) {
	return func(ctx context.Context) {
		if !n.busy.TryLock() {
			return
		}
		defer n.busy.Unlock()
		n.Signal(signal)
		n.Wait()
		if between != nil {
			between(n)
		}
		wait.For(ctx, lasts)
		f.restart(n)
	}
}

func (f *faults) restart(n *Node) {
	if err := n.Start(); err != nil {
		f.log(fmt.Sprintf("%s not started: %v", n.Name, err))
	}
}

func (f *faults) killAll() func(context.Context) {
	return func(ctx context.Context) {
		var held []*Node
		for _, n := range f.system.Controllers {
			if n.busy.TryLock() {
				held = append(held, n)
				n.Signal(syscall.SIGKILL)
			}
		}
		wait.For(ctx, shortestFault)
		for _, n := range held {
			n.Wait()
			f.restart(n)
			n.busy.Unlock()
		}
	}
}

func (f *faults) freeze(n *Node, lasts time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		if !n.busy.TryLock() {
			return
		}
		defer n.busy.Unlock()
		n.Freeze()
		wait.For(ctx, lasts)
		n.Thaw()
	}
}

// loseDisk kills a controller and removes its data, unless as many disks as the group bears at
// a time were lost: from outside it is not seen when one has caught up, because that needs a
// leader, which other faults may keep away.
func (f *faults) loseDisk(lasts time.Duration) func(context.Context) {
	n := f.any(f.system.Controllers)
	return func(ctx context.Context) {
		f.down(n, syscall.SIGKILL, lasts/2, func(n *Node) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.wiped >= len(f.system.Controllers)/2 {
				return
			}
			f.wiped++
			if err := os.RemoveAll(n.DataDir); err != nil {
				f.log(err.Error())
			}
		})(ctx)
	}
}

// tear appends half an entry to the newest file of a log, as a loss of power may leave it.
func (f *faults) tear(n *Node) {
	segments, err := filepath.Glob(filepath.Join(n.DataDir, segmentPattern))
	if err != nil || len(segments) == 0 {
		return // its disk has just been lost
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
	f.tearings++
	garbage := make([]byte, 1+f.tearings%40)
	for i := range garbage {
		garbage[i] = byte(7*f.tearings + 13*i + 1)
	}
	if _, err := file.Write(garbage); err != nil {
		f.log(err.Error())
	}
}

// cut separates a controller from the other daemons: in both directions, or in one.
func (f *faults) cut(n *Node, direction int, lasts time.Duration) func(context.Context) {
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
		wait.For(ctx, lasts)
		n.Relay.Heal()
		for _, other := range f.system.nodes() {
			other.Relay.HealSource(n.IP)
		}
	}
}

func (f *faults) delay(n *Node, by, lasts time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		for _, other := range f.system.nodes() {
			n.Relay.Impair(other.IP, cluster.Impairment{Delay: by})
		}
		wait.For(ctx, lasts)
		n.Relay.Heal()
	}
}

func (f *faults) connections(hit func(*cluster.Relay)) func(context.Context) {
	return func(context.Context) {
		for _, n := range f.system.nodes() {
			hit(n.Relay)
		}
	}
}

// lateStartsAcrossLeaders lets the workers carry the starts of a leader out after its loss.
func (f *faults) lateStartsAcrossLeaders(lasts time.Duration) func(context.Context) {
	late := standin.Fault{StartDelay: f.between(workerLeaseMs*time.Millisecond/2, workerLeaseMs*time.Millisecond)}
	down := f.down(f.leader(), syscall.SIGKILL, lasts, nil)
	return func(ctx context.Context) {
		f.workers.setAll(late)
		wait.For(ctx, shortestFault)
		f.group.Go(func() { down(ctx) })
		wait.For(ctx, shortestFault)
		f.workers.setAll(standin.Fault{})
	}
}

func (f *faults) misbehave(fault standin.Fault, lasts time.Duration) func(context.Context) {
	w := f.workers.any(f.rng)
	return func(ctx context.Context) {
		w.SetFault(fault)
		wait.For(ctx, lasts)
		w.SetFault(standin.Fault{})
	}
}
