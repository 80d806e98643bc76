package replica

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/founding"
	"samphirepaddle.example/core/model"
)

// Formation of a group, and how a VM with an empty disk finds it:
//
//   - A directory without a group sends a discovery request to every initial controller, and to
//     those that other daemons name (Options.KnownControllers): the initial ones may all have been
//     replaced. Each responds with its directory id and, if it has one, its group.
//   - If any response names a group, that group exists. A directory that is an initial member
//     of it stores the first entry of its log; any other asks to be added as a learner.
//   - Only one of the initial controllers creates a group: the one with the smallest gateway id
//     among those whose directory may (Options.JoinOnly). It does so only when every other
//     initial controller has just responded that it has no group, and those with a smaller
//     gateway id that they may not create one. It first stores the group with all directory ids,
//     and tells the others only in responses to their requests.
//
// Whether a directory may create a group does not change while it has none. So two groups can be
// created only if the directory that created the first one was lost. Whoever creates the second one
// has asked every initial controller after it learned of the directory that replaces the lost one
// (restartExchange), and each has responded that it has no group. From then on that controller does
// not enter the first group either: it ignores late responses of the lost directory once the new
// directory of that VM has sent it a request. Once a quorum has stored a group, at least one member
// of that quorum names the group in its response to every later request.
//
// With Options.SeedsFound a majority of the seeds decides instead; founding.go has the rules.

const (
	discoveryInterval = 200 * time.Millisecond
	responseValidity  = 2 * time.Second // maximum age of a response without a group for the creation of a group
	noLeaderTimeout   = 2 * time.Second // after which a member without a leader sends requests
)

// discoveryRequest asks a controller which group it belongs to.
type discoveryRequest struct {
	ID              consensus.MemberID `cbor:"1,keyasint"`
	Gateway         model.GatewayID    `cbor:"2,keyasint"`
	Addr            string             `cbor:"3,keyasint"`
	Group           string             `cbor:"4,keyasint,omitempty"`
	InitialGateways string             `cbor:"5,keyasint"`           // see initialGateways
	Nonce           uint64             `cbor:"6,keyasint"`           // of the process that sent the request
	NeverVoted      bool               `cbor:"7,keyasint,omitempty"` // the directory never had a vote, as far as it knows
	Founding        *founding.Request  `cbor:"8,keyasint,omitempty"` // asks a seed for its vote
	MayPropose      bool               `cbor:"9,keyasint,omitempty"` // the sender may propose a group
}

// discoveryResponse is the response to a discoveryRequest.
type discoveryResponse struct {
	ID              consensus.MemberID   `cbor:"1,keyasint"`
	Gateway         model.GatewayID      `cbor:"2,keyasint"`
	Group           string               `cbor:"3,keyasint,omitempty"`
	InitialGateways string               `cbor:"4,keyasint"` // see initialGateways
	Nonce           uint64               `cbor:"5,keyasint"` // of the request
	InitialMembers  consensus.Membership `cbor:"6,keyasint,omitempty"`
	Members         consensus.Membership `cbor:"7,keyasint,omitempty"`
	MayNotCreate    bool                 `cbor:"8,keyasint,omitempty"`  // the directory has no group and may not create one
	Vote            *founding.Vote       `cbor:"9,keyasint,omitempty"`  // of a seed that may vote, after the request
	Waiting         []waitingController  `cbor:"10,keyasint,omitempty"` // the controllers without a group that have asked recently
}

// discovery finds or creates the group of the data directory. Its methods run in the event loop.
type discovery struct {
	r             *Replica
	nonce         uint64 // of the present exchange; responses with another nonce are ignored
	lastRequest   time.Time
	leaderKnownAt time.Time // when a leader was last known

	directories  map[model.GatewayID]consensus.MemberID // the latest that responded without a group
	responses    map[model.GatewayID]receivedResponse
	withoutGroup map[model.GatewayID]consensus.MemberID // directories that sent a request without a group
	senders      map[consensus.MemberID]sender          // of messages
	startedAt    time.Time
	memberAddrs  []string // addresses of the group's members, from the last response
	founder      founder
}

