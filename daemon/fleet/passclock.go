package fleet

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/daemon/bootclock"
)

// maxClockError bounds how far due times run ahead of the wall clock. A clock that is set back by less
// delays no occurrence. Callers accept starts that are 5 s early while clocks jump.
const maxClockError = model.Millis(5000)

// passClock is the time of the passes of one term. The wall clock may be set back, and the recorded times
// are from the clocks of earlier leaders, which may be ahead; the time of the passes still advances steadily.
type passClock struct {
	time   model.Millis
	readAt bootclock.Time
}

// read returns the time of a pass: that of the wall clock, the latest recorded one, or the one of the last
// pass and what has passed since, whichever is latest.
func (c *passClock) read(wall, recorded model.Millis, now bootclock.Time) model.Millis {
	steady := c.time
	if c.readAt != 0 {
		steady += model.Millis(now.Sub(c.readAt).Milliseconds())
	}
	c.time, c.readAt = max(wall, recorded, steady), now
	return c.time
}
