package soak

import (
	"context"
	"syscall"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
)

// Timing of workers that start again under their id.
const (
	longestWaitForStart = time.Second // until a start arrives at which a worker crashes
	restartPoll         = 2 * time.Millisecond
	shortestLife        = 40 * time.Millisecond
	longestLife         = 2 * time.Second
	longestCut          = 11 * time.Second // exceeds the longest lease that a worker grants
)

// lifeKinds are faults of workers that crash at a start and begin again at once under their id. The next start may
// then reach a process for which it is not meant. That process is cut off or lost before the leader knows
// what it runs.
var lifeKinds = []faultKind{
	{"crash a worker at a start and cut it off", 5, edge, func(f *faults, _ time.Duration) func(context.Context) {
		return f.cutNextLife(f.randomDuration(shortestLife, longestLife), f.randomDuration(workerLeaseMs*time.Millisecond, longestCut))
	}},
	{"crash a worker at a start and lose it", 4, edge, func(f *faults, _ time.Duration) func(context.Context) {
		return f.loseNextLife(f.randomDuration(shortestLife, 2*shortestLife))
	}},
	{"crash a worker at a start", 2, edge, func(f *faults, _ time.Duration) func(context.Context) {
		return f.withWorker(crashAtStart)
	}},
	{"kill the leader", 1, core, func(f *faults, d time.Duration) func(context.Context) {
		return f.stopAndRestart(f.leader(), syscall.SIGKILL, d, nil)
	}},
}

// crashAtStart has the worker crash at its next start and waits until it has.
func crashAtStart(ctx context.Context, w *standin.Worker) {
	process := w.StartedAt()
	w.SetFault(standin.Fault{CrashAtStart: true})
	for end := time.Now().Add(longestWaitForStart); w.StartedAt() == process && time.Now().Before(end) && ctx.Err() == nil; {
		wait.For(ctx, restartPoll)
	}
	w.SetFault(standin.Fault{})
}

// withWorker returns a fault of a worker that has no other one of these faults at the time.
func (f *faults) withWorker(inject func(context.Context, *standin.Worker)) func(context.Context) {
	w := f.workers.anyWorker(f.rng)
	return func(ctx context.Context) {
		if f.setBusy(w, true) {
			inject(ctx, w)
			f.setBusy(w, false)
		}
	}
}

// setBusy reports whether it has changed whether the worker has one of these faults.
func (f *faults) setBusy(w *standin.Worker, busy bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[w] == busy {
		return false
	}
	f.busy[w] = busy
	return true
}

func (f *faults) cutNextLife(life, cut time.Duration) func(context.Context) {
	return f.withWorker(func(ctx context.Context, w *standin.Worker) {
		crashAtStart(ctx, w)
		wait.For(ctx, life)
		w.SetFault(standin.Fault{Unresponsive: true})
		wait.For(ctx, cut)
		w.SetFault(standin.Fault{})
	})
}

// loseNextLife has another worker take the place of the worker after its next life.
func (f *faults) loseNextLife(life time.Duration) func(context.Context) {
	return f.withWorker(func(ctx context.Context, w *standin.Worker) {
		crashAtStart(ctx, w)
		wait.For(ctx, life)
		f.workers.lose(w)
	})
}
