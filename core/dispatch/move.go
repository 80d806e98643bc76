package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// pausedTooLong is how long a task may stand still for the sake of a serving one before it is
// stopped: the swing of a serving task's load takes ten seconds, a restart from a checkpoint
// 0.3 to 0.6 s.
const pausedTooLong = model.Millis(500)

// WorthMoving reports whether a paused task is better off waiting: it continues from its
// checkpoint where it presses on nobody, and leaves its place to a task that does not press.
// The load that it answers: a fifth of the fillers paused on workers where they press, while
// others waited for the capacity that they held.
func WorthMoving(step *workflow.StepSpec, pausedFor model.Millis) bool {
	return step.Checkpoints && step.UsesSpareCPU && pausedFor > pausedTooLong
}
