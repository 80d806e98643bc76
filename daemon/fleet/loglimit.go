package fleet

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// maxDecisionLinesPerSecond limits the log lines about single attempts and waiting steps. The
// heaviest standard test scenario has about 330 starts and ends per second.
const maxDecisionLinesPerSecond = 500

// logLimiter passes a limited number of lines per second and counts the lines that it drops.
type logLimiter struct {
	maxPerSecond int64
	second       atomic.Int64 // Unix second that written refers to
	written      atomic.Int64
	dropped      atomic.Int64 // lines dropped since the last report
}

var _ zerolog.Sampler = (*logLimiter)(nil)

// Sample reports whether the line is written.
func (l *logLimiter) Sample(zerolog.Level) bool { return l.allow(time.Now().Unix()) }

func (l *logLimiter) allow(second int64) bool {
	if l.second.Swap(second) != second {
		l.written.Store(0)
	}
	if l.written.Add(1) <= l.maxPerSecond {
		return true
	}
	l.dropped.Add(1)
	return false
}

// reportDropped logs the number of lines dropped since the last report.
func (l *logLimiter) reportDropped(logger zerolog.Logger) {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		logger.Warn().Int64("lines", dropped).Msg("decisions were not logged")
	}
}