// receivedResponse is a response without a group and when it was received.
type receivedResponse struct {
	response discoveryResponse
	at       time.Time
}

func (d *discovery) init(r *Replica) {
	var b [8]byte
	// The nonce is not secret. If the source of randomness fails, rand.Read ends the process.
	_, _ = rand.Read(b[:])
	d.r = r
	d.nonce = binary.LittleEndian.Uint64(b[:])
	d.directories = map[model.GatewayID]consensus.MemberID{}
	d.responses = map[model.GatewayID]receivedResponse{}
	d.withoutGroup = map[model.GatewayID]consensus.MemberID{}
	d.senders = map[consensus.MemberID]sender{}
	d.startedAt = time.Now()
	d.leaderKnownAt = d.startedAt
	d.founder.init(d)
}

// tick sends requests while the directory has no group, is not a member yet, has another address
// than the membership lists, or has known no leader for noLeaderTimeout.
func (d *discovery) tick() {
	now := time.Now()
	if now.Sub(d.lastRequest) < discoveryInterval {
		return
	}
	if !d.requestNeeded(now) {
		return
	}
	d.lastRequest = now
	if d.r.node == nil && d.r.opts.SeedsFound {
		d.founder.tick(now)
	}
	d.sendRequests()
	if d.r.node == nil && !d.r.opts.SeedsFound {
		d.maybeCreateGroup(now)
	}
}

// requestNeeded reports whether tick must send requests.
func (d *discovery) requestNeeded(now time.Time) bool {
	if d.r.node == nil {
		return true
	}
	if d.r.node.Leader() != "" {
		d.leaderKnownAt = now
	}
	if d.r.node.Leaving() {
		return false // a replaced controller would be added again just before its process ends
	}
	own, ok := d.r.node.Members().Find(d.r.store.Identity().ID)
	mayBeUnknown := own.Learner && d.r.node.Leader() == ""
	return !ok || mayBeUnknown || own.Addr != d.r.opts.Addr || now.Sub(d.leaderKnownAt) > noLeaderTimeout
}

func (d *discovery) sendRequests() {
	identity := d.r.store.Identity()
	request := discoveryRequest{
		ID: identity.ID, Gateway: d.r.opts.Gateway, Addr: d.r.opts.Addr, Group: identity.Group,
		InitialGateways: d.r.opts.initialGateways(), Nonce: d.nonce,
		NeverVoted: d.r.node == nil || !d.r.node.Members().IsVoter(identity.ID),
	}
	if d.r.node == nil && d.r.opts.SeedsFound {
		request.Founding, request.MayPropose = d.founder.proposer.Request(), d.founder.mayPropose()
	}
	for _, addr := range d.addresses() {
		d.r.transport.sendDiscovery(addr, &batch{Request: &request})
	}
}

// addresses returns the addresses at which other controllers may be.
func (d *discovery) addresses() []string {
	unique := map[string]bool{d.r.opts.Addr: true}
	var result []string
	add := func(addr string) {
		if addr != "" && !unique[addr] {
			unique[addr] = true
			result = append(result, addr)
		}
	}
	for _, c := range d.r.opts.InitialControllers {
		if c.Gateway != d.r.opts.Gateway {
			add(c.Addr)
		}
	}
	for _, addr := range d.memberAddrs {
		add(addr)
	}
	if d.r.opts.KnownControllers != nil {
		for _, addr := range d.r.opts.KnownControllers() {
			add(addr)
		}
	}
	if d.r.node == nil {
		for _, addr := range d.founder.waitingAddrs() {
			add(addr)
		}
		return result
	}
	for _, member := range d.r.node.Members() {
		add(member.Addr)
	}
	return result
}

