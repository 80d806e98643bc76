// Package response decides what to do when batch work slows quick work too much: throttle
// the task most to blame, and if that does not suffice, checkpoint and evict the one that
// loses least.
//
// A target's slowdown is known late. After an action, the controller ignores evidence that
// covers time before the action took effect, so one cause leads to one action.
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
	Throttle ActionKind = "throttle" // lower the task's level
	Raise    ActionKind = "raise"    // give back what a throttle took
	Evict    ActionKind = "evict"    // checkpoint, then stop
)

// Action is one decision about one task.
type Action struct {
	Kind    ActionKind
	Attempt model.AttemptID
	Level   float64 // of a throttle or raise
	Reason  string
}

// Task is a batch task on the target.
type Task struct {
	Attempt       model.AttemptID
	Level         float64           // present throttle level, 0 to 1
	AddedSlowdown slowdown.Estimate // slowdown that it adds at the present level
	LossMs        float64           // work lost if it is evicted now, milliseconds
	Evicting      bool
	Urgent        bool // urgent tasks are throttled but not evicted
}

// Evidence is what is known about one target.
type Evidence struct {
	Target      model.TargetID
	Now         model.Millis
	ReportStart model.Millis      // start of the newest reported interval that the estimate includes
	Slowdown    slowdown.Estimate // of the worst-hit service at the present levels
	Tasks       []Task
}

// Config sets the policy. Zero fields take the defaults.
type Config struct {
	Weights      model.Weights
	MaxSlowdown  float64      // bound on the slowdown of quick work; default 1.5
	ActionMs     model.Millis // time until an action has taken effect; default 1 s
	EvictMs      model.Millis // time until an eviction has taken effect; default 5 s
	BudgetPerMin float64      // evictions per minute and 100 running tasks; default by the weights
}

// tuning is what the weights of a site turn into.
type tuning struct {
	high       float64 // slowdown above which the controller acts
	low        float64 // slowdown below which it gives back
	evictAfter int     // reports above the bound with nothing left to throttle before an eviction
	floor      float64 // lowest throttle level
	budget     float64 // evictions per minute and 100 running tasks
}

const (
	defaultMaxSlowdown = 1.5
	defaultActionMs    = model.Millis(1000)
	defaultEvictMs     = model.Millis(5000)
	hysteresis         = 0.15 // gap between the two bounds, as a part of the allowed slowdown
	raisePatience      = 2    // reports below the bound before a raise
	maxBudget          = 2.0  // evictions per minute and 100 tasks of a site without a weight for evictions
)

// tune maps the weights to the policy: a site that weighs evictions throttles deeper, waits
// longer before an eviction and has a smaller budget.
func tune(cfg Config) tuning {
	w := cfg.Weights
	sum := w.TailLatency + w.Throughput + w.Evictions
	evictions := 1.0 / 3
	if sum > 0 {
		evictions = w.Evictions / sum
	}
	allowed := cfg.MaxSlowdown - 1
	return tuning{
		high:       cfg.MaxSlowdown,
		low:        cfg.MaxSlowdown - hysteresis*allowed,
		evictAfter: 1 + int(math.Round(10*evictions)),
		floor:      math.Max(0.05, 0.3*(1-1.5*evictions)),
		budget:     maxBudget * (1 - evictions) * (1 - evictions),
	}
}

// targetState is the memory of the controller about one target.
type targetState struct {
	lastFrom  model.Millis
	effective model.Millis // evidence from before this time is ignored
	stuck     int          // reports above the bound while nothing is left to throttle
	below     int
}

// Controller decides the responses of one pool of workers. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	tuning  tuning
	targets map[model.TargetID]*targetState
	tokens  float64
	filled  model.Millis
}

// New returns a controller.
func New(cfg Config) *Controller {
	cfg.MaxSlowdown = cmp.Or(cfg.MaxSlowdown, defaultMaxSlowdown)
	cfg.ActionMs = cmp.Or(cfg.ActionMs, defaultActionMs)
	cfg.EvictMs = cmp.Or(cfg.EvictMs, defaultEvictMs)
	c := &Controller{cfg: cfg, tuning: tune(cfg), targets: map[model.TargetID]*targetState{}}
	if cfg.BudgetPerMin > 0 {
		c.tuning.budget = cfg.BudgetPerMin
	}
	return c
}

// Forget drops what is known about a target.
func (c *Controller) Forget(id model.TargetID) { delete(c.targets, id) }

