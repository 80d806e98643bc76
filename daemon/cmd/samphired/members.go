package main

import (
	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/replica"
)

// members provides the members of the controller group to the operators' API.
type members struct {
	replica *replica.Replica
}

// Members returns the members of the controller group with their roles and replication progress.
func (m members) Members() []controller.Member {
	status := m.replica.Status()
	list := make([]controller.Member, 0, len(status.Members))
	for _, member := range status.Members {
		list = append(list, controller.Member{
			ID:            member.Gateway,
			DataID:        string(member.ID),
			PeerAddr:      member.Addr,
			Role:          role(member),
			MatchIndex:    member.MatchIndex,
			ChangePending: status.ChangePending,
		})
	}
	return list
}

// role returns the role of a member as shown to operators.
func role(m replica.MemberStatus) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Learner:
		return "learner"
	default:
		return "voter"
	}
}
