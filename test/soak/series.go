package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
)

// Timing of a series.
const (
	burstTime          = 4 * time.Second // faults of every kind between two times with a stable core
	longestChangeDelay = 2500 * time.Millisecond
	successorDelay     = time.Second // from the loss of a controller to the start of its successor
	// stableTime is the catch-up time that the platform gives a new controller before the next loss. It
	// passes only while changes of the configuration are acknowledged, so that a slow machine has more.
	stableTime = 4 * time.Second
	stableStep = 500 * time.Millisecond
	maxSeeds   = 3 // addresses that the platform names
)

// series replaces controllers, removes their data and exchanges the seeds, while other faults overlap.
// It keeps what the group tolerates: before the next losses, the core is left alone until the
// successors have had the time to catch up.
type series struct {
	faults   *faults
	load     *load
	rng      *rand.Rand // separate from that of the other faults, which then do not depend on it
	operator *standin.Caller
	fail     func(promise, format string, args ...any)
	rounds   int
}

// seriesKinds are the kinds of faults that overlap with a series.
var seriesKinds = append(slices.Clone(faultKinds),
	faultKind{"kill a relay", 2, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Relays), syscall.SIGKILL, d, nil)
	}},
	faultKind{"stop a relay", 1, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.anyNode(f.system.Relays), syscall.SIGTERM, d/4, nil)
	}},
	faultKind{"freeze a relay", 1, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.freeze(f.anyNode(f.system.Relays), d)
	}},
)

// relaysOf returns the number of relays of a run with a series: 2 or 3.
func relaysOf(seed uint64) int { return 2 + int(seed/2%2) }

func (s *series) run(ctx context.Context) {
	edgeKinds := slices.DeleteFunc(slices.Clone(faultKinds), func(k faultKind) bool { return k.target != edge })
	for i := range s.rounds {
		var group sync.WaitGroup
		change := s.prepareRound(i == 0)
		group.Go(func() { change(ctx) })
		burst, end := context.WithTimeout(ctx, burstTime)
		s.faults.run(burst, seriesKinds)
		end()
		group.Wait()
		if err := s.faults.system.heal(); err != nil {
			s.fail("recover", "a daemon failed to start after the faults: %v", err)
		}
		s.faults.log("stable core")
		calm, end := context.WithCancel(ctx)
		group.Go(func() { s.faults.run(calm, edgeKinds) })
		stable := s.awaitCatchUp(ctx)
		end()
		group.Wait()
		if !stable {
			return
		}
	}
}

// awaitCatchUp waits until the core has been stable for stableTime, and reports whether it was.
func (s *series) awaitCatchUp(ctx context.Context) bool {
	for i := range int(stableTime / stableStep) {
		acknowledged := eventually(ctx, func() bool {
			addrs := s.load.controlAddrs()
			return s.load.configure(ctx, s.operator, addrs[i%len(addrs)])
		})
		if !acknowledged && ctx.Err() == nil {
			s.fail("recover", "no change of the configuration was acknowledged with a stable core")
		}
		if !acknowledged {
			return false
		}
		wait.For(ctx, stableStep)
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lostDisks = 0
	return true
}

// prepareRound draws the changes of a round: an exchange of the seeds and losses of controllers. The
// seeds are exchanged in the first round, because all initial controllers may be gone later.
func (s *series) prepareRound(first bool) func(context.Context) {
	before, after := s.rng.IntN(4) < 3, s.rng.IntN(4) == 0
	after = after || first && !before
	exchange := s.prepareExchange()
	exchangeAgain := s.prepareExchange()
	pauses := []time.Duration{s.randomDelay(), s.randomDelay()}
	controllers := s.faults.system.Controllers()
	var losses []func(context.Context)
	for _, i := range s.rng.Perm(len(controllers))[:1+s.rng.IntN(s.faults.system.tolerance)] {
		losses = append(losses, s.prepareLoss(controllers[i]))
	}
	return func(ctx context.Context) {
		if before {
			exchange()
		}
		wait.For(ctx, pauses[0])
		var group sync.WaitGroup
		for _, lose := range losses {
			group.Go(func() { lose(ctx) })
		}
		group.Wait()
		if after {
			wait.For(ctx, pauses[1])
			exchangeAgain()
		}
	}
}

func (s *series) randomDelay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(longestChangeDelay)))
}

