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
	workerCount   = 6
	zoneCount     = 3
	leaveTime     = 3 * time.Second // from the start of a worker's drain until the worker is stopped
	slowClockRate = 0.98            // speed of a slow worker clock relative to that of the controllers
)

// workers is the set of stand-in workers of a run.
type workers struct {
	pool        *standin.Pool
	controllers []string
	ctx         context.Context // context of the run
	group       sync.WaitGroup

	mu         sync.Mutex
	list       []*worker
	lastNumber int // number in the ID of the worker added last
}

type worker struct {
	*standin.Worker
	stop context.CancelFunc // stops the heartbeats
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
	w.lastNumber++
	clockRate := 1.0
	if w.lastNumber%2 == 0 {
		clockRate = slowClockRate
	}
	added := w.pool.Add(standin.Options{
		ID: fmt.Sprintf("w-%d", w.lastNumber), Service: service, Rack: fmt.Sprintf("rack-%d", w.lastNumber%3), Zone: fmt.Sprintf("zone-%d", w.lastNumber%zoneCount),
		CPUMillis: workerCPU, MemoryMiB: workerMemory, ClockRate: clockRate, RunSpec: parsePayload,
	})
	ctx, stop := context.WithCancel(w.ctx)
	w.list = append(w.list, &worker{added, stop})
	w.group.Go(func() { added.Heartbeats(ctx, w.controllers) })
}

func (w *workers) anyWorker(rng *rand.Rand) *standin.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list[rng.IntN(len(w.list))].Worker
}

// replace adds a worker, drains the oldest one and removes it after leaveTime.
func (w *workers) replace(ctx context.Context) {
	w.add()
	w.mu.Lock()
	leaving := w.list[0]
	w.list = w.list[1:]
	w.mu.Unlock()
	leaving.Drain()
	wait.For(ctx, leaveTime)
	leaving.stop()
	leaving.Crash() // attempts that still run on it end
	leaving.Close()
}

// close stops the heartbeats of every worker and closes it.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, each := range w.list {
		each.stop()
	}
	w.group.Wait()
	for _, each := range w.list {
		each.Close()
	}
}

// setAll sets the same fault on every worker.
func (w *workers) setAll(fault standin.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, each := range w.list {
		each.SetFault(fault)
	}
}
