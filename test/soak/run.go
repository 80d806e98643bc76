package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
)

// Options describe one run.
type Options struct {
	Binary      string        // samphired
	Dir         string        // for settings, data and logs
	Seed        uint64        // of the load and the faults
	Faults      time.Duration // how long faults are played
	Controllers int           // 3 or 5
	Gateways    int
}

// ControllersOf returns the number of controllers that a seed is played with.
func ControllersOf(seed uint64) int { return 3 + 2*int(seed%2) }

// Report is the outcome of one run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Took       time.Duration  `json:"took_ns"`
	Violations []Violation    `json:"violations,omitempty"`
	Counts     map[string]int `json:"counts"`
}

// Limits of waiting after the faults. They are far above what the daemons need and tell a
// system that has stopped from one that is slow.
const (
	settlePatience = 60 * time.Second
	settleStep     = 50 * time.Millisecond
	leastCalm      = calmBound + 2*time.Second // in which the bounds of time are checked under load
)

// Run plays one seed.
func Run(parent context.Context, o Options) (Report, error) {
	began := time.Now()
	system, err := newSystem(o.Binary, o.Dir, o.Controllers, o.Gateways)
	if err != nil {
		return Report{}, err
	}
	defer system.close()
	journal, err := openJournal(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return Report{}, err
	}
	defer journal.close()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	events, err := openJournal(filepath.Join(o.Dir, "events.log"))
	if err != nil {
		return Report{}, err
	}
	defer events.close()
	checker := NewChecker(events.write)
	r := &runner{options: o, system: system, checker: checker, journal: journal}
	r.workers = newWorkers(ctx, checker, addresses(system.Controllers))
	defer r.workers.close()
	r.load = &load{checker: checker, gateways: addresses(system.Gateways), controllers: addresses(system.Controllers)}
	if err := r.begin(ctx); err != nil {
		return Report{}, err
	}
	r.play(ctx)
	r.settle(ctx)
	for _, line := range system.exits() {
		r.fail("crash", "%s", line)
	}
	report := Report{Seed: o.Seed, Took: time.Since(began), Violations: checker.Violations(), Counts: checker.Counts()}
	return report, errors.Join(parent.Err(), writeReport(filepath.Join(o.Dir, "report.json"), report))
}

type runner struct {
	options Options
	system  *System
	checker *Checker
	journal *journal
	workers *workers
	load    *load
}

// begin starts the daemons and waits until a configuration is in force.
func (r *runner) begin(ctx context.Context) error {
	if err := r.system.start(); err != nil {
		return err
	}
	operator := standin.NewCaller("", nil)
	if !eventually(ctx, func() bool { return r.load.configure(ctx, operator, r.load.controllers[0]) }) {
		return errors.New("the system does not accept its first configuration")
	}
	// The group is founded by the seeds and bears its losses once the other controllers vote.
	wait.For(ctx, catchUp)
	return r.system.forbidFounding()
}

// play sends requests while faults happen, and for a while after them.
func (r *runner) play(ctx context.Context) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.load.start(loadCtx, r.options.Seed)
	f := &faults{
		system: r.system, workers: r.workers, rng: rand.New(rand.NewPCG(r.options.Seed, 7)), log: r.journal.write,
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, r.options.Faults)
	defer stopFaults()
	f.run(faultCtx)
	r.workers.setAll(standin.Fault{})
	if err := r.system.heal(); err != nil {
		r.fail("recover", "a daemon does not start: %v", err)
	}
	r.journal.write("no more faults")
	r.checker.SetCalm(true)
	wait.For(ctx, leastCalm)
	stopLoad()
	r.load.group.Wait()
}

// settle waits until everything that was accepted has ended, and checks what must hold then.
func (r *runner) settle(ctx context.Context) {
	caller := standin.NewCaller(host, nil)
	gateway := func(i int) string { return r.load.gateways[i%len(r.load.gateways)] }
	for i := range r.load.gateways {
		if !eventually(ctx, func() bool { return r.tryJob(ctx, caller, gateway(i), fmt.Sprintf("after%011x", i)) }) {
			r.fail("recover", "gateway %s accepts no job after the faults", gateway(i))
			return
		}
	}
	finished := eventually(ctx, func() bool {
		open := r.checker.unfinished()
		for i, id := range open {
			sentAt := time.Now()
			r.checker.Shown(id, sentAt, r.show(ctx, caller, gateway(i), id))
		}
		return len(open) == 0
	})
	if !finished {
		r.fail("lost", "jobs that do not end after the faults: %v", r.checker.unfinished())
	}
	r.cancelLasting(ctx, caller, gateway)
	r.checkConfiguration(ctx)
}

func (r *runner) tryJob(ctx context.Context, caller *standin.Caller, gateway, id string) bool {
	job := standin.Job{Payload: payloadWork + " 10 0 x", Steps: []standin.Step{{Count: 1, CPUMillis: taskCPU, MemoryMiB: taskMemory}}}
	r.checker.HandIn(id, job)
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if !caller.Submit(call, gateway, prefix+id, job).OK() {
		return false
	}
	r.checker.Accepted(id)
	return true
}

func (r *runner) show(ctx context.Context, caller *standin.Caller, gateway, id string) standin.Reply {
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return caller.JobState(call, gateway, prefix+id)
}

// cancelLasting ends the long-running jobs; their tasks must be gone soon.
func (r *runner) cancelLasting(ctx context.Context, caller *standin.Caller, gateway func(int) string) {
	for i, id := range r.load.lasting {
		r.checker.Cancelling(id)
		answered := eventually(ctx, func() bool {
			call, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			return caller.Cancel(call, gateway(i), prefix+id).OK()
		})
		if !answered {
			r.fail("cancel", "the cancellation of %s is not answered after the faults", id)
			continue
		}
		r.checker.Cancelled(id)
	}
	if !eventually(ctx, func() bool { return len(r.checker.stillRunning()) == 0 }) {
		r.fail("cancel", "tasks of cancelled jobs run on: %v", r.checker.stillRunning())
	}
}

// checkConfiguration reads the configuration of every controller a last time.
func (r *runner) checkConfiguration(ctx context.Context) {
	operator := standin.NewCaller("", nil)
	for _, addr := range r.load.controllers {
		read := func() bool {
			call, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			sentAt := time.Now()
			reply := operator.ReadConfiguration(call, addr)
			r.checker.ReadConfiguration(addr, sentAt, reply)
			return reply.OK()
		}
		if !eventually(ctx, read) {
			r.fail("recover", "%s does not return the configuration after the faults", addr)
		}
	}
}

func (r *runner) fail(promise, format string, args ...any) {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	r.checker.broken(promise, format, args...)
}

// eventually waits for a condition and reports whether it came.
func eventually(ctx context.Context, condition func() bool) bool {
	for end := time.Now().Add(settlePatience); time.Now().Before(end) && ctx.Err() == nil; wait.For(ctx, settleStep) {
		if condition() {
			return true
		}
	}
	return false
}

// Counts returns how often things happened.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for name, count := range c.counts {
		counts[name] = count
	}
	return counts
}

func writeReport(path string, report Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// journal is the list of faults with their times.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func openJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	return &journal{file: file, began: time.Now()}, err
}

func (j *journal) write(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	// A journal that cannot be written leaves the run as it is.
	_, _ = fmt.Fprintf(j.file, "%s %.3f s: %s\n", time.Now().Format("15:04:05.000"), time.Since(j.began).Seconds(), line)
}

func (j *journal) close() { _ = j.file.Close() }
