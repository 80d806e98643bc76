package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/storage"
)

// ErrClosed is returned by operations on a replica that was closed.
var ErrClosed = errors.New("the replica is closed")

// ErrBusy is returned by Propose if too much is waiting to be committed; nothing was appended.
var ErrBusy = errors.New("too many proposals are in progress")

// ErrTooLarge is returned by Propose for a command above the size limit; nothing was appended.
var ErrTooLarge = errors.New("the command is too large")

// Replica is a Log that several controllers share.
//
// Its goroutines are: the loop, which owns the consensus node; the writer, which owns the
// storage; the applier, which is the only one to change the state; and two senders for each
// other controller. Locks are taken in the order stateMu, mu.
type Replica struct {
	opts   Options
	store  *storage.Store
	writer chan func()
	inputs chan func()
	stop   chan struct{}
	once   sync.Once
	group  sync.WaitGroup

	proposals chan struct{} // semaphore
	readSlots chan struct{} // semaphore
	inbox     atomic.Int64  // bytes received and not yet handled

	// Owned by the loop.
	node     *consensus.Node // nil until the directory belongs to a group
	forming  forming
	nextRead uint64
	reads    map[uint64]chan<- readOutcome

	applier applier
	lanes   lanes

	stateMu sync.RWMutex // guards state
	state   *state.State

	mu      sync.Mutex // guards the fields below
	waiters map[uint64]waiter
	applied uint64
	changed chan struct{}
	leader  Leader
}

// waiter is a proposal whose entry is not applied yet.
type waiter struct {
	term   uint64
	result chan<- proposalOutcome
}

type proposalOutcome struct {
	result state.Result
	err    error
}

type readOutcome struct {
	index uint64
	err   error
}

// Open opens the data directory and starts the replica. Handler must be served at
// Options.Addr for the replica to reach the others. If the directory is damaged its content
// is set aside, and the replica joins its group with a new id like a VM that lost its disk.
func Open(o Options) (*Replica, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	store, err := openStore(o)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		opts:      o,
		store:     store,
		writer:    make(chan func(), 16),
		inputs:    make(chan func(), 256),
		stop:      make(chan struct{}),
		proposals: make(chan struct{}, maxProposals),
		readSlots: make(chan struct{}, maxReads),
		reads:     map[uint64]chan<- readOutcome{},
		waiters:   map[uint64]waiter{},
		changed:   make(chan struct{}),
		state:     state.New(),
	}
	r.applier.init(r)
	r.lanes.init(r)
	r.forming.init(r)
	if store.Identity().Group != "" {
		if err := r.startNode(); err != nil {
			store.Close()
			return nil, err
		}
	}
	r.group.Add(3)
	go r.run()
	go r.runWriter()
	go r.applier.run()
	return r, nil
}

func openStore(o Options) (*storage.Store, error) {
	options := storage.Options{Dir: o.Dir, FileSystem: o.Files}
	store, err := storage.Open(options)
	var damaged *storage.DamagedError
	if !errors.As(err, &damaged) || len(o.InitialControllers) < 2 {
		return store, err
	}
	o.Logger.Error().Err(err).Msg("the data directory is set aside; this controller joins with a new id")
	if err := storage.MoveDamagedData(options); err != nil {
		return nil, fmt.Errorf("set the damaged data directory aside: %w", err)
	}
	return storage.Open(options)
}

// startNode restores the state and starts consensus. It runs before the loop or in it.
func (r *Replica) startNode() error {
	if err := r.applier.restore(); err != nil {
		return err
	}
	node, err := consensus.New(consensus.Options{
		ID:                  r.store.Identity().ID,
		Rand:                rand.New(rand.NewPCG(r.opts.Seed, 1)),
		HeartbeatTicks:      r.opts.HeartbeatTicks,
		ElectionTicks:       r.opts.ElectionTicks,
		MaxBatchBytes:       maxBatchBytes,
		MaxInflight:         maxInflight,
		MaxUncommittedBytes: maxUncommittedBytes,
		MaxVoters:           r.opts.MaxVoters,
		Saved:               r.store.Saved(),
	})
	if err != nil {
		return fmt.Errorf("start from %s: %w", r.opts.Dir, err)
	}
	r.node = node
	return nil
}

