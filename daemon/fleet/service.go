package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/replica"
)

// Errors of the leader's operations.
var (
	// ErrNotLeading reports that nothing was done because this controller is not the leader, or
	// cannot be sure that it is.
	ErrNotLeading = errors.New("this controller is not the leader")
	// ErrNoConfiguration reports that nothing was done because no routing table has been accepted.
	ErrNoConfiguration = errors.New("no routing table has been accepted yet")
	// ErrUnknownOutcome reports that the operation may or may not have taken effect.
	ErrUnknownOutcome = errors.New("the outcome is unknown")
)

// Query identifies a job or a queue by the host and path of a caller's request.
type Query struct {
	Host string `cbor:"1,keyasint,omitempty"`
	Path string `cbor:"2,keyasint,omitempty"`
}

// JobResponse is the response to a request about a job or a queue.
type JobResponse struct {
	Code    state.Code         `cbor:"1,keyasint,omitempty"` // CodeNotFound: no such job; CodeNoRoute: no such queue
	Status  workflow.JobStatus `cbor:"3,keyasint,omitempty"`
	Message string             `cbor:"4,keyasint,omitempty"`
	Pending int                `cbor:"5,keyasint,omitempty"`
	Queue   bool               `cbor:"6,keyasint,omitempty"` // the request was about a queue; Pending is set
}

// commitTimeout bounds one commit; a healthy group needs about 20 ms.
const commitTimeout = 2 * time.Second

func (l *leadership) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := bootclock.Now()
	result, err := l.engine.opts.Log.Propose(ctx, c)
	l.engine.opts.Metrics.observe("caller_commit_ms", bootclock.Since(began))
	switch {
	case err == nil:
		return result, nil
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrBusy), errors.Is(err, replica.ErrTooLarge):
		return state.Result{}, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	return state.Result{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// Submit records a workflow and returns once a majority has stored it.
func (e *Engine) Submit(ctx context.Context, s workflow.Submission) (JobResponse, error) {
	l := e.currentLeadership()
	if l == nil {
		return JobResponse{}, ErrNotLeading
	}
	if !e.configured() {
		return JobResponse{}, ErrNoConfiguration
	}
	result, err := l.propose(ctx, state.Command{Workflow: &workflow.Command{Submit: &s}})
	if err != nil {
		return JobResponse{}, err
	}
	l.requestPass()
	l.engine.opts.Metrics.count("submissions", string(result.Code), 1)
	l.logger.Info().Str("path", s.Path).Str("code", string(result.Code)).Uint64("revision", uint64(result.Revision)).
		Str("detail", result.Message).Int("steps", len(s.Steps)).Msg("submission")
	return JobResponse{Code: result.Code, Message: result.Message}, nil
}

// Cancel cancels a workflow and returns once a majority has stored the cancellation.
func (e *Engine) Cancel(ctx context.Context, c workflow.Cancel) (JobResponse, error) {
	l := e.currentLeadership()
	if l == nil {
		return JobResponse{}, ErrNotLeading
	}
	if !e.configured() {
		return JobResponse{}, ErrNoConfiguration
	}
	result, err := l.propose(ctx, state.Command{Workflow: &workflow.Command{Cancel: &c}})
	if err != nil {
		return JobResponse{}, err
	}
	l.requestPass()
	l.engine.opts.Metrics.count("cancellations", string(result.Code), 1)
	l.logger.Info().Str("path", c.Path).Str("code", string(result.Code)).Msg("cancellation")
	return JobResponse{Code: result.Code, Message: result.Message}, nil
}

func (e *Engine) configured() bool {
	ok := false
	e.opts.Log.View(func(st *state.State) { ok = st.Config.Routing != nil })
	return ok
}

// Lookup returns the state of a job or the number of pending jobs of a queue. The result is
// current, because the leader lease is checked after the state was read.
func (e *Engine) Lookup(_ context.Context, q Query) (JobResponse, error) {
	var response JobResponse
	configured := false
	e.opts.Log.View(func(st *state.State) {
		if configured = st.Config.Routing != nil; configured {
			response = queryState(st, q)
		}
	})
	if e.currentLeadership() == nil {
		return JobResponse{}, ErrNotLeading
	}
	if !configured {
		return JobResponse{}, ErrNoConfiguration
	}
	return response, nil
}

func queryState(st *state.State, q Query) JobResponse {
	route, rest, ok := st.Config.Routing.Match(q.Host, q.Path)
	if !ok {
		return JobResponse{Code: state.CodeNoRoute}
	}
	if rest == "" {
		return JobResponse{Code: state.CodeOK, Queue: true, Pending: st.Workflows.PendingJobs(route.Name)}
	}
	status, ok := st.Workflows.StatusOf(workflow.JobID(rest))
	if !ok {
		return JobResponse{Code: state.CodeNotFound}
	}
	return JobResponse{Code: state.CodeOK, Status: status}
}

// Configure applies a configuration ticket.
func (e *Engine) Configure(ctx context.Context, t model.Ticket) (state.Result, error) {
	l := e.currentLeadership()
	if l == nil {
		return state.Result{}, ErrNotLeading
	}
	result, err := l.propose(ctx, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: t}})
	if err == nil {
		l.requestPass()
		l.logger.Info().Uint64("ticket", t.Number).Str("code", string(result.Code)).Uint64("revision", uint64(result.Revision)).
			Str("detail", result.Message).Msg("ticket")
	}
	return result, err
}

// Configuration is the routing table in force.
type Configuration struct {
	Document []byte              `cbor:"1,keyasint,omitempty"`
	Limits   model.RequestLimits `cbor:"2,keyasint"`
}