// Refill adds to the eviction budget; call it about once a second with the number of
// running tasks. At most one minute's budget, and at least one eviction, is saved up.
func (c *Controller) Refill(now model.Millis, running int) {
	perMinute := c.tuning.budget * float64(running) / 100
	if c.filled != 0 && now > c.filled {
		c.tokens += perMinute * float64(now-c.filled) / 60_000
	}
	c.filled = now
	c.tokens = min(c.tokens, max(perMinute, 1))
}

// Decide returns the actions for one target. Call it when new evidence is there; repeated
// evidence changes nothing.
func (c *Controller) Decide(e Evidence) []Action {
	s := c.targets[e.Target]
	if s == nil {
		s = &targetState{lastFrom: -1}
		c.targets[e.Target] = s
	}
	if e.ReportStart <= s.lastFrom || e.ReportStart < s.effective {
		return nil
	}
	s.lastFrom = e.ReportStart
	switch {
	case e.Slowdown.Mean > c.tuning.high:
		s.below = 0
		return c.relieve(s, e)
	case e.Slowdown.Mean < c.tuning.low:
		s.stuck = 0
		s.below++
		return c.giveBack(s, e)
	default:
		s.stuck, s.below = 0, 0
		return nil
	}
}

// relieve throttles from the most to the least to blame until the excess is covered.
func (c *Controller) relieve(s *targetState, e Evidence) []Action {
	excess := e.Slowdown.Mean - (c.tuning.high+c.tuning.low)/2
	var actions []Action
	for _, t := range byBlame(e.Tasks) {
		if excess <= 0 {
			break
		}
		if t.Level <= c.tuning.floor || t.AddedSlowdown.Mean <= 0 {
			continue
		}
		level := max(t.Level*(1-excess/t.AddedSlowdown.Mean), c.tuning.floor)
		excess -= t.AddedSlowdown.Mean * (1 - level/t.Level)
		actions = append(actions, Action{
			Kind:    Throttle,
			Attempt: t.Attempt,
			Level:   level,
			Reason:  fmt.Sprintf("slowdown %.2f exceeds %.2f, of which it adds %.2f", e.Slowdown.Mean, c.tuning.high, t.AddedSlowdown.Mean),
		})
	}
	if len(actions) > 0 {
		s.effective = e.Now + c.cfg.ActionMs
	}
	if excess > 0 {
		return append(actions, c.evict(s, e, excess)...)
	}
	return actions
}

// evict chooses the task that loses least among those that cover most of the excess.
func (c *Controller) evict(s *targetState, e Evidence, excess float64) []Action {
	s.stuck++
	if s.stuck < c.tuning.evictAfter || c.tokens < 1 {
		return nil
	}
	var best *Task
	for i := range e.Tasks {
		t := &e.Tasks[i]
		if t.Evicting {
			return nil // its stop relieves the target; wait for it
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
	c.tokens--
	s.stuck = 0
	s.effective = e.Now + c.cfg.EvictMs
	return []Action{{
		Kind:    Evict,
		Attempt: best.Attempt,
		Reason:  fmt.Sprintf("slowdown %.2f exceeds %.2f with every task throttled", e.Slowdown.Mean, c.tuning.high),
	}}
}

// giveBack raises the throttled tasks, those that add least first, as far as the bound allows.
func (c *Controller) giveBack(s *targetState, e Evidence) []Action {
	if s.below < raisePatience {
		return nil
	}
	room := (c.tuning.high+c.tuning.low)/2 - e.Slowdown.Mean
	var actions []Action
	tasks := byBlame(e.Tasks)
	slices.Reverse(tasks)
	for _, t := range tasks {
		if t.Level >= 1 || t.Level <= 0 || room <= 0 {
			continue
		}
		perLevel := t.AddedSlowdown.Mean / t.Level
		level := 1.0
		if perLevel > 0 {
			level = min(1, t.Level+room/perLevel)
		}
		room -= perLevel * (level - t.Level)
		actions = append(actions, Action{Kind: Raise, Attempt: t.Attempt, Level: level, Reason: "the slowdown allows it"})
	}
	if len(actions) > 0 {
		s.effective = e.Now + c.cfg.ActionMs
		s.below = 0
	}
	return actions
}

func byBlame(tasks []Task) []Task {
	out := slices.Clone(tasks)
	slices.SortStableFunc(out, func(a, b Task) int { return cmp.Compare(b.AddedSlowdown.Mean, a.AddedSlowdown.Mean) })
	return out
}
