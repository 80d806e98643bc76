package workflow

// A job has begun once a worker has accepted a start of one of its tasks, has listed a task as running, or has listed
// its end. An assignment proves nothing: its start may be lost on the way, and is then repeated elsewhere.

// AwaitsBegin reports whether the job of the attempt is live and not known to have begun, and the worker may have
// run the attempt. Workers may list attempts that nobody has assigned to them.
func (s *State) AwaitsBegin(a Attempt, worker WorkerID) bool {
	job, ok := s.liveJobs[a.Task.Job]
	if !ok || job.Begun || !job.validKey(a.Task) {
		return false
	}
	run := job.Runs[a.Task.Occurrence]
	if run == nil {
		return false
	}
	task := &run.Steps[a.Task.Step].Tasks[a.Task.Index]
	switch {
	case a.Number == 0, a.Number > task.Attempt:
		return false
	case a.Number == task.Attempt:
		return task.Incarnation.Worker == worker
	}
	return true // the record does not tell which worker an earlier attempt was assigned to
}

func (s *State) recordBegun(id JobID) {
	if job, ok := s.liveJobs[id]; ok {
		job.Begun = true
	}
}
