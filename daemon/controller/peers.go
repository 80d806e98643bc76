package controller

import (
	"maps"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// peerList is the peers of one answer and what they were read from.
type peerList struct {
	same     bool // the client holds them already; the list is empty
	gateways model.Revision
	free     uint64
	peers    []syncmsg.Peer
}

// sentPeers is the list of peers of one answer. The next answer names the differences only,
// if the request acknowledges that answer.
type sentPeers struct {
	number   uint64
	gateways model.Revision
	free     uint64
	peers    map[model.GatewayID]syncmsg.Peer
}

// peersFor lists the peers unless nothing about them has changed since the answer that the
// request acknowledges. It is called with the state locked.
func (t *sessions) peersFor(st *state.State, body syncmsg.Request) peerList {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := peerList{gateways: st.GatewaysChanged(), free: t.freeVersion}
	if s, ok := t.byID[body.Gateway]; ok && s.acknowledges(body) {
		list.same = s.sent.gateways == list.gateways && s.sent.free == list.free
	}
	if !list.same {
		list.peers = peers(st)
	}
	return list
}

// acknowledges reports whether the client holds the peers of the last answer.
func (s *session) acknowledges(body syncmsg.Request) bool {
	return s.epoch == body.Epoch && body.Partial && s.sent.peers != nil && body.Ack == s.sent.number
}

// addPeers adds the peers with the free quick slots that they reported, or what changed of
// them. The caller holds t.mu.
func (t *sessions) addPeers(s *session, body syncmsg.Request, list peerList, response *syncmsg.Response) {
	if list.same {
		response.PeersPartial = true
		s.sent.number = response.Number
		return
	}
	now := make(map[model.GatewayID]syncmsg.Peer, len(list.peers))
	for _, peer := range list.peers {
		if other, ok := t.byID[peer.ID]; ok {
			peer.FreeQuick = other.freeQuick
		}
		now[peer.ID] = peer
		if before, ok := s.sent.peers[peer.ID]; !ok || !s.acknowledges(body) || !samePeer(before, peer) {
			response.Peers = append(response.Peers, peer)
		}
	}
	if s.acknowledges(body) {
		response.PeersPartial = true
		for id := range s.sent.peers {
			if _, ok := now[id]; !ok {
				response.PeersGone = append(response.PeersGone, id)
			}
		}
	}
	s.sent = sentPeers{response.Number, list.gateways, list.free, now}
}

func samePeer(a, b syncmsg.Peer) bool {
	return a.Zone == b.Zone && a.PublicAddr == b.PublicAddr && a.PeerAddr == b.PeerAddr &&
		a.Draining == b.Draining && maps.Equal(a.FreeQuick, b.FreeQuick)
}
