package scheduler

import (
	"slices"
	"strings"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/placement"
	"samphirepaddle.example/core/response"
	"samphirepaddle.example/core/slowdown"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// refillEvery is the time between two refills of the eviction budgets.
const refillEvery = model.Millis(1000)

// responder turns the targets' reports into throttles and evictions. The levels are soft
// state: after a change of leader every task runs at full speed until the reports say otherwise.
type responder struct {
	model *slowdown.Model
	pools map[model.PoolID]*poolResponse
	level map[model.AttemptID]float64 // of the throttled attempts
	owner map[model.AttemptID]model.TargetID
}

// poolResponse is the response of one pool; its weights are those of the site.
type poolResponse struct {
	weights    model.Weights
	controller *response.Controller
}

// worst is the worst-hit service of a target in the reports of one plan.
type worst struct {
	service  model.ServiceID
	load     float64
	from     model.Millis
	estimate slowdown.Estimate
}

func newResponder() *responder {
	return &responder{
		model: slowdown.New(slowdown.Config{}),
		pools: map[model.PoolID]*poolResponse{},
		level: map[model.AttemptID]float64{},
		owner: map[model.AttemptID]model.TargetID{},
	}
}

func (r *responder) setTarget(target *state.Target) {
	r.model.SetTarget(target.ID, target.Capacity.Slots)
}

func (r *responder) forget(id model.TargetID) {
	r.model.RemoveTarget(id)
	for _, pool := range r.pools {
		pool.controller.Forget(id)
	}
}

func (r *responder) started(open *state.Attempt, kind string) {
	r.model.TaskStarted(open.Target, open.ID, kind, open.AssignedAt)
}

func (r *responder) stopped(target model.TargetID, id model.AttemptID, now model.Millis) {
	r.model.TaskStopped(target, id, now)
	delete(r.level, id)
	delete(r.owner, id)
}

// pool returns the response of a pool. New weights start a new one.
func (r *responder) pool(config state.Config, id model.PoolID) *response.Controller {
	weights := config.Pools[id].Weights
	known := r.pools[id]
	if known == nil || known.weights != weights {
		known = &poolResponse{weights, response.New(response.Config{Weights: weights})}
		r.pools[id] = known
	}
	return known.controller
}

// levelsByOwner lists the throttled attempts by the gateway that has to carry them out.
func (r *responder) levelsByOwner(st *state.State) map[model.GatewayID][]syncmsg.Throttle {
	levels := map[model.GatewayID][]syncmsg.Throttle{}
	for id, level := range r.level {
		if target, ok := st.Targets[r.owner[id]]; ok && target.Owner != "" {
			levels[target.Owner] = append(levels[target.Owner], syncmsg.Throttle{Attempt: id, Level: level})
		}
	}
	for _, list := range levels {
		slices.SortFunc(list, func(a, b syncmsg.Throttle) int {
			return strings.Compare(a.Attempt.String(), b.Attempt.String())
		})
	}
	return levels
}

// respond learns from the reports and decides on the targets that they are about.
func (p *picture) respond(st *state.State, usage []syncmsg.TargetUsage, now model.Millis) []state.Command {
	hit := map[model.TargetID]*worst{}
	var order []model.TargetID
	for _, u := range usage {
		target, ok := st.Targets[u.Target]
		if !ok {
			continue
		}
		if u.Report.Service == "" {
			p.learnSize(st, u.Report, target.Capacity)
			continue
		}
		if hit[u.Target] == nil {
			order = append(order, u.Target)
		}
		hit[u.Target] = p.response.observe(u, hit[u.Target], now)
	}
	if now-p.refilled >= refillEvery {
		p.refilled = now
		for _, pool := range sortedPools(st.Config) {
			p.response.pool(st.Config, pool).Refill(now, p.runningIn(pool))
		}
	}
	var commands []state.Command
	for _, id := range order {
		if hit[id] != nil {
			p.placer.SetLoads(id, []placement.QuickLoad{{Service: hit[id].service, Load: hit[id].load}})
			commands = append(commands, p.decideOn(st, st.Targets[id], hit[id], now)...)
		}
	}
	return commands
}

func sortedPools(config state.Config) []model.PoolID {
	var ids []model.PoolID
	for id := range config.Pools {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *picture) runningIn(pool model.PoolID) int {
	count := 0
	for _, held := range p.tracked {
		if known := p.known[held.target]; known != nil && known.state.Pool == pool {
			count++
		}
	}
	return count
}

func (p *picture) learnSize(st *state.State, report model.UsageReport, capacity model.Resources) {
	if job, ok := st.Jobs[report.Attempt.Job]; ok {
		p.sizes.ObserveUsage(job.Spec.Kind, report.Used, capacity)
	}
}

// observe learns from a report of quick work and keeps the worst-hit service of the target.
func (r *responder) observe(u syncmsg.TargetUsage, before *worst, now model.Millis) *worst {
	seen := r.model.Observe(u.Target, u.Report, now)
	if seen.Reason != slowdown.ReasonUsed {
		return before
	}
	estimate := r.model.Predict(u.Target, u.Report.Service, seen.Load)
	if before != nil && before.estimate.Mean >= estimate.Mean {
		before.from = max(before.from, u.Report.FromMs)
		return before
	}
	next := &worst{u.Report.Service, seen.Load, u.Report.FromMs, estimate}
	if before != nil {
		next.from = max(next.from, before.from)
	}
	return next
}

// decideOn carries the evidence about one target to the pool's response. Throttles go to the
// owner with its next renewal; evictions are committed.
func (p *picture) decideOn(st *state.State, target *state.Target, hit *worst, now model.Millis) []state.Command {
	evidence := response.Evidence{Target: target.ID, Now: now, ReportStart: hit.from, Slowdown: hit.estimate}
	for _, blame := range p.response.model.Contributions(target.ID, hit.service, hit.load) {
		job, ok := st.Jobs[blame.Attempt.Job]
		if !ok || job.OpenAttempt == nil || job.OpenAttempt.ID != blame.Attempt {
			continue
		}
		evidence.Tasks = append(evidence.Tasks, response.Task{
			Attempt:       blame.Attempt,
			Level:         blame.Level,
			AddedSlowdown: blame.AddedSlowdown,
			LossMs:        placement.EvictionLoss(now-job.OpenAttempt.AssignedAt, 0, false),
			Evicting:      job.OpenAttempt.EvictionReason != "" || job.Cancelling,
			Urgent:        job.Spec.Urgent,
		})
	}
	var commands []state.Command
	for _, action := range p.response.pool(st.Config, target.Pool).Decide(evidence) {
		if action.Kind == response.Evict {
			commands = append(commands, state.Command{EvictAttempt: &state.EvictAttempt{Attempt: action.Attempt, Reason: action.Reason}})
			continue
		}
		p.response.setLevel(target.ID, action.Attempt, action.Level, now)
	}
	return commands
}

func (r *responder) setLevel(target model.TargetID, id model.AttemptID, level float64, now model.Millis) {
	r.model.TaskThrottled(target, id, level, now)
	if level >= 1 {
		delete(r.level, id)
		delete(r.owner, id)
		return
	}
	r.level[id] = level
	r.owner[id] = target
}
