package main

import (
	"samphirepaddle.example/daemon/controller"
	"samphirepaddle.example/daemon/replica"
)

// members shows the controllers of the group to operators.
type members struct {
	log *replica.Replica
}

// Members returns the members of the controller group with their roles.
func (m members) Members() []controller.Member {
	status := m.log.Status()
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
