package workflow

import "samphirepaddle.example/core/model"

// Estimated memory of the records of a job in bytes, without the texts that callers choose.
const (
	jobBytes      = 600
	stepBytes     = 400 // its declaration, and what a pass keeps of it
	taskBytes     = 130
	endedJobBytes = 400
)

// Weight estimates the memory that a job takes once it is accepted: its texts, its steps, and the tasks of the
// occurrences that run at the same time if each takes as long as declared.
func (s *Submission) Weight() int64 {
	return jobWeight(s.Payload, s.Steps, s.Repeats, s.IntervalMs)
}

func jobWeight(payload string, steps []StepSpec, repeats int, interval model.Millis) int64 {
	weight, tasks := int64(jobBytes+len(payload)), int64(0)
	length := model.Millis(0)
	for i := range steps {
		step := &steps[i]
		weight += int64(stepBytes + len(step.Image) + len(step.RequiredLabel) + len(step.DataRack) + 8*len(step.After))
		tasks += int64(step.Count)
		length += max(0, step.EstimateMs)
	}
	return weight + taskBytes*tasks*overlapping(repeats, length, interval)
}

// overlapping returns how many occurrences run at the same time if each takes as long as its steps together.
func overlapping(repeats int, length, interval model.Millis) int64 {
	if repeats <= 1 {
		return 1
	}
	return min(int64(repeats), int64(length/max(1, interval))+1)
}

// Weight estimates the memory of the jobs in the state, in bytes.
func (s *State) Weight() int64 { return s.liveWeight + endedJobBytes*int64(len(s.endedJobs)) }

// Knows reports whether the job was submitted or cancelled before.
func (s *State) Knows(id JobID) bool { return s.Jobs[id] != nil }
