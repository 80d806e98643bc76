package workflow

import "samphirepaddle.example/core/model"

// Estimated memory of the records of a job in bytes, without the texts that callers choose.
const (
	jobBytes      = 600
	stepBytes     = 400 // its declaration, and what a pass keeps of it
	runBytes      = 64  // an occurrence that has started, without its steps
	stepRunBytes  = 32  // a step of it, without its tasks
	taskBytes     = 130
	waitingBytes  = 350 // what passes keep of a step of an occurrence that waits
	endedJobBytes = 400
)

// Weight estimates the memory that a job takes once it is accepted: its texts, its steps, the tasks of the occurrences that
// run at the same time if each takes as long as declared, and the record of those that are complete. More of them run at
// the same time only while memory is left; the weight of the state follows them.
func (s *Submission) Weight() int64 {
	return jobWeight(s.Payload, s.Steps, s.Repeats, s.IntervalMs)
}

func jobWeight(payload string, steps []StepSpec, repeats int, interval model.Millis) int64 {
	weight := int64(jobBytes + len(payload))
	for i := range steps {
		step := &steps[i]
		weight += int64(stepBytes + len(step.Image) + len(step.RequiredLabel) + len(step.DataRack) + 8*len(step.After))
	}
	if repeats > 0 {
		weight += int64(repeats/8) + waitingBytes*waitingSteps(steps)
	}
	return weight + runWeight(steps)*overlapping(repeats, steps, interval)
}

// runWeight estimates the memory of an occurrence that has started.
func runWeight(steps []StepSpec) int64 {
	weight := int64(runBytes)
	for i := range steps {
		weight += stepRunBytes + taskBytes*int64(steps[i].Count)
	}
	return weight
}

// waitingSteps returns the number of steps of a backlog that may wait at the same time, for its occurrences in time and its
// late ones.
func waitingSteps(steps []StepSpec) int64 {
	const parts = 2
	for i := range steps {
		if steps[i].DataRack != "" || steps[i].SameRack {
			return int64(parts * MaxWaitingOccurrences * len(steps))
		}
	}
	return int64(parts * len(steps))
}

// overlapping returns how many occurrences run at the same time if each takes as long as its steps together.
func overlapping(repeats int, steps []StepSpec, interval model.Millis) int64 {
	if repeats <= 1 {
		return 1
	}
	length := model.Millis(0)
	for i := range steps {
		length += max(0, steps[i].EstimateMs)
	}
	return min(int64(repeats), int64(length/max(1, interval))+1)
}

// AdmittedRuns returns the number of occurrences of the job for whose records memory was set aside when it was accepted.
func (j *Job) AdmittedRuns() int { return int(overlapping(j.Repeats, j.Steps, j.Interval)) }

// RunWeight estimates the memory of the records of one occurrence that has started.
func (j *Job) RunWeight() int64 { return runWeight(j.Steps) }

// weigh returns the weight of the job with the occurrences that have started beyond the admitted ones.
func (j *Job) weigh() int64 {
	return jobWeight(j.Payload, j.Steps, j.Repeats, j.Interval) + j.RunWeight()*int64(max(0, len(j.Runs)-j.AdmittedRuns()))
}

func (s *State) addWeight(job *Job) {
	job.weight = job.weigh()
	s.heldWeight += job.weight
}

// removeWeight takes off the weight of a job whose details are removed.
func (s *State) removeWeight(job *Job) {
	s.heldWeight -= job.weight
	job.weight = 0
}

// followRuns adjusts the weight of a job whose number of runs has changed from the given one.
func (s *State) followRuns(job *Job, before int) {
	admitted := job.AdmittedRuns()
	change := job.RunWeight() * int64(max(0, len(job.Runs)-admitted)-max(0, before-admitted))
	job.weight += change
	s.heldWeight += change
}

// Weight estimates the memory of the jobs in the state, in bytes.
func (s *State) Weight() int64 {
	return s.heldWeight + endedJobBytes*int64(len(s.endedJobs)+len(s.unsubmitted))
}

// Knows reports whether the job was submitted or cancelled before.
func (s *State) Knows(id JobID) bool { return s.Jobs[id] != nil }
