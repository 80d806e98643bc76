package intake

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/bootclock"
)

// crowdLogInterval is the time between two lines about a crowd.
const crowdLogInterval = 10 * time.Second

// crowdLog writes one line for many clients that were refused or closed.
type crowdLog struct {
	logger zerolog.Logger

	mu       sync.Mutex
	counts   map[string]int // since the last line
	loggedAt bootclock.Time
}

func (c *crowdLog) note(name, what string, now bootclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name+"_"+what]++
	if c.loggedAt != 0 && now.Sub(c.loggedAt) < crowdLogInterval {
		return
	}
	line := c.logger.Warn()
	for key, count := range c.counts {
		line = line.Int(key, count)
	}
	line.Msg("clients hold more memory or connections than there are; some were refused or closed")
	c.counts, c.loggedAt = nil, now
}