// handleRequest responds to a request. The leader also adds the sender to the group or updates
// its address.
func (d *discovery) handleRequest(request discoveryRequest) {
	identity := d.r.store.Identity()
	response := discoveryResponse{
		ID: identity.ID, Gateway: d.r.opts.Gateway, Group: identity.Group,
		InitialGateways: d.r.opts.initialGateways(), Nonce: request.Nonce, InitialMembers: identity.InitialMembers,
		MayNotCreate: !d.mayCreateGroup(),
	}
	if request.Group == "" {
		d.withoutGroup[request.Gateway] = request.ID
	}
	if d.r.node == nil && d.r.opts.SeedsFound {
		d.founder.answer(request, &response)
	}
	if d.r.node != nil {
		response.Members = d.r.node.Members()
		d.addOrUpdateMember(request)
	}
	if d.r.opts.isInitial(request.Gateway) || response.Members != nil || (d.r.opts.SeedsFound && request.Group == "") {
		d.r.transport.sendDiscovery(request.Addr, &batch{Response: &response})
	}
}

// addOrUpdateMember adds the sender of a request to the group or records its new address. It does
// nothing on a controller that is not the leader.
func (d *discovery) addOrUpdateMember(request discoveryRequest) {
	node := d.r.node
	if node.Role() != consensus.RoleLeader || (request.Group != "" && request.Group != d.r.store.Identity().Group) {
		return
	}
	member := consensus.Member{ID: request.ID, Gateway: request.Gateway, Addr: request.Addr}
	if _, ok := node.Members().Find(request.ID); !ok {
		if !d.mayAutoJoin(request) {
			return
		}
		d.r.opts.Logger.Info().Str("gateway", string(request.Gateway)).Str("id", string(request.ID)).Msg("adding controller as learner")
	}
	// A change that is not possible now is tried again with the next request.
	_ = node.Add(member)
}

// mayAutoJoin reports whether the leader adds the directory without an operator. This requires
// that the directory never had a vote or may return, that its gateway is an initial controller or
// a member, or the membership is open, and that the gateway is neither the leader nor a live
// learner.
func (d *discovery) mayAutoJoin(request discoveryRequest) bool {
	// A directory that had a vote and is not a member was removed or replaced. It is not notified
	// of its removal, so it still counts itself as a voter.
	if !request.NeverVoted && !d.mayReturn(request) {
		d.r.opts.Logger.Warn().Str("gateway", string(request.Gateway)).Str("id", string(request.ID)).
			Msg("refusing to add a removed data directory; it must be emptied first")
		return false
	}
	status := d.r.node.Status()
	known := d.r.opts.isInitial(request.Gateway) || d.r.opts.OpenMembership
	for _, member := range status.Members {
		if member.Gateway != request.Gateway {
			continue
		}
		known = true
		if member.ID == status.ID || (member.Learner && status.Progress[member.ID].TicksSinceMessage < d.r.opts.ElectionTicks) {
			return false
		}
	}
	return known
}

// mayReturn reports whether a directory that had a vote may join again as a learner. With a maximum
// number of voters, the leader removes a voter that is silent, for example because its disk is
// full. Its directory is intact, so it may vote again after it has caught up. It may not return
// beside another directory of its gateway.
func (d *discovery) mayReturn(request discoveryRequest) bool {
	if d.r.opts.MaxVoters == 0 || !d.r.opts.OpenMembership {
		return false
	}
	return !slices.ContainsFunc(d.r.node.Members(), func(m consensus.Member) bool { return m.Gateway == request.Gateway })
}

// handleResponse records the members that a response names. While the directory has no group, it
// enters the group that the response names.
func (d *discovery) handleResponse(response discoveryResponse) {
	if response.Nonce != d.nonce {
		return // a response to an earlier process of this VM, or of an earlier exchange
	}
	if id, ok := d.withoutGroup[response.Gateway]; ok && id != response.ID {
		return // from a directory that has been lost since
	}
	if len(response.Members) > 0 || !d.r.opts.SeedsFound {
		d.memberAddrs = d.memberAddrs[:0]
	}
	for _, member := range response.Members {
		d.memberAddrs = append(d.memberAddrs, member.Addr)
	}
	if d.r.node != nil {
		return
	}
	if response.Group == "" && d.r.opts.SeedsFound {
		d.founder.receive(response, time.Now())
		return
	}
	if response.Group == "" {
		if d.directories[response.Gateway] != response.ID {
			d.restartExchange(response)
		}
		d.responses[response.Gateway] = receivedResponse{response, time.Now()}
		return
	}
	if _, ok := response.InitialMembers.Find(d.r.store.Identity().ID); ok {
		d.initializeGroup(response.Group, response.InitialMembers)
		return
	}
	d.enterGroup(func() error { return d.r.store.JoinGroup(response.Group) })
}