// ReadConfiguration returns the newest routing table.
func (e *Engine) ReadConfiguration(context.Context, struct{}) (Configuration, error) {
	var c Configuration
	configured := false
	e.opts.Log.View(func(st *state.State) {
		if configured = st.Config.Routing != nil; configured {
			c = Configuration{Document: st.Config.Routing.Document, Limits: st.Config.Routing.Limits}
		}
	})
	if e.currentLeadership() == nil {
		return Configuration{}, ErrNotLeading
	}
	if !configured {
		return Configuration{}, ErrNoConfiguration
	}
	return c, nil
}

// ReportWorker handles a worker's heartbeat. Changes are committed before the response, so that a
// worker whose draining was acknowledged gets no task from a later leader either.
func (e *Engine) ReportWorker(ctx context.Context, r WorkerReport) (struct{}, error) {
	l := e.currentLeadership()
	if l == nil {
		return struct{}{}, ErrNotLeading
	}
	done := l.enqueueReport(r)
	if done == nil {
		return struct{}{}, nil
	}
	l.requestPass()
	select {
	case <-done:
		return struct{}{}, nil
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return struct{}{}, ErrUnknownOutcome
}

// enqueueReport handles a heartbeat. If it must be committed, it is queued for the next pass and
// the returned channel is closed once it is; otherwise the channel is nil.
func (l *leadership) enqueueReport(r WorkerReport) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnation := r.Worker.Incarnation
	now := bootclock.Now()
	if s := l.sessions[incarnation]; s != nil {
		if r.Sequence != 0 && r.Sequence <= s.sequence {
			return nil // an outdated heartbeat is ignored
		}
		s.sequence = max(s.sequence, r.Sequence)
		if s.clock == 0 {
			s.updateClock(r.Clock, now)
		}
		if r.Worker.Draining && r.DrainRemainingMs > 0 {
			s.drainUntil = now.Add(time.Duration(r.DrainRemainingMs) * time.Millisecond)
		}
	}
	changed := false
	l.engine.opts.Log.View(func(st *state.State) { changed = changesState(st.Workflows, r.Worker) })
	pending := l.reports[incarnation.Worker]
	if !changed && pending == nil {
		return nil
	}
	if pending != nil && (pending.supersedes(r) || sameReport(pending.worker, r.Worker)) {
		return pending.done
	}
	next := &pendingReport{worker: r.Worker, done: make(chan struct{})}
	next.worker.ReportSequence = r.Sequence
	if pending != nil && pending.worker.Incarnation == incarnation {
		next.worker.Draining = next.worker.Draining || pending.worker.Draining
		next.worker.Deregistered = next.worker.Deregistered || pending.worker.Deregistered
	}
	l.reports[incarnation.Worker] = next
	l.logger.Info().Str("worker", string(incarnation.Worker)).Int64("born", int64(incarnation.StartedAt)).Str("addr", r.Worker.Addr).
		Bool("draining", r.Worker.Draining).Bool("gone", r.Worker.Deregistered).Msg("worker reports")
	return next.done
}

// supersedes reports whether the heartbeat is from an earlier process of the worker, or was sent
// before the one that is pending.
func (p *pendingReport) supersedes(r WorkerReport) bool {
	if p.worker.Incarnation != r.Worker.Incarnation {
		return p.worker.Incarnation.StartedAt > r.Worker.Incarnation.StartedAt
	}
	return r.Sequence != 0 && r.Sequence < p.worker.ReportSequence
}

// changesState reports whether the report changes the recorded worker.
func changesState(workflows *workflow.State, w workflow.Worker) bool {
	known, ok := workflows.Workers[w.Incarnation.Worker]
	if !ok {
		return !w.Deregistered
	}
	if known.Incarnation.StartedAt != w.Incarnation.StartedAt {
		return known.Incarnation.StartedAt < w.Incarnation.StartedAt
	}
	if known.Deregistered {
		return false
	}
	return (w.Draining && !known.Draining) || w.Deregistered || !sameReport(*known, w)
}

// sameReport reports whether b adds nothing to a: the attributes are the same, and b is draining
// or deregistered only if a is.
func sameReport(a, b workflow.Worker) bool {
	if a.Incarnation != b.Incarnation || a.Addr != b.Addr || a.Service != b.Service || a.Zone != b.Zone || a.Rack != b.Rack {
		return false
	}
	if a.CPUMillis != b.CPUMillis || a.MemoryMiB != b.MemoryMiB || a.Accelerators != b.Accelerators || len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return (a.Draining || !b.Draining) && (a.Deregistered || !b.Deregistered)
}

// lateDeregistration bounds how long after the start of a worker process the deregistration of the one
// before it may arrive. Calls are executed up to 12 s late.
const lateDeregistration = 15 * time.Second

// Deregister records that a worker has ended. The caller needs to know only its id, so the call may
// concern the process before the current one: it is ignored while that is possible. The tasks of a process
// that does end so soon after its start are lost with its lease.
func (e *Engine) Deregister(ctx context.Context, id workflow.WorkerID) (struct{}, error) {
	l := e.currentLeadership()
	if l == nil {
		return struct{}{}, ErrNotLeading
	}
	var worker workflow.Worker
	known := false
	e.opts.Log.View(func(st *state.State) {
		if w, ok := st.Workflows.Workers[id]; ok {
			worker, known = *w, true
		}
	})
	if !known || worker.Deregistered {
		return struct{}{}, nil
	}
	age := time.Since(time.UnixMilli(int64(worker.Incarnation.StartedAt)))
	if age < lateDeregistration {
		l.logger.Info().Str("worker", string(id)).Int64("age_ms", age.Milliseconds()).Msg("deregistration ignored: it may be one of the process before")
		return struct{}{}, nil
	}
	worker.Deregistered = true
	return e.ReportWorker(ctx, WorkerReport{Worker: worker})
}
