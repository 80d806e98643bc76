package controller

import (
	"maps"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/syncmsg"
)

// peerList is the list of peers for one response, with the versions of the data that it was read
// from.
type peerList struct {
	unchanged        bool // the client already holds the list; peers is empty
	gatewaysRevision model.Revision
	freeVersion      uint64
	peers            []syncmsg.Peer
}

// sentPeers is the list of peers as of one response. If the next request acknowledges that
// response, the response to it holds only the differences.
type sentPeers struct {
	number           uint64
	gatewaysRevision model.Revision
	freeVersion      uint64
	peers            map[model.GatewayID]syncmsg.Peer
}

// peersFor lists the peers, unless nothing about them has changed since the response that the
// request acknowledges. It is called with the state locked.
func (t *sessionTable) peersFor(st *state.State, body syncmsg.Request) peerList {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := peerList{gatewaysRevision: st.GatewaysChanged(), freeVersion: t.freeVersion}
	if s, ok := t.byID[body.Gateway]; ok && s.acknowledges(body) {
		list.unchanged = s.sentPeers.gatewaysRevision == list.gatewaysRevision && s.sentPeers.freeVersion == list.freeVersion
	}
	if !list.unchanged {
		list.peers = livePeers(st)
	}
	return list
}

// acknowledges reports whether the request acknowledges the last response, so that the client holds
// its list of peers.
func (s *session) acknowledges(body syncmsg.Request) bool {
	return s.epoch == body.Epoch && body.Partial && s.sentPeers.peers != nil && body.Ack == s.sentPeers.number
}

// addPeers adds to the response the peers with their reported free quick slots, or only the
// differences if the request acknowledges the last response. The caller holds t.mu.
func (t *sessionTable) addPeers(s *session, body syncmsg.Request, list peerList, response *syncmsg.Response) {
	if list.unchanged {
		response.PeersPartial = true
		s.sentPeers.number = response.Number
		return
	}
	current := make(map[model.GatewayID]syncmsg.Peer, len(list.peers))
	for _, peer := range list.peers {
		if peerSession, ok := t.byID[peer.ID]; ok {
			peer.FreeQuick = peerSession.freeQuick
		}
		current[peer.ID] = peer
		if previous, ok := s.sentPeers.peers[peer.ID]; !ok || !s.acknowledges(body) || !samePeer(previous, peer) {
			response.Peers = append(response.Peers, peer)
		}
	}
	if s.acknowledges(body) {
		response.PeersPartial = true
		for id := range s.sentPeers.peers {
			if _, ok := current[id]; !ok {
				response.PeersGone = append(response.PeersGone, id)
			}
		}
	}
	s.sentPeers = sentPeers{response.Number, list.gatewaysRevision, list.freeVersion, current}
}

func samePeer(a, b syncmsg.Peer) bool {
	return a.Zone == b.Zone && a.PublicAddr == b.PublicAddr && a.PeerAddr == b.PeerAddr &&
		a.Draining == b.Draining && maps.Equal(a.FreeQuick, b.FreeQuick)
}