// maxInputs is the number of inputs that are taken before the outputs are handled.
const maxInputs = 256

// run is the loop: it gives inputs to the node and carries out its outputs.
func (r *Replica) run() {
	defer r.group.Done()
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			r.failAll(ErrClosed)
			return
		case <-ticker.C:
			r.tick()
		case f := <-r.inputs:
			f()
			r.takeMoreInputs()
		}
		r.drive()
	}
}

func (r *Replica) takeMoreInputs() {
	for range maxInputs {
		select {
		case f := <-r.inputs:
			f()
		default:
			return
		}
	}
}

func (r *Replica) tick() {
	if r.node != nil {
		r.node.Tick()
	}
	r.forming.tick()
}

// drive carries out what the node asks for.
func (r *Replica) drive() {
	if r.node == nil {
		return
	}
	out := r.node.TakeOutput()
	for _, m := range out.Messages {
		r.lanes.send(m, r.addrOf(m.To))
	}
	if out.Write != nil {
		r.write(*out.Write)
	}
	if out.InstallSnapshot != nil {
		r.applier.add(work{install: true})
	}
	if len(out.Committed) > 0 {
		r.applier.add(work{entries: out.Committed})
	}
	for _, read := range out.Reads {
		r.endRead(read.ID, readOutcome{index: read.Index})
	}
	for _, id := range out.FailedReads {
		r.endRead(id, readOutcome{err: ErrNotLeader})
	}
	r.publishLeader()
}

// write gives a write to the writer. There is at most one write in progress, and the
// writer's channel has room for the compactions beside it.
func (r *Replica) write(w consensus.Write) {
	job := func() {
		valid, err := r.store.Write(w)
		if err != nil {
			r.fatal(err)
			return
		}
		r.post(func() { r.node.WriteDone(w.Seq, valid) })
	}
	select {
	case r.writer <- job:
	case <-r.stop:
	}
}

// runWriter runs the jobs that touch the storage, in order.
func (r *Replica) runWriter() {
	defer r.group.Done()
	for {
		select {
		case <-r.stop:
			return
		case job := <-r.writer:
			job()
		}
	}
}

// post runs f in the loop.
func (r *Replica) post(f func()) bool {
	select {
	case r.inputs <- f:
		return true
	case <-r.stop:
		return false
	}
}

func (r *Replica) fatal(err error) {
	r.opts.OnFatal(err)
	r.once.Do(func() { close(r.stop) })
}

// publishLeader makes a change of the leader visible.
func (r *Replica) publishLeader() {
	now := Leader{Term: r.node.Term(), Self: r.node.Role() == consensus.RoleLeader}
	if member, ok := r.node.Members().Find(r.node.Leader()); ok {
		now.ID = member.Gateway
		now.PeerAddr = member.Addr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == now {
		return
	}
	if r.leader.Self && (!now.Self || now.Term != r.leader.Term) {
		r.failWaiters(ErrOutcomeUnknown)
	}
	r.opts.Logger.Info().Str("leader", string(now.ID)).Uint64("term", now.Term).Msg("leader changed")
	r.leader = now
	r.wake()
}

// wake closes the channel of Changed; mu is held.
func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// failWaiters ends the proposals in progress; mu is held.
func (r *Replica) failWaiters(err error) {
	for index, w := range r.waiters {
		w.result <- proposalOutcome{err: err}
		delete(r.waiters, index)
	}
}

func (r *Replica) failAll(err error) {
	for id := range r.reads {
		r.endRead(id, readOutcome{err: err})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failWaiters(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
}

func (r *Replica) endRead(id uint64, outcome readOutcome) {
	if c, ok := r.reads[id]; ok {
		delete(r.reads, id)
		c <- outcome
	}
}

// Leader returns the leader that is known now.
func (r *Replica) Leader() Leader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// Changed returns a channel that is closed when the next command has been applied or the
// leader has changed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// View calls query with the local state, which may be behind.
func (r *Replica) View(query func(*state.State)) {
	r.stateMu.RLock()
	defer r.stateMu.RUnlock()
	query(r.state)
}

// Close stops the replica. Proposals in progress end with ErrOutcomeUnknown.
func (r *Replica) Close() error {
	r.once.Do(func() { close(r.stop) })
	r.lanes.close()
	r.group.Wait()
	return r.store.Close()
}

// Propose commits the command and answers the result of applying it. Besides ErrNotLeader,
// nothing was appended with ErrBusy, ErrTooLarge, or an error that is not ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if c.ProposedAt == 0 {
		c.ProposedAt = model.Millis(time.Now().UnixMilli())
	}
	data, err := model.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	if len(data) > maxCommandBytes {
		return state.Result{}, fmt.Errorf("%w: it has %d bytes, at most %d are allowed", ErrTooLarge, len(data), maxCommandBytes)
	}
	select {
	case r.proposals <- struct{}{}:
		defer func() { <-r.proposals }()
	case <-ctx.Done():
		return state.Result{}, ctx.Err()
	case <-r.stop:
		return state.Result{}, ErrClosed
	}
	result := make(chan proposalOutcome, 1)
	if !r.post(func() { r.propose(data, result) }) {
		return state.Result{}, ErrClosed
	}
	select {
	case outcome := <-result:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return state.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-r.stop:
		return state.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrClosed)
	}
}

