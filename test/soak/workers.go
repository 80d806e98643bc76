package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
)

const (
	workerCount  = 6
	leaveTime    = 3 * time.Second // from a worker's notice to its end
	slowestClock = 0.98            // of a worker against ours
)

// workers are the stand-in workers of a run.
type workers struct {
	pool        *standin.Pool
	controllers []string
	ctx         context.Context // of the run
	group       sync.WaitGroup

	mu   sync.Mutex
	list []*worker
	next int
}

type worker struct {
	*standin.Worker
	stop context.CancelFunc
}

func newWorkers(ctx context.Context, checker *Checker, controllers []string) *workers {
	w := &workers{pool: standin.NewPool(checker.Observe), controllers: controllers, ctx: ctx}
	for range workerCount {
		w.add()
	}
	return w
}

func (w *workers) add() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	clock := 1.0
	if w.next%2 == 0 {
		clock = slowestClock
	}
	added := w.pool.Add(standin.Options{
		ID: fmt.Sprintf("w-%d", w.next), Service: service, Rack: fmt.Sprintf("rack-%d", w.next%3),
		CPUMillis: workerCPU, MemoryMiB: workerMemory, ClockRate: clock, RunSpec: workOf,
	})
	ctx, stop := context.WithCancel(w.ctx)
	w.list = append(w.list, &worker{added, stop})
	w.group.Go(func() { added.Heartbeats(ctx, w.controllers) })
}

func (w *workers) any(rng *rand.Rand) *standin.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list[rng.IntN(len(w.list))].Worker
}

// replace lets the oldest worker leave and adds a new one.
func (w *workers) replace(ctx context.Context) {
	w.add()
	w.mu.Lock()
	leaving := w.list[0]
	w.list = w.list[1:]
	w.mu.Unlock()
	leaving.Drain()
	wait.For(ctx, leaveTime)
	leaving.stop()
	leaving.Crash() // what still runs there ends with it
	leaving.Close()
}

// close ends every worker.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.list {
		one.stop()
	}
	w.group.Wait()
	for _, one := range w.list {
		one.Close()
	}
}

// setAll makes every worker misbehave in the same way.
func (w *workers) setAll(fault standin.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.list {
		one.SetFault(fault)
	}
}
