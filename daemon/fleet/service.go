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
	if refusal, refused := e.admitJob(&s); refused {
		e.opts.Metrics.count("submissions", "refused_"+string(refusal.Code), 1)
		l.sampledLogger.Warn().Str("path", s.Path).Str("detail", refusal.Message).Msg("submission refused")
		return refusal, nil
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

// Deregister records that a worker leaves. The caller names only its id, so that the deregistration may be
// that of an earlier process: the recorded one gets no more tasks until it reports again, and keeps what it runs.
func (e *Engine) Deregister(ctx context.Context, id workflow.WorkerID) (ReportResult, error) {
	l := e.currentLeadership()
	if l == nil {
		return ReportResult{}, ErrNotLeading
	}
	var worker workflow.Worker
	known := false
	e.opts.Log.View(func(st *state.State) {
		if w, ok := st.Workflows.Workers[id]; ok {
			worker, known = *w, true
		}
	})
	l.logger.Info().Str("worker", string(id)).Int64("born", int64(worker.Incarnation.StartedAt)).Bool("known", known).
		Bool("draining", worker.Draining).Bool("repeated", worker.Deregistered).Msg("deregistration")
	if !known || worker.Deregistered {
		return ReportResult{}, nil
	}
	worker.Deregistered = true
	return e.ReportWorker(ctx, WorkerReport{Worker: worker})
}
