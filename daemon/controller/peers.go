package controller

import (
	"reflect"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

// sentPeers is the list of peers of one answer. The next answer names the differences only,
// if the request acknowledges that answer.
type sentPeers struct {
	number uint64
	peers  map[model.GatewayID]syncmsg.Peer
}

// addPeers adds the free quick slots that the peers reported, and drops from the answer what
// the client holds already. The caller holds t.mu.
func (t *sessions) addPeers(s *session, body syncmsg.Request, response *syncmsg.Response) {
	now := make(map[model.GatewayID]syncmsg.Peer, len(response.Peers))
	for i := range response.Peers {
		peer := &response.Peers[i]
		if other, ok := t.byID[peer.ID]; ok {
			peer.FreeQuick = other.freeQuick
		}
		now[peer.ID] = *peer
	}
	if body.Partial && body.Ack == s.sent.number && s.sent.peers != nil {
		keepChanged(s.sent.peers, now, response)
	}
	s.sent = sentPeers{response.Number, now}
}

func keepChanged(before, now map[model.GatewayID]syncmsg.Peer, response *syncmsg.Response) {
	var changed []syncmsg.Peer
	for _, peer := range response.Peers {
		if old, ok := before[peer.ID]; !ok || !reflect.DeepEqual(old, peer) {
			changed = append(changed, peer)
		}
	}
	for id := range before {
		if _, ok := now[id]; !ok {
			response.PeersGone = append(response.PeersGone, id)
		}
	}
	response.Peers = changed
	response.PeersPartial = true
}
