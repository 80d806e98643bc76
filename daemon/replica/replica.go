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

// ErrBusy is returned by Propose if too many bytes wait to be committed; nothing was appended.
var ErrBusy = errors.New("too many proposals are in progress")

// ErrTooLarge is returned by Propose for a command above the size limit; nothing was appended.
var ErrTooLarge = errors.New("the command is too large")

// Replica is a Log that several controllers share.
//
// Its goroutines are the event loop, which owns the consensus node; the writer, which owns the
// storage; the applier, which alone changes the state; and one sender for each send queue, of
// which there are at most two for each other controller. stateMu is locked before mu.
type Replica struct {
	opts       Options
	store      *storage.Store
	writer     chan func() // to be called in the writer
	inputs     chan func() // to be called in the event loop
	stop       chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup

	proposals  chan struct{} // semaphore
	readSlots  chan struct{} // semaphore
	inboxBytes atomic.Int64  // size of the messages received and not yet handled

	// Owned by the event loop.
	node          *consensus.Node // nil until the directory belongs to a group
	discovery     discovery
	nextRead      uint64
	reads         map[uint64]chan<- readOutcome
	loggedMembers membershipState

	applier   applier
	transport transport

	stateMu sync.RWMutex // guards state
	state   *state.State

	mu      sync.Mutex // guards the fields below
	pending map[uint64]pendingProposal
	applied uint64
	changed chan struct{}
	leader  Leader
}

// pendingProposal is a proposal whose entry is not applied yet.
type pendingProposal struct {
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

// Open opens the data directory and starts the replica. Handler must be served at Options.Addr
// for the other controllers to reach the replica. If the directory is damaged, its content is
// moved aside and the replica joins its group with a new id, like a VM that lost its disk.
func Open(o Options) (*Replica, error) {
	if err := o.validateAndSetDefaults(); err != nil {
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
		pending:   map[uint64]pendingProposal{},
		changed:   make(chan struct{}),
		state:     state.New(),
	}
	r.applier.init(r)
	r.transport.init(r)
	r.discovery.init(r)
	if store.Identity().Group != "" {
		if err := r.startNode(); err != nil {
			store.Close()
			return nil, err
		}
	}
	r.goroutines.Add(3)
	go r.run()
	go r.runWriter()
	go r.applier.run()
	return r, nil
}

func openStore(o Options) (*storage.Store, error) {
	options := storage.Options{Dir: o.Dir, FileSystem: o.FileSystem}
	if !o.JoinOnly {
		options.Creators = o.initialGateways()
	}
	store, err := storage.Open(options)
	var damaged *storage.DamagedError
	if !errors.As(err, &damaged) || len(o.InitialControllers) < 2 {
		return store, err
	}
	o.Logger.Error().Err(err).Msg("data directory is damaged; moving its content aside and joining with a new id")
	if err := storage.MoveDamagedData(options); err != nil {
		return nil, fmt.Errorf("move the damaged data directory aside: %w", err)
	}
	if o.SeedsFound {
		options.Creators = "" // the damaged directory may have voted
	}
	return storage.Open(options)
}

// startNode restores the state and starts consensus. It runs before the event loop or in it.
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

// maxInputs is the maximum number of further inputs that are handled before the outputs.
const maxInputs = 256

// run is the event loop: it passes inputs to the node and carries out its outputs.
func (r *Replica) run() {
	defer r.goroutines.Done()
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			r.failPending(ErrClosed)
			return
		case <-ticker.C:
			r.tick()
		case f := <-r.inputs:
			f()
			r.drainInputs()
		}
		r.handleOutputs()
	}
}

func (r *Replica) drainInputs() {
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
	r.discovery.tick()
}

// handleOutputs carries out the outputs of the node.
func (r *Replica) handleOutputs() {
	if r.node == nil {
		return
	}
	out := r.node.TakeOutput()
	for _, m := range out.Messages {
		r.transport.send(m, r.addrOf(m.To))
	}
	if out.Write != nil {
		r.write(*out.Write)
	}
	if out.InstallSnapshot != nil {
		r.applier.enqueue(applyTask{install: true})
	}
	if len(out.Committed) > 0 {
		r.applier.enqueue(applyTask{entries: out.Committed})
	}
	for _, read := range out.Reads {
		r.endRead(read.ID, readOutcome{index: read.Index})
	}
	for _, id := range out.FailedReads {
		r.endRead(id, readOutcome{err: ErrNotLeader})
	}
	r.logDepartures(out.Departures)
	r.logMembership()
	r.publishLeader()
}

