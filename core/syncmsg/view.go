package syncmsg

import (
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// View holds the merged content of the leader's responses and completes partial responses, so
// that callers handle only full ones. It is not safe for concurrent use.
type View struct {
	epoch          model.Epoch
	revision       model.Revision
	responseNumber uint64
	config         state.Config
	peers          map[model.GatewayID]Peer
	owned          []model.TargetID
	open           map[model.AttemptID]model.TargetID // target of each open attempt, empty if unknown
}

// Prepare sets the request to ask for a partial response if its epoch and revision are those of
// the view.
func (v *View) Prepare(request *Request) {
	request.Partial = v.responseNumber > 0 && request.Revision > 0 &&
		request.Epoch == v.epoch && request.Revision == v.revision
	request.Ack = 0
	if request.Partial {
		request.Ack = v.responseNumber
	}
}

// Merge completes the response to a request and updates the view from it.
func (v *View) Merge(request Request, response *Response) {
	if !response.SessionKnown {
		*v = View{}
		return
	}
	if !request.Partial {
		*v = View{}
	}
	v.mergeConfig(response)
	v.mergePeers(response)
	v.mergeChanges(response.Changes)
	v.epoch = request.Epoch
	v.revision = response.Revision
	v.responseNumber = response.Number
}

func (v *View) mergeConfig(response *Response) {
	if response.ConfigDelta != nil {
		config := v.config.WithDelta(*response.ConfigDelta)
		response.Config = &config
		response.ConfigDelta = nil
	}
	if response.Config != nil {
		v.config = *response.Config
	}
}

func (v *View) mergePeers(response *Response) {
	if !response.PeersPartial || v.peers == nil {
		v.peers = map[model.GatewayID]Peer{}
	}
	for _, peer := range response.Peers {
		v.peers[peer.ID] = peer
	}
	for _, id := range response.PeersGone {
		delete(v.peers, id)
	}
	response.Peers = make([]Peer, 0, len(v.peers))
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		response.Peers = append(response.Peers, v.peers[id])
	}
	response.PeersPartial = false
	response.PeersGone = nil
}

func (v *View) mergeChanges(changes *Changes) {
	if changes == nil {
		return
	}
	if changes.SameOwned {
		changes.OwnedTargets = slices.Clone(v.owned)
	}
	v.owned = changes.OwnedTargets
	before := v.open
	if !changes.Partial || before == nil {
		v.open = make(map[model.AttemptID]model.TargetID, len(changes.OpenAttempts))
	}
	for _, id := range changes.OpenAttempts {
		v.open[id] = before[id]
	}
	for _, id := range changes.Closed {
		delete(v.open, id)
	}
	for _, order := range changes.Orders {
		v.open[order.Attempt.ID] = order.Attempt.Target
	}
	v.dropUnowned()
	changes.OpenAttempts = make([]model.AttemptID, 0, len(v.open))
	for id := range v.open {
		changes.OpenAttempts = append(changes.OpenAttempts, id)
	}
	changes.Partial, changes.SameOwned, changes.Closed = false, false, nil
}

// dropUnowned removes the attempts on targets that the gateway no longer owns.
func (v *View) dropUnowned() {
	owned := make(map[model.TargetID]bool, len(v.owned))
	for _, id := range v.owned {
		owned[id] = true
	}
	for id, target := range v.open {
		if target != "" && !owned[target] {
			delete(v.open, id)
		}
	}
}