// restartExchange drops all responses when another directory responds. A directory that it replaces
// may have created a group, which the other controllers may have entered since they responded.
func (d *discovery) restartExchange(response discoveryResponse) {
	d.directories[response.Gateway] = response.ID
	d.nonce++
	clear(d.responses)
}

// mayCreateGroup reports whether the directory may create a group. A process that ends before the
// group exists, for example because its disk is full, may be restarted with JoinOnly.
func (d *discovery) mayCreateGroup() bool {
	return !d.r.opts.JoinOnly || d.r.store.Identity().Creators == d.r.opts.initialGateways()
}

// maybeCreateGroup creates the group if this controller is the first one that may, and all other
// initial controllers have just responded that they have no group.
func (d *discovery) maybeCreateGroup(now time.Time) {
	initial := d.r.opts.InitialControllers
	if !d.r.opts.isInitial(d.r.opts.Gateway) || !d.mayCreateGroup() {
		return
	}
	members := consensus.Membership{}.With(consensus.Member{
		ID: d.r.store.Identity().ID, Gateway: d.r.opts.Gateway, Addr: d.r.opts.Addr,
	})
	for _, c := range initial {
		if c.Gateway == d.r.opts.Gateway {
			continue
		}
		received, ok := d.responses[c.Gateway]
		if !ok || now.Sub(received.at) > responseValidity {
			return
		}
		if c.Gateway < d.r.opts.Gateway && !received.response.MayNotCreate {
			return // that controller creates the group
		}
		if received.response.InitialGateways != d.r.opts.initialGateways() {
			d.r.opts.Logger.Error().Str("gateway", string(c.Gateway)).Str("theirs", received.response.InitialGateways).
				Str("own", d.r.opts.initialGateways()).Msg("settings of the controllers name different initial controllers")
			return
		}
		members = members.With(consensus.Member{ID: received.response.ID, Gateway: c.Gateway, Addr: c.Addr})
	}
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return
	}
	d.initializeGroup(hex.EncodeToString(b[:]), members)
}

// initializeGroup stores a group with its initial members and enters it.
func (d *discovery) initializeGroup(group string, members consensus.Membership) {
	d.enterGroup(func() error { return d.r.store.InitGroup(group, members) })
}

// enterGroup makes the directory part of a group by calling storeGroup, and starts consensus. The
// writer is idle until then, so the event loop may use the storage here.
func (d *discovery) enterGroup(storeGroup func() error) {
	if err := storeGroup(); err != nil {
		d.r.fatal(err)
		return
	}
	if err := d.r.startNode(); err != nil {
		d.r.fatal(err)
		return
	}
	d.leaderKnownAt = time.Now()
	d.r.opts.Logger.Info().Str("group", d.r.store.Identity().Group).Str("id", string(d.r.store.Identity().ID)).
		Msg("data directory entered group")
}

// sender is the origin of the last message of a member.
type sender struct {
	addr string
	at   time.Time
}

// recordSender records the address that a member sends from, for responses to members that the local
// membership does not contain yet.
func (d *discovery) recordSender(id consensus.MemberID, addr string) {
	if len(d.senders) >= maxSenders {
		d.senders = map[consensus.MemberID]sender{}
	}
	d.senders[id] = sender{addr, time.Now()}
}

// sinceMessage returns the time since the last message of the member, or since the start of the process.
func (d *discovery) sinceMessage(id consensus.MemberID) time.Duration {
	if s, ok := d.senders[id]; ok {
		return time.Since(s.at)
	}
	return time.Since(d.startedAt)
}

// addrOf returns the address of a member, or an empty string. The address that the member sends
// from takes precedence, because it is newer than the one in the membership.
func (r *Replica) addrOf(id consensus.MemberID) string {
	if s, ok := r.discovery.senders[id]; ok {
		return s.addr
	}
	member, _ := r.node.Members().Find(id)
	return member.Addr
}
