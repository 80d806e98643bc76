package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// maxPause is how long a best-effort task may be paused in favour of a serving task before it is
// stopped. The load of a serving task rises and falls over ten seconds, while a restart from a
// checkpoint takes 0.3 to 0.6 s.
const maxPause = model.Millis(500)

// WorthMoving reports whether a paused task should be stopped and placed again. It then resumes
// from its checkpoint on a worker where it does not interfere, and frees capacity on this worker
// for tasks that do not interfere here. Without moves, a fifth of the best-effort tasks stayed
// paused while other tasks waited for the capacity that they held.
func WorthMoving(step *workflow.StepSpec, pausedFor model.Millis) bool {
	return step.Checkpoints && step.UsesSpareCPU && pausedFor > maxPause
}
