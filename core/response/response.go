// Package response decides what to do if batch tasks slow quick work beyond a bound: throttle
// the task that contributes most to the slowdown and, if that is not enough, checkpoint and
// evict the contributing task that loses the least work.
//
// Reports of a target's slowdown arrive late. After an action, the controller ignores
// evidence from before the action took effect, so that it does not act on the same slowdown
// twice.
package response

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/slowdown"
)

// ActionKind says what to do with a task.
type ActionKind string

// The kinds of action.
const (
	Throttle ActionKind = "throttle" // lower the throttle level of the task
	Raise    ActionKind = "raise"    // raise the throttle level of the task
	Evict    ActionKind = "evict"    // checkpoint and stop the task
)

// Action is one decision about one task.
type Action struct {
	Kind    ActionKind
	Attempt model.AttemptID
	Level   float64 // new throttle level of a Throttle or Raise, 0 to 1
	Reason  string
}

// Task is a batch task on the target.
type Task struct {
	Attempt       model.AttemptID
	Level         float64           // present throttle level, 0 to 1; 1 is full speed
	AddedSlowdown slowdown.Estimate // slowdown that the task adds at the present level
	LossMs        float64           // work lost if the task is evicted now, milliseconds
	Evicting      bool              // an eviction is in progress
	Urgent        bool              // urgent tasks are throttled but not evicted
}

// Evidence is the estimated slowdown of one target and the tasks that run there.
type Evidence struct {
	Target      model.TargetID
	Now         model.Millis
	ReportStart model.Millis      // start of the newest reported interval that the estimate includes
	Slowdown    slowdown.Estimate // of the most affected service at the present levels
	Tasks       []Task
}

// Config sets the policy of a Controller. Zero fields take the defaults.
type Config struct {
	Weights         model.Weights
	MaxSlowdown     float64      // bound on the slowdown of quick work; default 1.5
	ActionDelayMs   model.Millis // time until an action has taken effect; default 1 s
	EvictionDelayMs model.Millis // time until an eviction has taken effect; default 5 s
	EvictionRate    float64      // evictions per minute and 100 running tasks; default derived from Weights
}

// policy holds the thresholds and limits derived from the weights of a site.
type policy struct {
	throttleAbove      float64 // slowdown above which tasks are throttled or evicted
	raiseBelow         float64 // slowdown below which throttle levels are raised
	reportsBeforeEvict int     // reports with an excess that throttling cannot cover before an eviction
	minLevel           float64 // lowest throttle level
	evictionRate       float64 // evictions per minute and 100 running tasks
}

const (
	defaultMaxSlowdown     = 1.5
	defaultActionDelayMs   = model.Millis(1000)
	defaultEvictionDelayMs = model.Millis(5000)
	hysteresisFraction     = 0.15 // gap between throttleAbove and raiseBelow, as a fraction of the allowed slowdown
	reportsBeforeRaise     = 2    // consecutive reports below raiseBelow before a raise
	maxEvictionRate        = 2.0  // evictions per minute and 100 running tasks at a site with an eviction weight of zero
)

// newPolicy derives the policy from the weights. A greater weight of evictions leads to lower
// throttle levels, more reports before an eviction and a lower eviction rate.
func newPolicy(cfg Config) policy {
	w := cfg.Weights
	sum := w.TailLatency + w.Throughput + w.Evictions
	evictions := 1.0 / 3
	if sum > 0 {
		evictions = w.Evictions / sum
	}
	allowed := cfg.MaxSlowdown - 1
	return policy{
		throttleAbove:      cfg.MaxSlowdown,
		raiseBelow:         cfg.MaxSlowdown - hysteresisFraction*allowed,
		reportsBeforeEvict: 1 + int(math.Round(10*evictions)),
		minLevel:           math.Max(0.05, 0.3*(1-1.5*evictions)),
		evictionRate:       maxEvictionRate * (1 - evictions) * (1 - evictions),
	}
}

// targetState is the state that the controller keeps for one target.
type targetState struct {
	lastReportStart  model.Millis
	ignoreBefore     model.Millis // evidence that begins before this time is ignored
	reportsUncovered int          // reports with an excess that throttling cannot cover, since the last eviction or the last report within the bound
	reportsBelow     int
}

// Controller decides the responses of one pool of workers. It is not safe for concurrent use.
type Controller struct {
	cfg            Config
	policy         policy
	targets        map[model.TargetID]*targetState
	evictionTokens float64
	lastRefill     model.Millis
}

// New returns a controller without targets.
func New(cfg Config) *Controller {
	cfg.MaxSlowdown = cmp.Or(cfg.MaxSlowdown, defaultMaxSlowdown)
	cfg.ActionDelayMs = cmp.Or(cfg.ActionDelayMs, defaultActionDelayMs)
	cfg.EvictionDelayMs = cmp.Or(cfg.EvictionDelayMs, defaultEvictionDelayMs)
	c := &Controller{cfg: cfg, policy: newPolicy(cfg), targets: map[model.TargetID]*targetState{}}
	if cfg.EvictionRate > 0 {
		c.policy.evictionRate = cfg.EvictionRate
	}
	return c
}

// Forget drops the state of a target.
func (c *Controller) Forget(id model.TargetID) { delete(c.targets, id) }