// write passes a write to the writer. At most one write is in progress, so the writer's channel
// has free capacity for compactions.
func (r *Replica) write(w consensus.Write) {
	f := func() {
		valid, err := r.store.Write(w)
		if err != nil {
			r.fatal(err)
			return
		}
		r.post(func() { r.node.WriteDone(w.Seq, valid) })
	}
	select {
	case r.writer <- f:
	case <-r.stop:
	}
}

// runWriter runs the functions that use the storage, in order.
func (r *Replica) runWriter() {
	defer r.goroutines.Done()
	for {
		select {
		case <-r.stop:
			return
		case f := <-r.writer:
			f()
		}
	}
}

// post queues f for the event loop. It reports false if the replica is closed.
func (r *Replica) post(f func()) bool {
	select {
	case r.inputs <- f:
		return true
	case <-r.stop:
		return false
	}
}

// fatal reports an error that the replica cannot recover from, and stops it.
func (r *Replica) fatal(err error) {
	r.opts.OnFatal(err)
	r.stopOnce.Do(func() { close(r.stop) })
}

// failProposals ends the proposals in progress with an error. The caller holds mu.
func (r *Replica) failProposals(err error) {
	for index, proposal := range r.pending {
		proposal.result <- proposalOutcome{err: err}
		delete(r.pending, index)
	}
}

// failPending ends the reads and proposals in progress with an error.
func (r *Replica) failPending(err error) {
	for id := range r.reads {
		r.endRead(id, readOutcome{err: err})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failProposals(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
}

func (r *Replica) endRead(id uint64, outcome readOutcome) {
	if c, ok := r.reads[id]; ok {
		delete(r.reads, id)
		c <- outcome
	}
}

// Leader returns the leader that this controller knows.
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

// View calls query with the local state, which may lag behind the committed commands.
func (r *Replica) View(query func(*state.State)) {
	r.stateMu.RLock()
	defer r.stateMu.RUnlock()
	query(r.state)
}

// Close stops the replica. Proposals in progress end with ErrOutcomeUnknown.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	r.transport.close()
	r.goroutines.Wait()
	return r.store.Close()
}

// Propose commits the command and returns the result of applying it. After any error except
// ErrOutcomeUnknown, nothing was appended.
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

// propose runs in the event loop.
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
		// This includes proposals during a transfer, after which another controller leads.
		result <- proposalOutcome{err: ErrNotLeader}
	default:
		r.mu.Lock()
		r.pending[index] = pendingProposal{term, result}
		r.mu.Unlock()
	}
}

// Read calls query with a state that includes every command committed before Read was called.
func (r *Replica) Read(ctx context.Context, query func(*state.State)) error {
	return r.read(ctx, (*consensus.Node).Read, query)
}

// ReadAtHeartbeat is like Read, but waits for the next heartbeat instead of sending one.
func (r *Replica) ReadAtHeartbeat(ctx context.Context, query func(*state.State)) error {
	return r.read(ctx, (*consensus.Node).ReadAtHeartbeat, query)
}

// readMethod is the method by which a read is registered with the node.
type readMethod func(n *consensus.Node, id uint64) error

func (r *Replica) read(ctx context.Context, register readMethod, query func(*state.State)) error {
	index, err := r.readIndex(ctx, register)
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

func (r *Replica) readIndex(ctx context.Context, register readMethod) (uint64, error) {
	select {
	case r.readSlots <- struct{}{}:
		defer func() { <-r.readSlots }()
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stop:
		return 0, ErrClosed
	}
	result := make(chan readOutcome, 1)
	if !r.post(func() { r.beginRead(register, result) }) {
		return 0, ErrClosed
	}
	select {
	case outcome := <-result:
		return outcome.index, outcome.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stop:
		return 0, ErrClosed
	}
}

// beginRead runs in the event loop.
func (r *Replica) beginRead(register readMethod, result chan<- readOutcome) {
	if r.node == nil {
		result <- readOutcome{err: ErrNotLeader}
		return
	}
	r.nextRead++
	if err := register(r.node, r.nextRead); err != nil {
		result <- readOutcome{err: ErrNotLeader}
		return
	}
	r.reads[r.nextRead] = result
}

// waitApplied waits until the entry with the index has been applied.
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
