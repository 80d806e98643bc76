package controller

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// syncView answers what changed for a gateway since the revision of its view.
func syncView(st *state.State, body syncmsg.Request) syncmsg.Response {
	gateway, ok := st.Gateways[body.Gateway]
	if !ok || gateway.Epoch != body.Epoch || gateway.Expired {
		return syncmsg.Response{}
	}
	response := syncmsg.Response{Known: true, Revision: st.Revision, Peers: peers(st)}
	if st.Config.Revision > body.Revision || body.Revision == 0 {
		config := st.Config.Clone()
		response.Config = &config
	}
	if st.OwnedChangedSince(body.Gateway, body.Revision) {
		response.Changes = changes(st, body)
	}
	return response
}

func peers(st *state.State) []syncmsg.Peer {
	var list []syncmsg.Peer
	for _, gateway := range st.LiveGateways() {
		list = append(list, syncmsg.Peer{
			ID:         gateway.ID,
			Zone:       gateway.Zone,
			PublicAddr: gateway.PublicAddr,
			PeerAddr:   gateway.PeerAddr,
			Draining:   gateway.Draining,
			FreeQuick:  map[model.PoolID]int32{},
		})
	}
	return list
}

func changes(st *state.State, body syncmsg.Request) *syncmsg.Changes {
	result := &syncmsg.Changes{}
	owned := map[model.TargetID]bool{}
	for _, target := range st.OwnedTargets(body.Gateway) {
		owned[target.ID] = true
		result.Owned = append(result.Owned, target.ID)
		if target.Changed > body.Revision {
			result.Targets = append(result.Targets, *target)
		}
	}
	for _, job := range st.OpenJobsOn(owned) {
		result.Open = append(result.Open, job.Open.ID)
		// A target that changed hands brings all its open attempts to the new owner.
		if job.Changed > body.Revision || st.Targets[job.Open.Target].Changed > body.Revision {
			result.Orders = append(result.Orders, order(job))
		}
	}
	return result
}

func order(job *state.Job) syncmsg.Order {
	return syncmsg.Order{
		Attempt:    *job.Open,
		Spec:       job.Spec,
		Checkpoint: job.Checkpoint,
		Cancelling: job.Cancelling,
	}
}
