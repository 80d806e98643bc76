package fleet

import (
	"time"

	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// Workers that end in the same moment most likely have a common cause, such as a failure of their power
// supply or network, and not a task each.
const (
	// commonCrashWindow is the longest time between the ends of two workers with a common cause, as the leader
	// sees them. It notices a connection that breaks within milliseconds, later only if it is busy.
	commonCrashWindow = 300 * time.Millisecond
	// minCommonCrashes is the smallest number of such workers. A service of two workers would have a common
	// cause in every crash otherwise.
	minCommonCrashes = 3
	// connectionEndMemory bounds the time from the end of a worker until another process answers at its address.
	connectionEndMemory = time.Minute
)

// connectionEnd records that the connections to a worker process broke.
type connectionEnd struct {
	service string
	at      bootclock.Time
	workers int // of the service, in contact just before
}

// noteConnectionEnd records that the connections to a process broke that has answered before;
// leadership.mu must be held. The workers are counted now, because their successors may have other ids.
func (s *session) noteConnectionEnd(now bootclock.Time) {
	if s.answeredAt == 0 {
		return
	}
	l := s.leadership
	for incarnation, end := range l.connectionEnds {
		if now.Sub(end.at) > connectionEndMemory {
			delete(l.connectionEnds, incarnation)
		}
	}
	own := connectionEnd{service: s.service, at: now}
	for incarnation, other := range l.sessions {
		end, broke := l.connectionEnds[incarnation]
		if other.service == s.service && ((broke && end.isNear(own)) || other.answers(now)) {
			own.workers++
		}
	}
	l.connectionEnds[s.incarnation] = own
}

// isNear reports whether the ends of two workers of one service may have a common cause.
func (e connectionEnd) isNear(other connectionEnd) bool {
	return e.service == other.service && max(e.at.Sub(other.at), other.at.Sub(e.at)) <= commonCrashWindow
}

// isCommonCrash reports whether half of the workers of the service or more ended in the same moment as the
// worker process. Only breaks of connections count that no answer of the process has followed.
func (l *leadership) isCommonCrash(incarnation workflow.Incarnation) bool {
	own, ok := l.connectionEnds[incarnation]
	if !ok {
		return false
	}
	ended, workers := 0, 0
	for _, end := range l.connectionEnds {
		if end.isNear(own) {
			ended++
			workers = max(workers, end.workers)
		}
	}
	return ended >= minCommonCrashes && 2*ended >= workers
}