// propose runs in the loop.
func (r *Replica) propose(data []byte, result chan<- proposalOutcome) {
	if r.node == nil {
		result <- proposalOutcome{err: ErrNotLeader}
		return
	}
	index, term, err := r.node.Propose(data)
	switch {
	case errors.Is(err, consensus.ErrUncommittedLimit):
		result <- proposalOutcome{err: ErrBusy}
	case err != nil:
		// During a transfer the next leader is about to be elected.
		result <- proposalOutcome{err: ErrNotLeader}
	default:
		r.mu.Lock()
		r.waiters[index] = waiter{term, result}
		r.mu.Unlock()
	}
}

// Read calls query with a state that includes every command committed before Read was called.
func (r *Replica) Read(ctx context.Context, query func(*state.State)) error {
	return r.read(ctx, (*consensus.Node).Read, query)
}

// ReadAtHeartbeat calls query as Read does, but waits for the next heartbeat instead of
// causing one.
func (r *Replica) ReadAtHeartbeat(ctx context.Context, query func(*state.State)) error {
	return r.read(ctx, (*consensus.Node).ReadAtHeartbeat, query)
}

// ask is the call by which a read enters the node.
type ask func(n *consensus.Node, id uint64) error

func (r *Replica) read(ctx context.Context, ask ask, query func(*state.State)) error {
	index, err := r.readIndex(ctx, ask)
	if err != nil {
		return err
	}
	if err := r.waitApplied(ctx, index); err != nil {
		return err
	}
	r.View(query)
	return nil
}

// Confirm returns when a quorum has confirmed, after the call began, that this controller
// is the leader.
func (r *Replica) Confirm(ctx context.Context) error {
	_, err := r.readIndex(ctx, (*consensus.Node).Read)
	return err
}

func (r *Replica) readIndex(ctx context.Context, ask ask) (uint64, error) {
	select {
	case r.readSlots <- struct{}{}:
		defer func() { <-r.readSlots }()
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stop:
		return 0, ErrClosed
	}
	answer := make(chan readOutcome, 1)
	if !r.post(func() { r.beginRead(ask, answer) }) {
		return 0, ErrClosed
	}
	select {
	case outcome := <-answer:
		return outcome.index, outcome.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stop:
		return 0, ErrClosed
	}
}

// beginRead runs in the loop.
func (r *Replica) beginRead(ask ask, answer chan<- readOutcome) {
	if r.node == nil {
		answer <- readOutcome{err: ErrNotLeader}
		return
	}
	r.nextRead++
	if err := ask(r.node, r.nextRead); err != nil {
		answer <- readOutcome{err: ErrNotLeader}
		return
	}
	r.reads[r.nextRead] = answer
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		r.mu.Lock()
		applied, changed := r.applied, r.changed
		r.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stop:
			return ErrClosed
		}
	}
}
