// Package scheduler places queued jobs on targets. It runs on the leader: it plans against a
// snapshot and proposes each placement; applying the proposal checks it again.
package scheduler

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
	"samphirepaddle.example/daemon/replica"
)

// planEvery is the longest time between two plans.
const planEvery = 100 * time.Millisecond

// Summaries answers the free capacity that the owners reported.
type Summaries interface {
	Summaries() map[model.TargetID]syncmsg.TargetSummary
}

// Scheduler plans batch work.
type Scheduler struct {
	log       replica.Log
	summaries Summaries
	logger    zerolog.Logger
}

// New returns a scheduler.
func New(log replica.Log, summaries Summaries, logger zerolog.Logger) *Scheduler {
	return &Scheduler{log: log, summaries: summaries, logger: logger}
}

// Run plans while this controller is the leader, until ctx is done.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.log.Leader().Self {
				s.plan(ctx)
			}
		}
	}
}

func (s *Scheduler) plan(ctx context.Context) {
	free := s.summaries.Summaries()
	var commands []state.AssignAttempt
	s.log.View(func(st *state.State) { commands = firstFit(st, free) })
	for i := range commands {
		command := state.Command{At: model.Millis(time.Now().UnixMilli()), AssignAttempt: &commands[i]}
		result, err := s.log.Propose(ctx, command)
		if err != nil {
			return
		}
		if !result.OK() {
			s.logger.Debug().Str("reason", result.Message).Msg("placement refused")
		}
	}
}

// firstFit places each queued job on the first target that has room.
func firstFit(st *state.State, free map[model.TargetID]syncmsg.TargetSummary) []state.AssignAttempt {
	var plan []state.AssignAttempt
	for _, job := range st.QueuedJobs() {
		for _, target := range st.AllTargets() {
			summary, ok := free[target.ID]
			if !ok || !summary.Open || summary.Epoch != target.Epoch || target.Pool != job.Spec.Pool {
				continue
			}
			if target.Quarantined != "" || !job.Spec.Declared.Fits(summary.FreeBatch) {
				continue
			}
			summary.FreeBatch = summary.FreeBatch.Sub(job.Spec.Declared)
			free[target.ID] = summary
			plan = append(plan, state.AssignAttempt{
				Attempt:  model.AttemptID{Job: job.Spec.ID, Number: job.Attempts + 1},
				Target:   target.ID,
				Epoch:    target.Epoch,
				Reserved: job.Spec.Declared,
			})
			break
		}
	}
	return plan
}