// Refill adds tokens to the eviction budget. Call it about once a second with the number of
// running tasks. The budget holds at most the tokens of one minute, or one token if
// that is more.
func (c *Controller) Refill(now model.Millis, running int) {
	perMinute := c.policy.evictionRate * float64(running) / 100
	if c.lastRefill != 0 && now > c.lastRefill {
		c.evictionTokens += perMinute * float64(now-c.lastRefill) / 60_000
	}
	c.lastRefill = now
	c.evictionTokens = min(c.evictionTokens, max(perMinute, 1))
}

// Decide returns the actions for one target. Call it after new reports; evidence that is not
// newer than the previous one is ignored.
func (c *Controller) Decide(e Evidence) []Action {
	s := c.targets[e.Target]
	if s == nil {
		s = &targetState{lastReportStart: -1}
		c.targets[e.Target] = s
	}
	if e.ReportStart <= s.lastReportStart || e.ReportStart < s.ignoreBefore {
		return nil
	}
	s.lastReportStart = e.ReportStart
	switch {
	case e.Slowdown.Mean > c.policy.throttleAbove:
		s.reportsBelow = 0
		return c.reduceSlowdown(s, e)
	case e.Slowdown.Mean < c.policy.raiseBelow:
		s.reportsUncovered = 0
		s.reportsBelow++
		return c.raiseLevels(s, e)
	default:
		s.reportsUncovered, s.reportsBelow = 0, 0
		return nil
	}
}

// reduceSlowdown throttles tasks in descending order of added slowdown until the excess is
// covered, and evicts a task if throttles are not enough.
func (c *Controller) reduceSlowdown(s *targetState, e Evidence) []Action {
	excess := e.Slowdown.Mean - (c.policy.throttleAbove+c.policy.raiseBelow)/2
	var actions []Action
	for _, t := range byAddedSlowdown(e.Tasks) {
		if excess <= 0 {
			break
		}
		if t.Level <= c.policy.minLevel || t.AddedSlowdown.Mean <= 0 {
			continue
		}
		level := max(t.Level*(1-excess/t.AddedSlowdown.Mean), c.policy.minLevel)
		excess -= t.AddedSlowdown.Mean * (1 - level/t.Level)
		actions = append(actions, Action{
			Kind:    Throttle,
			Attempt: t.Attempt,
			Level:   level,
			Reason:  fmt.Sprintf("slowdown %.2f exceeds %.2f, of which it adds %.2f", e.Slowdown.Mean, c.policy.throttleAbove, t.AddedSlowdown.Mean),
		})
	}
	if len(actions) > 0 {
		s.ignoreBefore = e.Now + c.cfg.ActionDelayMs
	}
	if excess > 0 {
		return append(actions, c.evict(s, e, excess)...)
	}
	return actions
}

// evict chooses the task that loses the least work among those that add at least half of the
// excess, if throttling could not cover the excess of enough reports and the eviction budget allows
// it.
func (c *Controller) evict(s *targetState, e Evidence, excess float64) []Action {
	s.reportsUncovered++
	if s.reportsUncovered < c.policy.reportsBeforeEvict || c.evictionTokens < 1 {
		return nil
	}
	var best *Task
	for i := range e.Tasks {
		t := &e.Tasks[i]
		if t.Evicting {
			return nil // wait for the eviction in progress to take effect
		}
		if t.Urgent || t.AddedSlowdown.Mean < excess/2 {
			continue
		}
		if best == nil || t.LossMs < best.LossMs {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	c.evictionTokens--
	s.reportsUncovered = 0
	s.ignoreBefore = e.Now + c.cfg.EvictionDelayMs
	return []Action{{
		Kind:    Evict,
		Attempt: best.Attempt,
		Reason:  fmt.Sprintf("slowdown %.2f exceeds %.2f with every task throttled", e.Slowdown.Mean, c.policy.throttleAbove),
	}}
}

// raiseLevels raises the levels of throttled tasks in ascending order of added slowdown, until the
// expected slowdown is midway between the two thresholds.
func (c *Controller) raiseLevels(s *targetState, e Evidence) []Action {
	if s.reportsBelow < reportsBeforeRaise {
		return nil
	}
	headroom := (c.policy.throttleAbove+c.policy.raiseBelow)/2 - e.Slowdown.Mean
	var actions []Action
	tasks := byAddedSlowdown(e.Tasks)
	slices.Reverse(tasks)
	for _, t := range tasks {
		if t.Level >= 1 || t.Level <= 0 || headroom <= 0 {
			continue
		}
		perLevel := t.AddedSlowdown.Mean / t.Level
		level := 1.0
		if perLevel > 0 {
			level = min(1, t.Level+headroom/perLevel)
		}
		headroom -= perLevel * (level - t.Level)
		actions = append(actions, Action{Kind: Raise, Attempt: t.Attempt, Level: level, Reason: "slowdown is below the threshold for raises"})
	}
	if len(actions) > 0 {
		s.ignoreBefore = e.Now + c.cfg.ActionDelayMs
		s.reportsBelow = 0
	}
	return actions
}

func byAddedSlowdown(tasks []Task) []Task {
	out := slices.Clone(tasks)
	slices.SortStableFunc(out, func(a, b Task) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}
