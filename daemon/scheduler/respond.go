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

// refillInterval is the time between two refills of the eviction budgets.
const refillInterval = model.Millis(1000)

// responder turns the targets' usage reports into throttles and evictions. The levels are not
// replicated: after a change of leader every task runs at full speed until new reports lead to
// a throttle.
type responder struct {
	model  *slowdown.Model
	pools  map[model.PoolID]*poolResponse
	level  map[model.AttemptID]float64        // of the throttled attempts
	target map[model.AttemptID]model.TargetID // on which they run
}

// poolResponse is the response controller of one pool and the weights with which it was created.
type poolResponse struct {
	weights    model.Weights
	controller *response.Controller
}

// worstService is the service with the largest slowdown on a target in the reports of one plan.
type worstService struct {
	service     model.ServiceID
	load        float64
	reportStart model.Millis // latest start of the target's reports in the plan
	estimate    slowdown.Estimate
}

func newResponder() *responder {
	return &responder{
		model:  slowdown.New(slowdown.Config{}),
		pools:  map[model.PoolID]*poolResponse{},
		level:  map[model.AttemptID]float64{},
		target: map[model.AttemptID]model.TargetID{},
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
	delete(r.target, id)
}

// pool returns the response controller of a pool. A change of the weights creates a new one.
func (r *responder) pool(config state.Config, id model.PoolID) *response.Controller {
	weights := config.Pools[id].Weights
	known := r.pools[id]
	if known == nil || known.weights != weights {
		known = &poolResponse{weights, response.New(response.Config{Weights: weights})}
		r.pools[id] = known
	}
	return known.controller
}

// levelsByOwner lists the throttled attempts by the gateway that owns their target.
func (r *responder) levelsByOwner(st *state.State) map[model.GatewayID][]syncmsg.Throttle {
	levels := map[model.GatewayID][]syncmsg.Throttle{}
	for id, level := range r.level {
		if target, ok := st.Targets[r.target[id]]; ok && target.Owner != "" {
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

// respond feeds the usage reports to the models, and returns the evictions for the targets that
// the reports are about.
func (p *planner) respond(st *state.State, usage []syncmsg.TargetUsage, now model.Millis) []state.Command {
	worst := map[model.TargetID]*worstService{}
	var reported []model.TargetID
	for _, u := range usage {
		target, ok := st.Targets[u.Target]
		if !ok {
			continue
		}
		if u.Report.Service == "" {
			p.learnSize(st, u.Report, target.Capacity)
			continue
		}
		if worst[u.Target] == nil {
			reported = append(reported, u.Target)
		}
		worst[u.Target] = p.responder.observe(u, worst[u.Target], now)
	}
	if now-p.refilledAt >= refillInterval {
		p.refilledAt = now
		for _, pool := range sortedPools(st.Config) {
			p.responder.pool(st.Config, pool).Refill(now, p.runningIn(pool))
		}
	}
	var commands []state.Command
	for _, id := range reported {
		if worst[id] != nil {
			p.placer.SetLoads(id, []placement.QuickLoad{{Service: worst[id].service, Load: worst[id].load}})
			commands = append(commands, p.respondOn(st, st.Targets[id], worst[id], now)...)
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

func (p *planner) runningIn(pool model.PoolID) int {
	count := 0
	for _, attempt := range p.tracked {
		if known := p.targets[attempt.target]; known != nil && known.state.Pool == pool {
			count++
		}
	}
	return count
}

func (p *planner) learnSize(st *state.State, report model.UsageReport, capacity model.Resources) {
	if job, ok := st.Jobs[report.Attempt.Job]; ok {
		p.sizes.ObserveUsage(job.Spec.Kind, report.Used, capacity)
	}
}

// observe feeds a report about quick work to the model. It returns the service with the largest
// predicted slowdown among the given one and that of the report.
func (r *responder) observe(u syncmsg.TargetUsage, worst *worstService, now model.Millis) *worstService {
	seen := r.model.Observe(u.Target, u.Report, now)
	if seen.Reason != slowdown.ReasonUsed {
		return worst
	}
	estimate := r.model.Predict(u.Target, u.Report.Service, seen.Load)
	if worst != nil && worst.estimate.Mean >= estimate.Mean {
		worst.reportStart = max(worst.reportStart, u.Report.FromMs)
		return worst
	}
	next := &worstService{u.Report.Service, seen.Load, u.Report.FromMs, estimate}
	if worst != nil {
		next.reportStart = max(next.reportStart, worst.reportStart)
	}
	return next
}

// respondOn passes the evidence about one target to the response controller of its pool.
// Throttles go to the owner with its next session renewal; evictions are committed.
func (p *planner) respondOn(st *state.State, target *state.Target, worst *worstService, now model.Millis) []state.Command {
	evidence := response.Evidence{Target: target.ID, Now: now, ReportStart: worst.reportStart, Slowdown: worst.estimate}
	for _, contribution := range p.responder.model.Contributions(target.ID, worst.service, worst.load) {
		job, ok := st.Jobs[contribution.Attempt.Job]
		if !ok || job.OpenAttempt == nil || job.OpenAttempt.ID != contribution.Attempt {
			continue
		}
		evidence.Tasks = append(evidence.Tasks, response.Task{
			Attempt:       contribution.Attempt,
			Level:         contribution.Level,
			AddedSlowdown: contribution.AddedSlowdown,
			LossMs:        placement.EvictionLoss(now-job.OpenAttempt.AssignedAt, 0, false),
			Evicting:      job.OpenAttempt.EvictionReason != "" || job.Cancelling,
			Urgent:        job.Spec.Urgent,
		})
	}
	var commands []state.Command
	for _, action := range p.responder.pool(st.Config, target.Pool).Decide(evidence) {
		if action.Kind == response.Evict {
			commands = append(commands, state.Command{EvictAttempt: &state.EvictAttempt{Attempt: action.Attempt, Reason: action.Reason}})
			continue
		}
		p.responder.setLevel(target.ID, action.Attempt, action.Level, now)
	}
	return commands
}

func (r *responder) setLevel(target model.TargetID, id model.AttemptID, level float64, now model.Millis) {
	r.model.TaskThrottled(target, id, level, now)
	if level >= 1 {
		delete(r.level, id)
		delete(r.target, id)
		return
	}
	r.level[id] = level
	r.target[id] = target
}
