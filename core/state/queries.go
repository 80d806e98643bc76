package state

import (
	"cmp"
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
)

// OwnedTargets returns the targets of a gateway in order of their ids.
func (s *State) OwnedTargets(gateway model.GatewayID) []*Target {
	var owned []*Target
	for _, id := range sortedKeys(s.Targets) {
		if s.Targets[id].Owner == gateway {
			owned = append(owned, s.Targets[id])
		}
	}
	return owned
}

// OpenJobsOn returns the jobs that have an open attempt on one of the targets.
func (s *State) OpenJobsOn(targets map[model.TargetID]bool) []*Job {
	var open []*Job
	for _, id := range sortedKeys(s.Jobs) {
		job := s.Jobs[id]
		if job.Open != nil && targets[job.Open.Target] {
			open = append(open, job)
		}
	}
	return open
}

// QueuedJobs returns the queued jobs, urgent ones first, then by the time they were queued.
func (s *State) QueuedJobs() []*Job {
	var queued []*Job
	for _, id := range sortedKeys(s.Jobs) {
		if s.Jobs[id].Phase == JobQueued {
			queued = append(queued, s.Jobs[id])
		}
	}
	slices.SortStableFunc(queued, compareQueued)
	return queued
}

func compareQueued(a, b *Job) int {
	if a.Spec.Urgent != b.Spec.Urgent {
		if a.Spec.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.QueuedAt, b.QueuedAt)
}

// LiveGateways returns the gateways whose session is not over, in order of their ids.
func (s *State) LiveGateways() []*Gateway {
	var live []*Gateway
	for _, id := range sortedKeys(s.Gateways) {
		if !s.Gateways[id].Expired {
			live = append(live, s.Gateways[id])
		}
	}
	return live
}

// OwnedChangedSince reports whether the targets of a gateway, or the attempts on them, have
// changed after the revision.
func (s *State) OwnedChangedSince(gateway model.GatewayID, revision model.Revision) bool {
	return revision == 0 || s.ownedChanged[gateway] > revision
}

// HasNews reports whether a gateway with a view of the given revision must be told of a change.
func (s *State) HasNews(gateway model.GatewayID, revision model.Revision) bool {
	return s.Config.Revision > revision || s.OwnedChangedSince(gateway, revision)
}

// Clone returns a copy that shares nothing with c.
func (c Config) Clone() Config {
	return Config{
		Revision: c.Revision,
		Services: maps.Clone(c.Services),
		Pools:    maps.Clone(c.Pools),
		Tenants:  maps.Clone(c.Tenants),
	}
}

// AllTargets returns every known target in order of their ids.
func (s *State) AllTargets() []*Target {
	all := make([]*Target, 0, len(s.Targets))
	for _, id := range sortedKeys(s.Targets) {
		all = append(all, s.Targets[id])
	}
	return all
}
