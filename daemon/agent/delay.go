package agent

import (
	"time"

	"samphirepaddle.example/daemon/bootclock"
)

// delayWindow is the time over which the lowest difference of the two clocks is kept. It bounds the
// effect of clocks that run at different rates.
const delayWindow = 5 * time.Second

// delayMeter estimates how long a frame was under way beyond the fastest recent one. It notices
// frames that waited while the agent was frozen or the network held them up: the window before the
// pause still has the difference without it.
type delayMeter struct {
	started     bool // a frame was observed
	windowStart bootclock.Time
	current     time.Duration // lowest difference of this window
	previous    time.Duration // lowest difference of the previous window
}

// observe returns the delay of a frame that was sent at sentAt on the sender's clock.
func (m *delayMeter) observe(sentAt, receivedAt bootclock.Time) time.Duration {
	difference := receivedAt.Sub(sentAt)
	switch {
	case !m.started:
		m.started, m.windowStart, m.current, m.previous = true, receivedAt, difference, difference
	case receivedAt.Sub(m.windowStart) > delayWindow:
		m.windowStart, m.previous, m.current = receivedAt, m.current, difference
	default:
		m.current = min(m.current, difference)
	}
	return difference - min(m.current, m.previous)
}
