package fleetd

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/daemon/fleet"
	"samphirepaddle.example/daemon/replica"
	"samphirepaddle.example/daemon/wait"
)

// Timing of the group's watch.
const (
	groupWatchInterval = time.Second // between two reads of the status; the membership changes rarely
	voterSilentAfter   = 2500 * time.Millisecond
	// groupWarnAfter is how long a problem lasts until it is logged. A replaced controller has caught up, and
	// a lost leader has a successor by then.
	groupWarnAfter = 5 * time.Second
)

// groupProblem is why the group tolerates fewer losses than its settings ask for, as far as one controller can tell.
type groupProblem string

const (
	groupHealthy  groupProblem = ""
	groupNotFound groupProblem = "this controller has not found its group"
	groupNotAdded groupProblem = "this controller is not a member of its group"
	groupNoLeader groupProblem = "this controller knows no leader of its group"
	groupTooSmall groupProblem = "the group tolerates fewer losses than the settings ask for"
)

// groupCondition is what one controller knows of its group.
type groupCondition struct {
	problem groupProblem
	leads   bool
	voters  int      // known on the leader only, like the following fields
	live    int      // voters that respond, including the leader
	silent  []string // addresses of the other voters
}

// reserve is the number of voters that may still be lost.
func (c groupCondition) reserve() int { return c.live - (c.voters/2 + 1) }

// conditionOf derives the condition of the group from the status of a controller. wanted is the number of
// voters that the settings ask for.
func conditionOf(s replica.Status, wanted int) groupCondition {
	c := groupCondition{leads: s.Leader.Self}
	member := false
	for _, m := range s.Members {
		member = member || m.ID == s.ID
		switch {
		case m.Learner:
		case m.ID == s.ID || m.SilentFor < voterSilentAfter:
			c.voters++
			c.live++
		default:
			c.voters++
			c.silent = append(c.silent, m.Addr)
		}
	}
	switch {
	case s.Group == "":
		c.problem = groupNotFound
	case !member:
		c.problem = groupNotAdded
	case s.Leader.ID == "":
		c.problem = groupNoLeader
	case c.leads && c.reserve() < (wanted-1)/2:
		c.problem = groupTooSmall
	}
	return c
}

// groupWatch logs problems of the group that last, and sets its metrics.
type groupWatch struct {
	wanted  int // voters
	logger  zerolog.Logger
	metrics *fleet.Metrics
	asked   func() []string // addresses at which the controller looks for its group

	hadLeader bool // a leader was known when the status was last read
	problem   groupProblem
	backoff   warnBackoff
}

// observe takes over the status at the time now.
func (w *groupWatch) observe(s replica.Status, now time.Time) {
	c := conditionOf(s, w.wanted)
	w.setMetrics(c, s)
	if w.hadLeader && s.Leader.ID == "" {
		describeGroup(w.logger.Info(), s).Msg("the leader is lost")
	}
	w.hadLeader = s.Leader.ID != ""
	if c.problem != w.problem {
		w.enter(c.problem, s, now)
	}
	if c.problem == groupHealthy || !w.backoff.due(now) {
		return
	}
	describeGroup(w.logger.Warn(), s).Int64("for_ms", now.Sub(w.backoff.since).Milliseconds()).Int("wanted_voters", w.wanted).
		Int("voters", c.voters).Int("live_voters", c.live).Strs("silent", c.silent).Strs("asked", w.asked()).Msg(string(c.problem))
}

// enter records another problem, or the end of one.
func (w *groupWatch) enter(problem groupProblem, s replica.Status, now time.Time) {
	if problem == groupHealthy && w.backoff.lines > 0 {
		describeGroup(w.logger.Info(), s).Str("problem", string(w.problem)).Msg("the problem of the controller group has ended")
	}
	w.problem, w.backoff = problem, warnBackoff{first: groupWarnAfter}
	w.backoff.begin(now)
}

// describeGroup adds to a line what the controller knows of its group: the membership in force, the log entry
// that holds it, and since when each other member has been silent.
func describeGroup(line *zerolog.Event, s replica.Status) *zerolog.Event {
	members := zerolog.Arr()
	for _, m := range s.Members {
		d := zerolog.Dict().Str("addr", m.Addr).Bool("voter", !m.Learner)
		if m.ID != s.ID {
			d = d.Int64("silent_ms", m.SinceMessage.Milliseconds())
		}
		members = members.Dict(d)
	}
	return line.Str("group", s.Group).Uint64("term", s.Term).Uint64("members_index", s.MembersIndex).
		Bool("members_pending", s.ChangePending).Uint64("commit", s.CommitIndex).Uint64("last", s.LastIndex).Array("members", members)
}

// setMetrics sets the gauges. Those of the whole group are 0 on a controller that does not lead.
func (w *groupWatch) setMetrics(c groupCondition, s replica.Status) {
	member, voters, live := 1, c.voters, c.live
	if c.problem == groupNotFound || c.problem == groupNotAdded {
		member = 0
	}
	if !c.leads {
		voters, live = 0, 0
	}
	leaderKnown := 0
	if member == 1 && s.Leader.ID != "" {
		leaderKnown = 1
	}
	w.metrics.SetGauge("group_member", member)
	w.metrics.SetGauge("group_leader_known", leaderKnown)
	w.metrics.SetGauge("group_voters", voters)
	w.metrics.SetGauge("group_live_voters", live)
	w.metrics.SetGauge("group_wanted_voters", w.wanted)
}

// watchGroup follows the status of the group until ctx is done.
func (n *controllerNode) watchGroup(ctx context.Context) {
	for ; ctx.Err() == nil; wait.For(ctx, groupWatchInterval) {
		status := n.log.Status()
		n.dir.setMembers(status)
		n.watch.observe(status, time.Now())
	}
}
