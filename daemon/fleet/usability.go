package fleet

import (
	"github.com/rs/zerolog"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// unusable tells why no task may start on a worker.
type unusable uint8

// The reasons, in the order in which they are checked.
const (
	usable unusable = iota
	unusableReplaced
	unusableLeaves
	unusableEvacuated
	unusableNoToken
	unusableSilent
	unusableOrphan
	unusablePaused
	unusableQuarantined
)

// String returns the reason as a field name in log lines.
func (u unusable) String() string {
	return [...]string{"usable", "replaced", "draining", "evacuated", "token_not_accepted", "silent", "runs_unknown_attempt", "paused_after_refusal", "quarantined"}[u]
}

// usability returns why no task may start on the worker, or usable.
func (s *session) usability(w *workflow.Worker, now bootclock.Time) unusable {
	switch {
	case s.replaced:
		return unusableReplaced
	case w.Draining, w.Deregistered:
		return unusableLeaves
	case s.leadership.evacuated[w.Zone]:
		return unusableEvacuated
	case !s.tokenAccepted:
		return unusableNoToken
	case !s.answers(now), s.silence.recorded:
		return unusableSilent
	case s.runsOrphan:
		return unusableOrphan
	case now < s.pauseUntil:
		return unusablePaused
	case s.quarantine.active(now):
		return unusableQuarantined
	}
	return usable
}

// serviceState describes the workers of one service for log lines.
type serviceState struct {
	usage    dispatch.Usage
	unusable map[unusable]int // workers by reason
}

// serviceStates returns the state of each service with workers. It takes as long as a part of a plan, so
// it is called only when a line is written.
func (l *leadership) serviceStates(p *dispatch.Snapshot, now bootclock.Time) map[string]*serviceState {
	states := map[string]*serviceState{}
	for service, usage := range dispatch.UsageByService(p) {
		states[service] = &serviceState{usage: *usage, unusable: map[unusable]int{}}
	}
	for _, w := range p.Workers {
		if why := l.sessions[w.Incarnation].usability(&w.Worker, now); why != usable {
			states[w.Service].unusable[why]++
		}
	}
	return states
}

// addTo adds the state to a line. A service without workers has no state.
func (s *serviceState) addTo(line *zerolog.Event) *zerolog.Event {
	if s == nil {
		return line.Int("workers", 0)
	}
	reasons := zerolog.Dict()
	for why := usable + 1; why <= unusableQuarantined; why++ {
		if count := s.unusable[why]; count > 0 {
			reasons.Int(why.String(), count)
		}
	}
	u := &s.usage
	return line.Int("workers", u.Workers).Int("usable", u.Usable).Int("isolated", u.Isolated).Dict("unusable", reasons).
		Int64("cpu", u.All.CPUMillis).Int64("usable_cpu", u.OnUsable.CPUMillis).Int64("usable_free_cpu", u.OnUsable.CPUMillis-u.OnUsable.ReservedCPU).
		Int64("memory_mib", u.All.MemoryMiB).Int64("usable_free_memory_mib", u.OnUsable.MemoryMiB-u.OnUsable.UsedMemory).
		Int("used_percent", int(100*u.All.CPUShare())).Int("usable_used_percent", int(100*u.OnUsable.CPUShare()))
}
