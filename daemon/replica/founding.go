package replica

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"math/big"
	"slices"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/founding"
	"samphirepaddle.example/core/model"
)

// The first start with Options.SeedsFound:
//
//   - The seeds are the only processes that all others know. Any of them may be a controller or, as a Witness, a daemon
//     without a disk, and fewer than half of them may be lost.
//   - A controller without a group sends its discovery requests to all seeds. A seed names the controllers without a group
//     that have asked it recently (waitingController), so that they find each other.
//   - One of them proposes a group of the controllers that wait, and a majority of the seeds has to accept it
//     (core/founding). It is the one with the smallest gateway id, unless that one does nothing.
//   - Whoever learns that a group was chosen and is an initial member stores it. The others enter it as they enter any
//     existing group: through the responses of its members.
//
// At most one group is chosen, because a seed never forgets a vote and votes again: a controller stores its vote before it
// sends it, an empty or damaged directory and a witness vote only in a process of the first start of the whole system
// (JoinOnly is false), and every other process abstains. Losses and late messages can only prevent a group.

const (
	// foundingPatience is how long a controller waits for more controllers than a majority of the wanted ones. All VMs
	// start within 0.3 s of each other.
	foundingPatience = 1500 * time.Millisecond
	// ballotTimeout is how long the first ballot of a proposer lasts, and how long a controller waits for each one that comes
	// before it. It doubles with each ballot: on busy VMs five controllers took the votes from each other for a minute.
	ballotTimeout  = time.Second
	maxDoublings   = 3
	silentSeedLogs = 5 * time.Second // between two lines that name the seeds that do not answer
)

// waitingController is a controller without a group.
type waitingController struct {
	Member     consensus.Member `cbor:"1,keyasint"`
	MayPropose bool             `cbor:"2,keyasint,omitempty"`
}

// waitingList holds the controllers without a group that have shown themselves recently.
type waitingList map[model.GatewayID]waitingEntry

type waitingEntry struct {
	waitingController
	at time.Time
}

func (l waitingList) add(c waitingController, now time.Time) {
	l[c.Member.Gateway] = waitingEntry{c, now}
}

// addRequest records the sender of a request.
func (l waitingList) addRequest(r discoveryRequest, now time.Time) {
	if r.Group == "" && len(l) < maxSenders {
		l.add(waitingController{consensus.Member{ID: r.ID, Gateway: r.Gateway, Addr: r.Addr}, r.MayPropose}, now)
	}
}

// recent returns the controllers in the order of their gateway ids, without those that have not shown themselves for
// responseValidity.
func (l waitingList) recent(now time.Time) []waitingController {
	var recent []waitingController
	for gateway, entry := range l {
		if now.Sub(entry.at) > responseValidity {
			delete(l, gateway)
			continue
		}
		recent = append(recent, entry.waitingController)
	}
	slices.SortFunc(recent, func(a, b waitingController) int { return cmp.Compare(a.Member.Gateway, b.Member.Gateway) })
	return recent
}

// founder takes part in the decision which group is created. Its methods run in the event loop.
type founder struct {
	d        *discovery
	proposer *founding.Proposer
	waiting  waitingList
	answered map[model.GatewayID]time.Time // when a seed has answered without a group
	turnAt   time.Time                     // when another ballot may begin
	ballots  int                           // that this process has begun
	loggedAt time.Time
}

func (f *founder) init(d *discovery) {
	f.d = d
	f.waiting, f.answered = waitingList{}, map[model.GatewayID]time.Time{}
	f.proposer = founding.NewProposer(d.r.store.Identity().ID, d.nonce, len(d.r.opts.InitialControllers))
}

// mayPropose reports whether the directory was created in the first start of the whole system. Such a directory also votes
// if it is that of a seed.
func (f *founder) mayPropose() bool {
	identity := f.d.r.store.Identity()
	return identity.Group == "" && identity.Creators != "" && identity.Creators == f.d.r.opts.initialGateways()
}

// answer adds to a response what a controller without a group knows, and its vote if it is a seed.
func (f *founder) answer(request discoveryRequest, response *discoveryResponse) {
	now := time.Now()
	f.waiting.addRequest(request, now)
	response.Waiting = f.waiting.recent(now)
	if request.InitialGateways == f.d.r.opts.initialGateways() {
		response.Vote = f.vote(request.Founding)
	}
}

// vote returns the vote after a request, or nil if the directory may not vote. The vote is stored first.
func (f *founder) vote(request *founding.Request) *founding.Vote {
	r := f.d.r
	if request == nil || !r.opts.isInitial(r.opts.Gateway) || !f.mayPropose() {
		return nil
	}
	before := r.store.Identity().Vote
	vote := before.Handle(*request)
	if vote.Promised != before.Promised || vote.Accepted != before.Accepted {
		if err := r.store.SaveVote(vote); err != nil {
			r.fatal(err)
			return nil
		}
	}
	return &vote
}

// receive processes the response of a daemon that has no group.
func (f *founder) receive(response discoveryResponse, now time.Time) {
	f.answered[response.Gateway] = now
	for _, c := range response.Waiting {
		if len(f.waiting) < maxSenders && c.Member.Gateway != f.d.r.opts.Gateway {
			f.waiting.add(c, now)
		}
	}
	if response.Vote != nil && f.d.r.opts.isInitial(response.Gateway) {
		f.count(response.Gateway, *response.Vote)
	}
}

