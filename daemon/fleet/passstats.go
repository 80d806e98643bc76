package fleet

import (
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/bootclock"
)

// passStatsInterval is the time that one log line about the passes covers.
const passStatsInterval = 5 * time.Second

// passStats sums up the passes since the last log line. The goroutine that runs the passes owns it.
type passStats struct {
	since                bootclock.Time
	passes, commits      int
	starts               int
	planTime, commitTime time.Duration
	slowestPlan          time.Duration
	slowestCommit        time.Duration
}

func (s *passStats) planned(took time.Duration) {
	s.passes++
	s.planTime += took
	s.slowestPlan = max(s.slowestPlan, took)
}

func (s *passStats) committed(took time.Duration, starts int) {
	s.commits++
	s.starts += starts
	s.commitTime += took
	s.slowestCommit = max(s.slowestCommit, took)
}

// log writes one line for each passStatsInterval.
func (s *passStats) log(logger zerolog.Logger, now bootclock.Time) {
	if s.since == 0 {
		s.since = now
	}
	covered := now.Sub(s.since)
	if covered < passStatsInterval {
		return
	}
	logger.Info().Int64("covered_ms", covered.Milliseconds()).Int("passes", s.passes).Int("commits", s.commits).Int("starts", s.starts).
		Int64("plan_ms", s.planTime.Milliseconds()).Int64("slowest_plan_ms", s.slowestPlan.Milliseconds()).
		Int64("commit_ms", s.commitTime.Milliseconds()).Int64("slowest_commit_ms", s.slowestCommit.Milliseconds()).Msg("passes")
	*s = passStats{since: now}
}
