package fleet

import (
	"fmt"
	"math"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// Admission of jobs by the memory that they take. The leader holds each of them several times for a while: in its
// state, in a snapshot and in a plan.
const (
	// smallJobWeight is the weight up to which a job may use the whole limit; larger ones leave a part of it
	// to ordinary jobs.
	smallJobWeight = 64 << 10
	largeJobShare  = 0.75
	// spareRunShare is the part of the limit up to which occurrences may start beyond those that their jobs were admitted
	// with. The rest is left to new jobs.
	spareRunShare = 0.5

	jobWeightGauge = "job_weight_bytes"
)

// admitJob reports why a submission is not accepted for want of memory. A job that is known is acknowledged again.
func (e *Engine) admitJob(s *workflow.Submission) (refusal JobResponse, refused bool) {
	limit := e.opts.JobBytes
	if limit == 0 {
		return JobResponse{}, false
	}
	weight, held, known := s.Weight(), int64(0), false
	e.opts.Log.View(func(st *state.State) {
		held = st.Workflows.Weight()
		known = isKnownJob(st, s.Host, s.Path)
	})
	e.opts.Metrics.SetGauge(jobWeightGauge, int(held))
	if weight > smallJobWeight {
		limit = int64(largeJobShare * float64(limit))
	}
	switch {
	case known, held+weight <= limit:
		return JobResponse{}, false
	case weight > limit:
		return JobResponse{Code: state.CodeInvalid, Message: fmt.Sprintf("the job takes %d bytes of memory, at most %d are allowed", weight, limit)}, true
	}
	return JobResponse{Code: state.CodeLimit, Message: "the jobs that have not ended take the memory for them"}, true
}

// spareRunBytes returns the memory that is left for occurrences beyond the admitted ones.
func (e *Engine) spareRunBytes(workflows *workflow.State) int64 {
	if e.opts.JobBytes == 0 {
		return math.MaxInt64
	}
	return int64(spareRunShare*float64(e.opts.JobBytes)) - workflows.Weight()
}

func isKnownJob(st *state.State, host, path string) bool {
	if st.Config.Routing == nil {
		return false
	}
	_, rest, ok := st.Config.Routing.Match(host, path)
	return ok && st.Workflows.Knows(workflow.JobID(rest))
}

// JobBytesFor returns the weight of jobs that a controller accepts with the given memory; 0 is unlimited.
func JobBytesFor(memoryMiB int64) int64 {
	const share = 0.125
	return int64(share * float64(memoryMiB<<20))
}