// prepareExchange draws which daemons are the next seeds, relays or relays and controllers, and which
// daemons get a signal. Relays are always among the seeds, because they are not replaced.
func (s *series) prepareExchange() func() {
	relays := len(s.faults.system.Relays)
	chosen := s.rng.Perm(relays)[:1+s.rng.IntN(relays)]
	controllers := min(s.rng.IntN(3), maxSeeds-len(chosen))
	order := s.rng.Perm(len(s.faults.system.Controllers()))
	signalled := s.rng.Uint64()
	if s.rng.IntN(3) == 0 {
		signalled = 0
	}
	return func() {
		var seeds []*Node
		for _, i := range chosen {
			seeds = append(seeds, s.faults.system.Relays[i])
		}
		running := s.faults.system.Controllers()
		for _, i := range order[:controllers] {
			seeds = append(seeds, running[i])
		}
		s.faults.exchangeSeeds(seeds, signalled)
	}
}

// prepareLoss draws how a controller is lost.
func (s *series) prepareLoss(n *Node) func(context.Context) {
	delay, silent := s.randomDelay(), s.rng.IntN(2) == 0
	switch s.rng.IntN(4) {
	case 0:
		return func(ctx context.Context) { s.wipe(ctx, n) }
	case 1:
		return func(ctx context.Context) {
			s.replace(ctx, n, "planned", func(start func()) {
				start()
				wait.For(ctx, successorDelay+delay/2)
				n.Terminate()
				n.Wait()
				n.Relay.Close()
			})
		}
	}
	form := "killed, connections are refused"
	if silent {
		form = "killed, connections stay silent"
	}
	return func(ctx context.Context) {
		s.replace(ctx, n, form, func(start func()) {
			if silent {
				n.Relay.GoSilent()
			} else {
				n.Relay.Close()
			}
			n.Kill()
			wait.For(ctx, successorDelay)
			start()
		})
	}
}

func (s *series) wipe(ctx context.Context, n *Node) {
	n.faultLock.Lock() // waits for the end of another fault of this process
	defer n.faultLock.Unlock()
	if !s.faults.countLoss() {
		return
	}
	s.faults.log("lose the disk of " + n.Name)
	n.Kill()
	s.faults.removeData(n)
	wait.For(ctx, successorDelay)
	s.faults.restart(n)
}

// replace replaces a controller for good. change stops it and calls start, which starts the successor.
func (s *series) replace(ctx context.Context, n *Node, form string, change func(start func())) {
	n.faultLock.Lock() // never released, so that no other fault starts it again
	if ctx.Err() != nil || !s.faults.countLoss() {
		n.faultLock.Unlock()
		return
	}
	change(func() {
		successor, err := s.faults.system.replaceController(n)
		if err != nil {
			s.faults.log(err.Error())
			n.faultLock.Unlock()
			return
		}
		s.faults.log(fmt.Sprintf("replace %s (%s) by %s, seeds %v", n.Name, form, successor.Name, successor.settings["controllers"]))
		s.faults.restart(successor)
		s.load.watch(successor.Relay.Addr())
	})
}

// exchangeSeeds writes other seeds to the settings of all daemons and sends SIGHUP to those whose bit
// is set in signalled. The others read the settings when they have reason to.
func (f *faults) exchangeSeeds(seeds []*Node, signalled uint64) {
	if err := f.system.setSeeds(addresses(seeds)); err != nil {
		f.log(err.Error())
	}
	var names []string
	for i, n := range f.system.nodes() {
		// A stopped process reads the settings at its start.
		if signalled>>i&1 == 0 || !n.faultLock.TryLock() {
			continue
		}
		n.Signal(syscall.SIGHUP)
		n.faultLock.Unlock()
		names = append(names, n.Name)
	}
	f.log(fmt.Sprintf("exchange the seeds for %v, SIGHUP to %v", addresses(seeds), names))
}
