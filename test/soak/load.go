package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"samphirepaddle.example/daemon/wait"
	"samphirepaddle.example/platform/standin"
)

// The load of a run. It keeps a small group busy with every kind of operation; it is no
// measure of what the daemons can carry.
const (
	callers        = 6
	callerPause    = 60 * time.Millisecond // mean, between two operations of a caller
	requestTimeout = 3 * time.Second
	triesPerJob    = 4
	jobsPerCaller  = 12                     // that a caller asks about in turn
	configPause    = 400 * time.Millisecond // mean, between two configurations
	readPause      = 150 * time.Millisecond // between two reads of one controller
	configTimeout  = time.Second
	host           = "soak.example"
	prefix         = "/jobs/"
	service        = "soak-workers"
)

// Payloads say what the runs of a job do.
const (
	payloadWork  = "work"
	payloadFail  = "fail" // the first failures runs of a task fail
	payloadLast  = "last" // until it is stopped
	shortestWork = 40     // ms
	longestWork  = 500    // ms
)

// workOf reads a payload.
func workOf(_ string, attempt uint32, payload string) standin.RunSpec {
	var kind string
	var ms, failures int
	if _, err := fmt.Sscan(payload, &kind, &ms, &failures); err != nil {
		return standin.RunSpec{RunTime: time.Millisecond, Fails: true} // the checker reports the payload
	}
	work := standin.RunSpec{RunTime: time.Duration(ms) * time.Millisecond, CPUMillis: taskCPU, MemoryMiB: taskMemory}
	if kind == payloadLast {
		work.RunTime = 0
	}
	work.Fails = kind == payloadFail && int(attempt) <= failures
	return work
}

// Sizes of tasks and workers.
const (
	taskCPU      = 1000
	taskMemory   = 100
	workerCPU    = 8000
	workerMemory = 4000
)

func drawJob(rng *rand.Rand) standin.Job {
	step := func() standin.Step {
		return standin.Step{Count: 1 + rng.IntN(4), CPUMillis: taskCPU, MemoryMiB: taskMemory, EstimateMs: longestWork, Checkpoints: rng.IntN(2) == 0}
	}
	kind, failures := payloadWork, 0
	job := standin.Job{Steps: []standin.Step{step()}}
	switch n := rng.IntN(10); {
	case n == 0:
		kind = payloadLast
		job.Steps[0].LongRunning = true
	case n == 1:
		kind, failures = payloadFail, 1+rng.IntN(4)
	case n < 6:
		second := step()
		second.After = []int{0}
		job.Steps = append(job.Steps, second)
	}
	ms := shortestWork + rng.IntN(longestWork-shortestWork)
	job.Payload = strings.Join([]string{kind, fmt.Sprint(ms), fmt.Sprint(failures), fmt.Sprintf("%08x", rng.Uint32())}, " ")
	return job
}

// load sends requests until its context ends.
type load struct {
	checker     *Checker
	gateways    []string
	controllers []string
	group       sync.WaitGroup
	mu          sync.Mutex
	lasting     []string // ids of long-running jobs that were accepted and not cancelled
	version     uint64   // of the last configuration that was sent
}

func (l *load) start(ctx context.Context, seed uint64) {
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		l.group.Go(func() { l.call(ctx, i, rng) })
	}
	l.group.Go(func() { l.operate(ctx, rand.New(rand.NewPCG(seed, 1000))) })
	for _, addr := range l.controllers {
		l.group.Go(func() { l.watchConfiguration(ctx, addr) })
	}
}

// call is one caller. It keeps its connection to a gateway until that fails.
func (l *load) call(ctx context.Context, number int, rng *rand.Rand) {
	c := &caller{load: l, caller: standin.NewCaller(host, nil), at: number, rng: rng}
	for count := 0; ctx.Err() == nil; count++ {
		switch n := rng.IntN(10); {
		case n < 4 || len(c.jobs) == 0:
			c.submit(ctx, fmt.Sprintf("%04x%04x%08x", number, count, rng.Uint32()))
		case n == 4:
			c.cancel(ctx, c.jobs[rng.IntN(len(c.jobs))])
		default:
			c.show(ctx, c.jobs[rng.IntN(len(c.jobs))])
		}
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(callerPause)))
	}
}

