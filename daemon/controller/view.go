package controller

import (
	"cmp"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// syncView returns what has changed for a gateway since the revision of its view. The caller adds
// the peers.
func syncView(st *state.State, body syncmsg.Request) syncmsg.Response {
	gateway, ok := st.Gateways[body.Gateway]
	if !ok || gateway.Epoch != body.Epoch || gateway.Expired {
		return syncmsg.Response{}
	}
	response := syncmsg.Response{SessionKnown: true, Revision: st.Revision}
	addConfig(st, body, &response)
	if st.OwnedTargetsChangedSince(body.Gateway, body.Revision) {
		response.Changes = ownershipChanges(st, body)
	}
	return response
}

// addConfig adds the configuration, or only the changes since body.Revision for a client that
// merges them into its view.
func addConfig(st *state.State, body syncmsg.Request, response *syncmsg.Response) {
	if body.Revision > 0 && st.Config.Revision <= body.Revision {
		return
	}
	if body.Partial {
		if delta, ok := st.ConfigSince(body.Revision); ok {
			response.ConfigDelta = &delta
			return
		}
	}
	config := st.Config.Clone()
	response.Config = &config
}

func livePeers(st *state.State) []syncmsg.Peer {
	var list []syncmsg.Peer
	for _, gateway := range st.LiveGateways() {
		list = append(list, syncmsg.Peer{
			ID:         gateway.ID,
			Zone:       gateway.Zone,
			PublicAddr: gateway.PublicAddr,
			PeerAddr:   gateway.PeerAddr,
			Draining:   gateway.Draining,
		})
	}
	return list
}

// ownershipChanges returns the changes to the gateway's targets and their open attempts. A client
// that keeps its view gets only what has changed since body.Revision; other clients, and those
// too far behind, get the full lists.
func ownershipChanges(st *state.State, body syncmsg.Request) *syncmsg.Changes {
	result := &syncmsg.Changes{}
	closed, known := st.ClosedAttemptsSince(body.Gateway, body.Revision)
	result.Partial = body.Partial && known && body.Revision > 0
	result.Closed = closed
	if !result.Partial {
		result.Closed = nil
	}
	since := body.Revision
	if result.Partial && !st.OwnedSetChangedSince(body.Gateway, since) {
		if recent, ok := st.ChangesSince(since); ok {
			result.SameOwned = true
			addRecentChanges(st, body.Gateway, recent, result)
			return result
		}
	}
	for _, target := range st.OwnedTargets(body.Gateway) {
		result.OwnedTargets = append(result.OwnedTargets, target.ID)
		if target.ChangedRevision > since {
			result.Targets = append(result.Targets, *target)
		}
		addOrders(result, st.OpenJobsOn(target.ID), target.AssignedRevision > since, since)
	}
	return result
}

// addRecentChanges adds the changed targets and attempts of a gateway that still owns the same
// targets.
func addRecentChanges(st *state.State, gateway model.GatewayID, recent state.Changes, result *syncmsg.Changes) {
	for _, id := range sortUnique(recent.Targets) {
		if target, ok := st.Targets[id]; ok && target.Owner == gateway {
			result.Targets = append(result.Targets, *target)
		}
	}
	for _, id := range sortUnique(recent.Jobs) {
		job, ok := st.Jobs[id]
		if !ok || job.OpenAttempt == nil {
			continue
		}
		if target, ok := st.Targets[job.OpenAttempt.Target]; ok && target.Owner == gateway {
			result.Orders = append(result.Orders, newOrder(job))
		}
	}
}

// sortUnique sorts ids in place and removes duplicates.
func sortUnique[T cmp.Ordered](ids []T) []T {
	slices.Sort(ids)
	return slices.Compact(ids)
}

// addOrders adds the open attempts of one target that have changed since a revision. With all
// set, after a change of owner, it adds all open attempts.
func addOrders(result *syncmsg.Changes, jobs []*state.Job, all bool, since model.Revision) {
	for _, job := range jobs {
		if !result.Partial {
			result.OpenAttempts = append(result.OpenAttempts, job.OpenAttempt.ID)
		}
		if all || job.ChangedRevision > since {
			result.Orders = append(result.Orders, newOrder(job))
		}
	}
}

func newOrder(job *state.Job) syncmsg.Order {
	return syncmsg.Order{
		Attempt:    *job.OpenAttempt,
		Spec:       job.Spec,
		Checkpoint: job.Checkpoint,
		Cancelling: job.Cancelling,
	}
}
