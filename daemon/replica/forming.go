package replica

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
)

// How a group is formed, and how a VM with an empty disk finds it:
//
//   - A directory without a group asks every initial controller with a hello. Each answers
//     with its directory id and its group, if it has one.
//   - If any answer names a group, that group exists. A directory that is a founding member
//     of it stores the founding entry; any other asks to be added as a learner.
//   - Only the initial controller with the smallest gateway id founds a group, and only when
//     every other initial controller has just answered that it has no group. It stores the
//     group with all directory ids first and tells the others only in its answers to their
//     hellos.
//
// Two foundings can only come from two directories of that one controller, the first of
// which was lost. Every initial controller answered the second directory that it has no
// group, and from then on accepts no founding from the first directory, whose late answers
// it recognizes by the directory id. So the two groups share no member that takes part in
// both, and the group of the lost directory never has a quorum. Once a quorum has stored a
// group, at least one of them answers every later hello with it.

const (
	helloInterval  = 200 * time.Millisecond
	answerValidity = 2 * time.Second // age up to which an answer "no group" counts for founding
	leaderPatience = 2 * time.Second // without a leader, after which a member asks the others
)

// hello asks a controller which group it belongs to.
type hello struct {
	ID      consensus.MemberID `cbor:"1,keyasint"`
	Gateway model.GatewayID    `cbor:"2,keyasint"`
	Addr    string             `cbor:"3,keyasint"`
	Group   string             `cbor:"4,keyasint,omitempty"`
	Initial string             `cbor:"5,keyasint"`
	Nonce   uint64             `cbor:"6,keyasint"`
	Fresh   bool               `cbor:"7,keyasint,omitempty"` // the directory never had a vote, as far as it knows
}

// welcome answers a hello.
type welcome struct {
	ID       consensus.MemberID   `cbor:"1,keyasint"`
	Gateway  model.GatewayID      `cbor:"2,keyasint"`
	Group    string               `cbor:"3,keyasint,omitempty"`
	Initial  string               `cbor:"4,keyasint"`
	Nonce    uint64               `cbor:"5,keyasint"` // of the hello
	Founding consensus.Membership `cbor:"6,keyasint,omitempty"`
	Members  consensus.Membership `cbor:"7,keyasint,omitempty"`
}

// forming finds or forms the group. Its methods run in the loop.
type forming struct {
	r         *Replica
	nonce     uint64 // of this process; a later process does not accept answers to this one
	lastHello time.Time
	leaderAt  time.Time // when a leader was last known

	answers map[model.GatewayID]answer
	seen    map[model.GatewayID]consensus.MemberID // directories without a group that said hello
	learned map[consensus.MemberID]string          // addresses of senders
	others  []string                               // addresses of the group's members, from a welcome
}

type answer struct {
	welcome welcome
	at      time.Time
}

func (f *forming) init(r *Replica) {
	var b [8]byte
	// The nonce needs no secrecy; a failed source of randomness ends the process by itself.
	_, _ = rand.Read(b[:])
	f.r = r
	f.nonce = binary.LittleEndian.Uint64(b[:])
	f.answers = map[model.GatewayID]answer{}
	f.seen = map[model.GatewayID]consensus.MemberID{}
	f.learned = map[consensus.MemberID]string{}
	f.leaderAt = time.Now()
}

// tick says hello while the directory has no group, is not a member yet, has another
// address than the membership says, or has heard of no leader for long.
func (f *forming) tick() {
	now := time.Now()
	if now.Sub(f.lastHello) < helloInterval {
		return
	}
	if !f.mustAsk(now) {
		return
	}
	f.lastHello = now
	f.sayHello()
	if f.r.node == nil {
		f.maybeFound(now)
	}
}

func (f *forming) mustAsk(now time.Time) bool {
	if f.r.node == nil {
		return true
	}
	if f.r.node.Leader() != "" {
		f.leaderAt = now
	}
	own, ok := f.r.node.Members().Find(f.r.store.Identity().ID)
	return !ok || own.Addr != f.r.opts.Addr || now.Sub(f.leaderAt) > leaderPatience
}

func (f *forming) sayHello() {
	identity := f.r.store.Identity()
	h := hello{
		ID: identity.ID, Gateway: f.r.opts.Gateway, Addr: f.r.opts.Addr, Group: identity.Group,
		Initial: f.r.opts.initialList(), Nonce: f.nonce,
		Fresh: f.r.node == nil || !f.r.node.Members().IsVoter(identity.ID),
	}
	for _, addr := range f.addresses() {
		f.r.lanes.greet(addr, &batch{Hello: &h})
	}
}

// addresses returns where other controllers may be.
func (f *forming) addresses() []string {
	unique := map[string]bool{f.r.opts.Addr: true}
	var result []string
	add := func(addr string) {
		if addr != "" && !unique[addr] {
			unique[addr] = true
			result = append(result, addr)
		}
	}
	for _, c := range f.r.opts.InitialControllers {
		if c.Gateway != f.r.opts.Gateway {
			add(c.Addr)
		}
	}
	for _, addr := range f.others {
		add(addr)
	}
	if f.r.node != nil {
		for _, member := range f.r.node.Members() {
			add(member.Addr)
		}
	}
	return result
}

