package fleetd

import (
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/fleet"
)

// contactWarnAfter is how long after readinessTimeout the first line is written that no leader responds.
const contactWarnAfter = time.Second

// neverMet is given in milliseconds in place of a silence if no leader has ever responded.
const neverMet = int64(-1)

// contactWatch logs that no leader responds to this daemon, and what the daemon knows of the controllers.
type contactWatch struct {
	logger  zerolog.Logger
	metrics *fleet.Metrics
	backoff warnBackoff
}

// observe takes over the time since the last response of a leader at the time now.
func (w *contactWatch) observe(c *fleet.Client, now time.Time) {
	age, met := c.ContactAge()
	silentMs := neverMet
	if met {
		silentMs = age.Milliseconds()
	}
	w.metrics.SetGauge("leader_silent_ms", int(silentMs))
	if met && age < readinessTimeout {
		w.backoff = warnBackoff{}
		return
	}
	if w.backoff.since.IsZero() {
		w.backoff = warnBackoff{first: contactWarnAfter}
		w.backoff.begin(now)
	}
	if w.backoff.due(now) {
		c.DescribeControllers(w.logger.Warn()).Int64("leader_silent_ms", silentMs).Msg("no leader responds")
	}
}
