package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Explanation tells where the tasks of a job that is not submitted would go now.
type Explanation struct {
	Placed  []Placement     `json:"placed" cbor:"1,keyasint,omitempty"`  // tasks that would start now, in order
	Waits   []WaitingReason `json:"waits" cbor:"2,keyasint,omitempty"`   // steps of which a task would wait
	Ahead   int             `json:"ahead" cbor:"3,keyasint,omitempty"`   // runs with waiting tasks that come before the job
	Workers []WorkerReason  `json:"workers" cbor:"4,keyasint,omitempty"` // what speaks against each worker, for the first step
}

// Placement is a task and the worker on which it would start.
type Placement struct {
	Step   int               `json:"step" cbor:"1,keyasint,omitempty"`
	Index  int               `json:"index" cbor:"2,keyasint,omitempty"`
	Worker workflow.WorkerID `json:"worker" cbor:"3,keyasint,omitempty"`
}

// WaitingReason is a step of which a task would wait.
type WaitingReason struct {
	Step   int    `json:"step" cbor:"1,keyasint,omitempty"`
	Reason string `json:"reason" cbor:"2,keyasint,omitempty"`
	WaitMs int64  `json:"wait_ms,omitempty" cbor:"3,keyasint,omitempty"` // expected, if the step waits for a rack
}

// WorkerReason tells what speaks against a worker; an empty reason means nothing.
type WorkerReason struct {
	Worker workflow.WorkerID `json:"worker" cbor:"1,keyasint,omitempty"`
	Reason string            `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Score  float64           `json:"score" cbor:"3,keyasint,omitempty"` // higher is better; among workers without a reason
}

// Explain plans the pending runs together with a job that is not submitted, and returns what becomes of the job.
// It changes neither the snapshot nor the planner's state.
func Explain(p *Snapshot, state *PlannerState, job *workflow.Job) Explanation {
	trial := *p
	trial.PendingRuns = append(slices.Clone(p.PendingRuns), PendingRun{Job: job})
	pass := newPass(&trial, state.forTrial())
	var e Explanation
	e.Workers = pass.explainWorkers(job)
	for _, turn := range sortRuns(&trial, pass.restarts) {
		if turn.Job == job {
			break
		}
		switch {
		case turn.until > 0:
			e.Ahead += turn.Job.CountUnstarted(turn.Occurrence, turn.until)
		case len(pass.readySteps(turn.PendingRun)) > 0:
			e.Ahead++
		}
	}
	pass.placeRuns(&trial)
	for _, a := range pass.assignments {
		if a.Attempt.Task.Job == job.ID {
			e.Placed = append(e.Placed, Placement{a.Attempt.Task.Step, a.Attempt.Task.Index, a.Incarnation.Worker})
		}
	}
	for _, w := range pass.waits {
		if w.Job == job.ID {
			e.Waits = append(e.Waits, WaitingReason{Step: w.Step, Reason: w.Reason.String(), WaitMs: pass.expectedWaitFor(job, w)})
		}
	}
	return e
}

// expectedWaitFor returns the expected wait of a step for its rack, in milliseconds.
func (p *pass) expectedWaitFor(job *workflow.Job, w WaitingStep) int64 {
	label := job.Steps[w.Step].DataRack
	if w.Reason != WaitNearPlace || label == "" {
		return 0
	}
	return int64(p.rackOf(job.Service, label).expectedWait())
}

// explainWorkers rates each worker of the job's service for its first step, before any run is placed.
func (p *pass) explainWorkers(job *workflow.Job) []WorkerReason {
	p.buildCandidates()
	n := p.needsOf(PendingRun{Job: job}, 0)
	var reasons []WorkerReason
	for _, c := range p.candidates {
		if c.worker.Service != job.Service {
			continue
		}
		reason := WorkerReason{Worker: c.worker.Incarnation.Worker}
		score, obstacle, ok := c.rate(&n, workflow.Task{}, false)
		if reason.Score = score; !ok {
			reason.Reason = obstacle.String()
		}
		reasons = append(reasons, reason)
	}
	for _, w := range p.workers {
		if w.Service == job.Service && !w.Usable {
			reasons = append(reasons, WorkerReason{Worker: w.Incarnation.Worker, Reason: w.whyUnusable()})
		}
	}
	slices.SortFunc(reasons, func(a, b WorkerReason) int {
		return cmp.Or(compareBool(a.Reason != "", b.Reason != ""), cmp.Compare(b.Score, a.Score), cmp.Compare(a.Worker, b.Worker))
	})
	return reasons
}

func (w *Worker) whyUnusable() string {
	switch {
	case w.Evacuated:
		return "its zone is evacuated"
	case w.Draining, w.Deregistered:
		return "it leaves"
	case w.Silent:
		return "it does not answer"
	case w.LastResort:
		return "it is quarantined; restarts may use it"
	}
	return "it takes no tasks now"
}

// forTrial returns a copy of the state that a trial may change. The interference model is shared, because
// planning only reads it.
func (s *PlannerState) forTrial() *PlannerState {
	return &PlannerState{
		InterferenceModel: s.InterferenceModel,
		ShortTaskReserve:  s.ShortTaskReserve.clone(),
		RestartHistory:    &RestartHistory{maps.Clone(s.RestartHistory.restarts)},
		NearWaits:         &NearWaits{maps.Clone(s.NearWaits.waits)},
	}
}

func (r *ShortTaskReserve) clone() *ShortTaskReserve {
	copied := NewShortTaskReserve()
	for service, p := range r.peaks {
		peakCopy := *p
		copied.peaks[service] = &peakCopy
	}
	return copied
}

// PreviewID is the id of a job that is explained and not submitted.
const PreviewID = workflow.JobID("(preview)")

// Preview returns the job that a submission would become, under an id that no submitted job has.
func Preview(routing *model.Routing, s *workflow.Submission, now model.Millis) (*workflow.Job, error) {
	job, err := workflow.NewJob(routing, s, now)
	if err != nil {
		return nil, err
	}
	job.ID = PreviewID
	return job, nil
}
