package replica

import (
	"fmt"
	"sync"
	"sync/atomic"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// applyTask is one item of the applier's queue.
type applyTask struct {
	install bool // first replace the state by the newest snapshot
	entries []consensus.Entry
}

// applier applies committed entries and takes snapshots in a goroutine of its own, so that
// encoding a large snapshot delays neither heartbeats nor queries. Nothing else changes the
// state.
type applier struct {
	r *Replica

	mu    sync.Mutex
	queue []applyTask // bounded by the node's log, which keeps entries until they are applied
	ready chan struct{}

	// Used by the applier's goroutine only, except by restore before the node starts.
	index              uint64
	term               uint64
	members            consensus.Membership
	bytesSinceSnapshot int           // size of the entries applied since the last snapshot
	saveSlot           chan struct{} // holds a value while a snapshot is written
	snapshotSize       atomic.Int64  // of the last snapshot, in bytes; set by the goroutine that saves it
}

// maxApplyBatch is the number of entries that are applied under one lock, so that queries do not
// wait for a long run of entries.
const maxApplyBatch = 64

func (a *applier) init(r *Replica) {
	a.r = r
	a.ready = make(chan struct{}, 1)
	a.saveSlot = make(chan struct{}, 1)
}

func (a *applier) enqueue(task applyTask) {
	a.mu.Lock()
	a.queue = append(a.queue, task)
	a.mu.Unlock()
	select {
	case a.ready <- struct{}{}:
	default:
	}
}

func (a *applier) run() {
	defer a.r.goroutines.Done()
	for {
		select {
		case <-a.r.stop:
			return
		case <-a.ready:
		}
		a.mu.Lock()
		queue := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, task := range queue {
			a.handle(task)
		}
	}
}

// handle carries out one task and then takes a snapshot if one is due.
func (a *applier) handle(task applyTask) {
	if task.install {
		if err := a.restore(); err != nil {
			a.r.fatal(err)
			return
		}
	}
	for len(task.entries) > 0 {
		step := min(maxApplyBatch, len(task.entries))
		a.apply(task.entries[:step])
		task.entries = task.entries[step:]
	}
	a.maybeSnapshot()
}

// restore replaces the state by the newest snapshot unless the state already includes it.
func (a *applier) restore() error {
	snapshot, data, err := a.r.store.LoadSnapshot()
	if err != nil || snapshot.Index <= a.index {
		return err
	}
	restored, err := state.Restore(data)
	if err != nil {
		return fmt.Errorf("restore snapshot %d: %w", snapshot.Index, err)
	}
	a.index, a.term, a.members = snapshot.Index, snapshot.Term, snapshot.Members
	a.bytesSinceSnapshot = 0
	a.snapshotSize.Store(int64(len(data)))
	a.r.stateMu.Lock()
	a.r.state = restored
	a.r.stateMu.Unlock()
	a.publishApplied(nil)
	return nil
}

func (a *applier) apply(entries []consensus.Entry) {
	outcomes := make([]proposalOutcome, len(entries))
	a.r.stateMu.Lock()
	for i, e := range entries {
		outcomes[i] = a.applyEntry(e)
	}
	a.r.stateMu.Unlock()
	a.publishApplied(func() {
		for i, e := range entries {
			a.completeProposal(e, outcomes[i])
		}
	})
}

func (a *applier) applyEntry(e consensus.Entry) proposalOutcome {
	if e.Index != a.index+1 {
		panic(fmt.Sprintf("replica: entry %d is to be applied after entry %d", e.Index, a.index))
	}
	a.index = e.Index
	a.term = e.Term
	a.bytesSinceSnapshot += len(e.Data)
	switch e.Kind {
	case consensus.EntryMembership:
		members, err := consensus.DecodeMembership(e.Data)
		if err == nil {
			a.members = members
		}
	case consensus.EntryCommand:
		var c state.Command
		// A command that this version cannot decode is applied as an empty one, which changes
		// only the revision.
		if err := model.Decode(e.Data, &c); err != nil {
			a.r.opts.Logger.Error().Err(err).Uint64("index", e.Index).Msg("cannot decode committed command; applying an empty one")
			c = state.Command{}
		}
		return proposalOutcome{result: a.r.state.Apply(model.Revision(e.Index), c)}
	}
	return proposalOutcome{}
}

// completeProposal delivers the outcome to the proposal that waits for the entry. The outcome is
// unknown if the entry has another term than the proposal. The caller holds r.mu.
func (a *applier) completeProposal(e consensus.Entry, outcome proposalOutcome) {
	proposal, ok := a.r.pending[e.Index]
	if !ok {
		return
	}
	delete(a.r.pending, e.Index)
	if proposal.term != e.Term {
		outcome = proposalOutcome{err: ErrOutcomeUnknown}
	}
	proposal.result <- outcome
}

// publishApplied publishes the index of the last applied entry and wakes the calls that wait for
// it. It calls complete, if it is not nil, with r.mu held.
func (a *applier) publishApplied(complete func()) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.applied = a.index
	if complete != nil {
		complete()
	}
	a.r.notifyChanged()
}

// maybeSnapshot takes a snapshot when the log has grown enough. It captures the state without a
// lock, because only the applier changes it. Another goroutine encodes and writes the capture, so
// that later commands do not wait for a large state.
func (a *applier) maybeSnapshot() {
	if a.bytesSinceSnapshot < max(a.r.opts.SnapshotBytes, int(a.snapshotSize.Load())) {
		return
	}
	select {
	case a.saveSlot <- struct{}{}:
	default:
		return // the previous snapshot is still being written
	}
	capture := a.r.state.Capture()
	snapshot := consensus.Snapshot{Index: a.index, Term: a.term, Members: a.members}
	a.bytesSinceSnapshot = 0
	a.r.goroutines.Add(1)
	go a.save(snapshot, capture)
}

func (a *applier) save(snapshot consensus.Snapshot, capture *state.Capture) {
	defer a.r.goroutines.Done()
	defer func() { <-a.saveSlot }()
	data, err := capture.Encode()
	if err != nil {
		a.r.fatal(fmt.Errorf("encode snapshot %d: %w", snapshot.Index, err))
		return
	}
	a.snapshotSize.Store(int64(len(data)))
	saved, err := a.r.store.SaveSnapshot(snapshot, data)
	if err != nil {
		a.r.fatal(err)
		return
	}
	a.r.post(func() { a.r.compact(saved) })
}

// compact removes the log entries that a snapshot covers, except the last KeepBytes. It runs in
// the event loop.
func (r *Replica) compact(snapshot consensus.Snapshot) {
	index := r.node.SnapshotSaved(snapshot, r.opts.KeepBytes)
	if index == 0 {
		return
	}
	f := func() {
		if err := r.store.Compact(index); err != nil {
			r.fatal(err)
		}
	}
	select {
	case r.writer <- f:
	case <-r.stop:
	}
}