func (f *forming) handleHello(h hello) {
	identity := f.r.store.Identity()
	w := welcome{
		ID: identity.ID, Gateway: f.r.opts.Gateway, Group: identity.Group,
		Initial: f.r.opts.initialList(), Nonce: h.Nonce, Founding: identity.InitialMembers,
	}
	if h.Group == "" {
		f.seen[h.Gateway] = h.ID
	}
	if f.r.node != nil {
		w.Members = f.r.node.Members()
		f.admit(h)
	}
	if f.r.opts.isInitial(h.Gateway) || w.Members != nil {
		f.r.lanes.greet(h.Addr, &batch{Welcome: &w})
	}
}

// admit adds the sender of a hello to the group, or records its new address; leader only.
func (f *forming) admit(h hello) {
	node := f.r.node
	if node.Role() != consensus.RoleLeader || (h.Group != "" && h.Group != f.r.store.Identity().Group) {
		return
	}
	member := consensus.Member{ID: h.ID, Gateway: h.Gateway, Addr: h.Addr}
	if _, ok := node.Members().Find(h.ID); !ok {
		if !f.mayJoin(h) {
			return
		}
		f.r.opts.Logger.Info().Str("gateway", string(h.Gateway)).Str("id", string(h.ID)).Msg("a controller joins as learner")
	}
	// A change that is not possible now is tried again with the next hello.
	_ = node.Add(member)
}

// mayJoin reports whether the leader adds the directory by itself: it never had a vote, its
// gateway is an initial controller or a member, and no live learner has that gateway.
func (f *forming) mayJoin(h hello) bool {
	// A directory that had a vote and is no member was removed or replaced. It is not told of
	// its removal, so it still counts itself as a voter.
	if !h.Fresh {
		f.r.opts.Logger.Warn().Str("gateway", string(h.Gateway)).Str("id", string(h.ID)).
			Msg("a removed directory asks to join; its data directory must be emptied first")
		return false
	}
	status := f.r.node.Status()
	known := f.r.opts.isInitial(h.Gateway) || f.r.opts.OpenMembership
	for _, member := range status.Members {
		if member.Gateway != h.Gateway {
			continue
		}
		known = true
		if member.ID == status.ID || (member.Learner && status.Progress[member.ID].TicksSinceMessage < f.r.opts.ElectionTicks) {
			return false
		}
	}
	return known
}

func (f *forming) handleWelcome(w welcome) {
	if w.Nonce != f.nonce {
		return // an answer to an earlier process of this VM
	}
	if seen, ok := f.seen[w.Gateway]; ok && seen != w.ID {
		return // from a directory that was lost since
	}
	f.others = f.others[:0]
	for _, member := range w.Members {
		f.others = append(f.others, member.Addr)
	}
	if f.r.node != nil {
		return
	}
	if w.Group == "" {
		f.answers[w.Gateway] = answer{w, time.Now()}
		return
	}
	if _, ok := w.Founding.Find(f.r.store.Identity().ID); ok {
		f.adopt(w.Group, w.Founding)
		return
	}
	f.start(func() error { return f.r.store.JoinGroup(w.Group) })
}

// maybeFound founds the group if this is the controller that may and all have answered.
func (f *forming) maybeFound(now time.Time) {
	initial := f.r.opts.InitialControllers
	if initial[0].Gateway != f.r.opts.Gateway || f.r.opts.JoinOnly {
		return
	}
	members := consensus.Membership{}.With(consensus.Member{
		ID: f.r.store.Identity().ID, Gateway: f.r.opts.Gateway, Addr: f.r.opts.Addr,
	})
	for _, c := range initial[1:] {
		a, ok := f.answers[c.Gateway]
		if !ok || now.Sub(a.at) > answerValidity {
			return
		}
		if a.welcome.Initial != f.r.opts.initialList() {
			f.r.opts.Logger.Error().Str("gateway", string(c.Gateway)).Str("theirs", a.welcome.Initial).
				Str("own", f.r.opts.initialList()).Msg("the settings name different initial controllers")
			return
		}
		members = members.With(consensus.Member{ID: a.welcome.ID, Gateway: c.Gateway, Addr: c.Addr})
	}
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return
	}
	f.adopt(hex.EncodeToString(b[:]), members)
}

func (f *forming) adopt(group string, members consensus.Membership) {
	f.start(func() error { return f.r.store.InitGroup(group, members) })
}

// start makes the directory part of a group and starts consensus. The writer is idle
// before that, so the storage may be used here.
func (f *forming) start(enter func() error) {
	if err := enter(); err != nil {
		f.r.fatal(err)
		return
	}
	if err := f.r.startNode(); err != nil {
		f.r.fatal(err)
		return
	}
	f.leaderAt = time.Now()
	f.r.opts.Logger.Info().Str("group", f.r.store.Identity().Group).Str("id", string(f.r.store.Identity().ID)).
		Msg("the data directory belongs to a group")
}

// learn remembers the address of a sender, for answers to members that the own membership
// does not contain yet.
func (f *forming) learn(id consensus.MemberID, addr string) {
	if len(f.learned) >= maxLearned {
		f.learned = map[consensus.MemberID]string{}
	}
	f.learned[id] = addr
}

// addrOf returns the address of a member, or an empty string. The address that a member
// sends from is newer than the one in the membership.
func (r *Replica) addrOf(id consensus.MemberID) string {
	if addr, ok := r.forming.learned[id]; ok {
		return addr
	}
	member, _ := r.node.Members().Find(id)
	return member.Addr
}
