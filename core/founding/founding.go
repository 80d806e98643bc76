// Package founding decides which group of controllers is created when the whole system starts for the first time. The
// seeds are the only processes that all others know, so they vote: a group exists once a majority of the seeds has accepted
// it in the same ballot (single-decree Paxos, with the seeds as acceptors and the controllers as proposers). A seed needs
// neither a disk nor a part in the group. One that has forgotten its vote must not vote again, so at most one group is
// ever chosen, whichever processes and messages are lost or late.
package founding

import (
	"cmp"

	"samphirepaddle.example/core/consensus"
)

// Ballot numbers the proposals. No two proposers share one, nor do two processes of the same directory.
type Ballot struct {
	Round   uint64             `json:"round,omitempty" cbor:"1,keyasint,omitempty"`
	By      consensus.MemberID `json:"by,omitempty" cbor:"2,keyasint,omitempty"`
	Process uint64             `json:"process,omitempty" cbor:"3,keyasint,omitempty"` // random number of the process
}

// Compare orders ballots. The zero ballot is the lowest.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.By, other.By), cmp.Compare(b.Process, other.Process))
}

// Group is a group that may be created.
type Group struct {
	ID      string               `json:"id" cbor:"1,keyasint"`
	Members consensus.Membership `json:"members" cbor:"2,keyasint"` // the initial members
}

// Request asks a seed for its vote. Without a group it asks the seed to accept nothing of lower ballots any more, with one
// to accept the group.
type Request struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Group  *Group `cbor:"2,keyasint,omitempty"`
}

// Vote is the state of a seed. A seed must have stored it before it sends it, or never vote again after a restart.
type Vote struct {
	Promised Ballot `json:"promised" cbor:"1,keyasint"`
	Accepted Ballot `json:"accepted,omitzero" cbor:"2,keyasint,omitempty"` // zero if no group was accepted
	Group    *Group `json:"group,omitempty" cbor:"3,keyasint,omitempty"`   // of the ballot Accepted
}

// Handle returns the vote after a request, which is the response to it.
func (v Vote) Handle(r Request) Vote {
	if r.Ballot.Compare(v.Promised) < 0 {
		return v
	}
	v.Promised = r.Ballot
	if r.Group != nil {
		v.Accepted, v.Group = r.Ballot, r.Group
	}
	return v
}

// Proposer proposes a group in one ballot after the other until one is chosen.
type Proposer struct {
	self    consensus.MemberID
	process uint64
	quorum  int

	ballot  Ballot
	own     Group
	request Request
	active  bool
	seen    uint64          // highest round in any vote
	votes   map[string]Vote // of the present request, by seed
}

// NewProposer returns an idle proposer of a process, for the given number of seeds.
func NewProposer(self consensus.MemberID, process uint64, seeds int) *Proposer {
	return &Proposer{self: self, process: process, quorum: Quorum(seeds)}
}

// Quorum returns the smallest majority of the seeds.
func Quorum(seeds int) int { return seeds/2 + 1 }

// Active reports whether a ballot is in progress.
func (p *Proposer) Active() bool { return p.active }

// Accepting reports whether the seeds are asked to accept a group.
func (p *Proposer) Accepting() bool { return p.active && p.request.Group != nil }

// Begin starts a new ballot, in which the group is proposed unless another one may have been chosen before.
func (p *Proposer) Begin(own Group) {
	p.ballot = Ballot{Round: max(p.seen, p.ballot.Round) + 1, By: p.self, Process: p.process}
	p.own, p.active = own, true
	p.ask(Request{Ballot: p.ballot})
}

func (p *Proposer) ask(r Request) {
	p.request, p.votes = r, map[string]Vote{}
}

// Request returns the request to send to all seeds, repeatedly because messages may be lost, or nil if no ballot is in
// progress.
func (p *Proposer) Request() *Request {
	if !p.active {
		return nil
	}
	r := p.request
	return &r
}

// Receive processes the vote of a seed. It returns the group once it is chosen. A ballot that a higher one has overtaken
// ends.
func (p *Proposer) Receive(seed string, vote Vote) (chosen *Group) {
	p.seen = max(p.seen, vote.Promised.Round)
	if !p.active {
		return nil
	}
	if vote.Promised.Compare(p.ballot) > 0 {
		p.active = false
		return nil
	}
	if vote.Promised != p.ballot || (p.request.Group != nil && vote.Accepted != p.ballot) {
		return nil // the response to an earlier request
	}
	p.votes[seed] = vote
	if len(p.votes) < p.quorum {
		return nil
	}
	if p.request.Group != nil {
		p.active = false
		return p.request.Group
	}
	group := p.groupToPropose()
	p.ask(Request{Ballot: p.ballot, Group: &group})
	return nil
}

// groupToPropose returns the group that was accepted in the highest ballot, which may be chosen already, or the own one if
// none was accepted.
func (p *Proposer) groupToPropose() Group {
	group, highest := p.own, Ballot{}
	for _, vote := range p.votes {
		if vote.Group != nil && vote.Accepted.Compare(highest) > 0 {
			group, highest = *vote.Group, vote.Accepted
		}
	}
	return group
}