// count processes the vote of a seed, and enters the group if it is chosen now.
func (f *founder) count(seed model.GatewayID, vote founding.Vote) {
	accepting := f.proposer.Accepting()
	chosen := f.proposer.Receive(string(seed), vote)
	if f.proposer.Accepting() != accepting && chosen == nil {
		f.d.sendRequests() // without waiting for the next tick
	}
	if chosen == nil {
		return
	}
	_, own := chosen.Members.Find(f.d.r.store.Identity().ID)
	f.d.r.opts.Logger.Info().Str("group", chosen.ID).Int("members", len(chosen.Members)).Bool("is_member", own).Msg("the seeds have chosen a group")
	if own {
		f.d.initializeGroup(chosen.ID, chosen.Members)
	}
}

// tick begins a ballot if it is this controller's turn, and casts the own vote.
func (f *founder) tick(now time.Time) {
	if !f.mayPropose() {
		return
	}
	waiting := f.waiting.recent(now)
	f.logSilentSeeds(waiting, now)
	if f.isTurn(waiting, now) {
		if group, ok := f.newGroup(waiting); ok {
			f.proposer.Begin(group)
			f.turnAt = now.Add(f.nextTurn(waiting))
			f.ballots++
		}
	}
	self := f.d.r.opts.Gateway
	for range 2 { // a seed counts its own vote for both requests of a ballot
		if vote := f.vote(f.proposer.Request()); vote != nil && f.d.r.node == nil {
			f.count(self, *vote)
		}
	}
}

// isTurn reports whether the controller should begin a ballot. Ballots that begin at the same time are in each other's way,
// so the controllers take turns.
func (f *founder) isTurn(waiting []waitingController, now time.Time) bool {
	if now.Before(f.turnAt) || len(f.silentSeeds(now)) > len(f.d.r.opts.InitialControllers)-founding.Quorum(len(f.d.r.opts.InitialControllers)) {
		return false
	}
	if !f.isEnough(1+len(waiting), now) {
		return false
	}
	if f.controllersBefore(waiting) == 0 || !f.turnAt.IsZero() {
		return true
	}
	f.turnAt = now.Add(f.nextTurn(waiting)) // those before it may be lost
	return false
}

// controllersBefore returns the number of waiting controllers whose turn comes before that of this one.
func (f *founder) controllersBefore(waiting []waitingController) int {
	before := 0
	for _, c := range waiting {
		if c.MayPropose && c.Member.Gateway < f.d.r.opts.Gateway {
			before++
		}
	}
	return before
}

// nextTurn returns the time until the next ballot. The further a controller is behind, the longer it leaves the votes to
// the others.
func (f *founder) nextTurn(waiting []waitingController) time.Duration {
	turn := ballotTimeout << min(f.ballots, maxDoublings)
	return time.Duration(1+f.controllersBefore(waiting))*turn + randomDelay(turn)
}

// isEnough reports whether a group of so many controllers may be created: as many as there are seeds, or as the group wants
// voters if that is less, and after a while a majority of these.
func (f *founder) isEnough(controllers int, now time.Time) bool {
	wanted := f.wantedMembers()
	return controllers >= wanted || (now.Sub(f.d.startedAt) >= foundingPatience && controllers >= wanted/2+1)
}

func (f *founder) wantedMembers() int {
	wanted := len(f.d.r.opts.InitialControllers)
	if f.d.r.opts.MaxVoters > 0 {
		wanted = min(wanted, f.d.r.opts.MaxVoters)
	}
	return wanted
}

// newGroup returns a group of this controller and others, seeds first. The leader adds the remaining ones later.
func (f *founder) newGroup(waiting []waitingController) (group founding.Group, ok bool) {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return founding.Group{}, false
	}
	r := f.d.r
	members := consensus.Membership{}.With(consensus.Member{ID: r.store.Identity().ID, Gateway: r.opts.Gateway, Addr: r.opts.Addr})
	slices.SortStableFunc(waiting, func(a, b waitingController) int {
		return cmp.Compare(f.seedOrder(a), f.seedOrder(b))
	})
	for _, c := range waiting {
		if len(members) < f.wantedMembers() {
			members = members.With(c.Member)
		}
	}
	return founding.Group{ID: hex.EncodeToString(b[:]), Members: members}, true
}

func (f *founder) seedOrder(c waitingController) int {
	if f.d.r.opts.isInitial(c.Member.Gateway) {
		return 0
	}
	return 1
}

func randomDelay(most time.Duration) time.Duration {
	n, err := rand.Int(rand.Reader, big.NewInt(int64(most)))
	if err != nil {
		return most
	}
	return time.Duration(n.Int64())
}

// silentSeeds returns the other seeds that have not answered recently.
func (f *founder) silentSeeds(now time.Time) []string {
	var silent []string
	for _, seed := range f.d.r.opts.InitialControllers {
		if at, ok := f.answered[seed.Gateway]; seed.Gateway != f.d.r.opts.Gateway && (!ok || now.Sub(at) > responseValidity) {
			silent = append(silent, seed.Addr)
		}
	}
	return silent
}

// logSilentSeeds names from time to time what the first start waits for.
func (f *founder) logSilentSeeds(waiting []waitingController, now time.Time) {
	if now.Sub(f.d.startedAt) < foundingPatience+ballotTimeout || now.Sub(f.loggedAt) < silentSeedLogs {
		return
	}
	f.loggedAt = now
	names := []string{}
	for _, c := range waiting {
		names = append(names, c.Member.Addr)
	}
	f.d.r.opts.Logger.Warn().Strs("silent_seeds", f.silentSeeds(now)).Strs("waiting_controllers", names).
		Bool("ballot", f.proposer.Active()).Msg("no group of controllers is chosen yet")
}

// waitingAddrs returns the addresses of the controllers without a group. One of them may have created it since.
func (f *founder) waitingAddrs() []string {
	var addrs []string
	for _, entry := range f.waiting {
		addrs = append(addrs, entry.Member.Addr)
	}
	return addrs
}
