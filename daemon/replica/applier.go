package replica

import (
	"fmt"
	"sync"
	"sync/atomic"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// work is what the loop hands to the applier, in order.
type work struct {
	install bool // replace the state by the newest snapshot
	entries []consensus.Entry
}

// applier applies committed entries and takes snapshots. It is the only one that changes
// the state, so that encoding a large snapshot delays neither heartbeats nor queries.
type applier struct {
	r *Replica

	mu    sync.Mutex
	queue []work // bounded by the node's log: its entries are not compacted before they are applied
	ready chan struct{}

	// Owned by the applier's goroutine, but for restore before the node starts.
	index      uint64
	term       uint64
	members    consensus.Membership
	sinceBytes int // applied since the last snapshot
	saving     chan struct{}
	lastSize   atomic.Int64 // bytes of the last snapshot; set by the goroutine that saves it
}

// applyStep is the number of entries that are applied under one lock, so that queries do
// not wait for a long run of entries.
const applyStep = 64

func (a *applier) init(r *Replica) {
	a.r = r
	a.ready = make(chan struct{}, 1)
	a.saving = make(chan struct{}, 1)
}

func (a *applier) add(w work) {
	a.mu.Lock()
	a.queue = append(a.queue, w)
	a.mu.Unlock()
	select {
	case a.ready <- struct{}{}:
	default:
	}
}

func (a *applier) run() {
	defer a.r.group.Done()
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
		for _, w := range queue {
			a.handle(w)
		}
	}
}

func (a *applier) handle(w work) {
	if w.install {
		if err := a.restore(); err != nil {
			a.r.fatal(err)
			return
		}
	}
	for len(w.entries) > 0 {
		step := min(applyStep, len(w.entries))
		a.apply(w.entries[:step])
		w.entries = w.entries[step:]
	}
	a.maybeSnapshot()
}

// restore replaces the state by the newest snapshot.
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
	a.sinceBytes = 0
	a.lastSize.Store(int64(len(data)))
	a.r.stateMu.Lock()
	a.r.state = restored
	a.r.stateMu.Unlock()
	a.publish(nil)
	return nil
}

func (a *applier) apply(entries []consensus.Entry) {
	outcomes := make([]proposalOutcome, len(entries))
	a.r.stateMu.Lock()
	for i, e := range entries {
		outcomes[i] = a.applyOne(e)
	}
	a.r.stateMu.Unlock()
	a.publish(func() {
		for i, e := range entries {
			a.answer(e, outcomes[i])
		}
	})
}

func (a *applier) applyOne(e consensus.Entry) proposalOutcome {
	if e.Index != a.index+1 {
		panic(fmt.Sprintf("replica: entry %d is to be applied after entry %d", e.Index, a.index))
	}
	a.index = e.Index
	a.term = e.Term
	a.sinceBytes += len(e.Data)
	switch e.Kind {
	case consensus.EntryMembership:
		members, err := consensus.DecodeMembership(e.Data)
		if err == nil {
			a.members = members
		}
	case consensus.EntryCommand:
		var c state.Command
		// A command that this version cannot read is applied as an empty one, which changes
		// nothing but the revision.
		if err := model.Decode(e.Data, &c); err != nil {
			a.r.opts.Logger.Error().Err(err).Uint64("index", e.Index).Msg("a committed command cannot be read")
			c = state.Command{}
		}
		return proposalOutcome{result: a.r.state.Apply(model.Revision(e.Index), c)}
	}
	return proposalOutcome{}
}

// answer ends the proposal of the entry; mu of the replica is held.
func (a *applier) answer(e consensus.Entry, outcome proposalOutcome) {
	w, ok := a.r.waiters[e.Index]
	if !ok {
		return
	}
	delete(a.r.waiters, e.Index)
	if w.term != e.Term {
		outcome = proposalOutcome{err: ErrOutcomeUnknown}
	}
	w.result <- outcome
}

func (a *applier) publish(answer func()) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.applied = a.index
	if answer != nil {
		answer()
	}
	a.r.wake()
}

// maybeSnapshot takes a snapshot when the log has grown enough. The state is captured here,
// without a lock because nobody else changes it; another goroutine encodes and writes it, so
// that later commands do not wait for a large state.
func (a *applier) maybeSnapshot() {
	if a.sinceBytes < max(a.r.opts.SnapshotBytes, int(a.lastSize.Load())) {
		return
	}
	select {
	case a.saving <- struct{}{}:
	default:
		return // the one before is still being written
	}
	capture := a.r.state.Capture()
	snapshot := consensus.Snapshot{Index: a.index, Term: a.term, Members: a.members}
	a.sinceBytes = 0
	a.r.group.Add(1)
	go a.save(snapshot, capture)
}

func (a *applier) save(snapshot consensus.Snapshot, capture *state.Capture) {
	defer a.r.group.Done()
	defer func() { <-a.saving }()
	data, err := capture.Encode()
	if err != nil {
		a.r.fatal(fmt.Errorf("encode snapshot %d: %w", snapshot.Index, err))
		return
	}
	a.lastSize.Store(int64(len(data)))
	saved, err := a.r.store.SaveSnapshot(snapshot, data)
	if err != nil {
		a.r.fatal(err)
		return
	}
	a.r.post(func() { a.r.compact(saved) })
}

// compact runs in the loop.
func (r *Replica) compact(snapshot consensus.Snapshot) {
	index := r.node.SnapshotSaved(snapshot, r.opts.KeepBytes)
	if index == 0 {
		return
	}
	job := func() {
		if err := r.store.Compact(index); err != nil {
			r.fatal(err)
		}
	}
	select {
	case r.writer <- job:
	case <-r.stop:
	}
}