type caller struct {
	load   *load
	caller *standin.Caller
	at     int // gateway
	rng    *rand.Rand
	jobs   []string // the latest ones that were accepted
}

func (c *caller) gateway() string { return c.load.gateways[c.at%len(c.load.gateways)] }

// submit hands a job in, at another gateway after each answer that leaves it open.
func (c *caller) submit(ctx context.Context, id string) {
	job := drawJob(c.rng)
	c.load.checker.HandIn(id, job)
	accepted, allRefused := false, true
	for range triesPerJob {
		call, cancel := context.WithTimeout(ctx, requestTimeout)
		reply := c.caller.Submit(call, c.gateway(), prefix+id, job)
		cancel()
		if reply.OK() {
			if !accepted {
				c.accepted(id, job)
			}
			accepted = true
			if c.rng.IntN(8) == 0 {
				c.at++ // a late repetition arrives at another gateway
				continue
			}
			return
		}
		allRefused = allRefused && reply.Refused()
		c.at++
		wait.For(ctx, callerPause)
		if ctx.Err() != nil {
			return // the fate of the last try is open
		}
	}
	if !accepted {
		c.load.checker.GivenUp(id, allRefused)
	}
}

func (c *caller) accepted(id string, job standin.Job) {
	c.load.checker.Accepted(id)
	c.jobs = append(c.jobs, id)
	if len(c.jobs) > jobsPerCaller {
		c.jobs = c.jobs[1:]
	}
	if job.Steps[0].LongRunning {
		c.load.mu.Lock()
		c.load.lasting = append(c.load.lasting, id)
		c.load.mu.Unlock()
	}
}

func (c *caller) show(ctx context.Context, id string) {
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sentAt := time.Now()
	reply := c.caller.JobState(call, c.gateway(), prefix+id)
	c.load.checker.Shown(id, sentAt, reply)
	if !reply.OK() {
		c.at++
	}
}

func (c *caller) cancel(ctx context.Context, id string) {
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c.load.checker.Cancelling(id)
	if reply := c.caller.Cancel(call, c.gateway(), prefix+id); reply.OK() {
		c.load.checker.Cancelled(id)
	} else {
		c.at++
	}
}

// operate changes the configuration now and then.
func (l *load) operate(ctx context.Context, rng *rand.Rand) {
	operator := standin.NewCaller("", nil)
	for ctx.Err() == nil {
		l.configure(ctx, operator, l.controllers[rng.IntN(len(l.controllers))])
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(configPause)))
	}
}

// watchConfiguration reads the configuration of one controller. A controller that does not
// answer is asked again beside the open request, because a frozen one may answer both later.
func (l *load) watchConfiguration(ctx context.Context, controller string) {
	operator := standin.NewCaller("", nil)
	for ctx.Err() == nil {
		l.group.Go(func() { l.readConfiguration(ctx, operator, controller) })
		wait.For(ctx, readPause)
	}
}

// configure sends the next version and reports whether it was acknowledged.
func (l *load) configure(ctx context.Context, operator *standin.Caller, controller string) bool {
	l.mu.Lock()
	l.version++
	version := l.version
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	document := standin.Configuration(version, host, service, maxAttempts, prefix, fmt.Sprintf("/other-%d/", version))
	if !operator.Configure(call, controller, document).OK() {
		return false
	}
	l.checker.Configured(version)
	return true
}

func (l *load) readConfiguration(ctx context.Context, operator *standin.Caller, controller string) {
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sentAt := time.Now()
	l.checker.ReadConfiguration(controller, sentAt, operator.ReadConfiguration(call, controller))
}
