package replica

import (
	"context"
	"time"

	"samphirepaddle.example/core/consensus"
)

// Leave hands the leadership over and announces the end of the process, so that the leader can replace
// this voter by a learner at once. It returns when the leader has done so, or when it knows that no
// learner can take over. A leader of an earlier version does not respond to the announcement, so that
// part ends after the minimum election timeout. A controller calls Leave before a graceful shutdown.
func (r *Replica) Leave(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if _, err := r.leave(ctx, (*consensus.Node).Leave); err != nil {
		return err
	}
	if r.Leader().Self {
		if err := r.TransferLeadership(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.opts.ElectionTicks)*r.opts.Tick)
	defer cancel()
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for {
		done, err := r.leave(ctx, func(*consensus.Node) {})
		if done || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leave calls f with the consensus node and reports whether this controller may end: the leader knows
// that it leaves, or it has no vote that other voters could need.
func (r *Replica) leave(ctx context.Context, f func(*consensus.Node)) (done bool, err error) {
	result := make(chan bool, 1)
	ok := r.post(func() {
		if r.node == nil {
			result <- true
			return
		}
		f(r.node)
		members := r.node.Members()
		result <- r.node.LeaveKnown() || !members.IsVoter(r.identity().ID) || members.Voters() == 1
	})
	if !ok {
		return false, ErrClosed
	}
	select {
	case done := <-result:
		return done, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-r.stop:
		return false, ErrClosed
	}
}

// logDepartures logs the voters that shut down; it runs in the event loop of the leader.
func (r *Replica) logDepartures(departures []consensus.Departure) {
	for _, d := range departures {
		voter, _ := r.node.Members().Find(d.ID)
		line := r.opts.Logger.Info().Str("gateway", string(voter.Gateway)).Str("id", string(d.ID))
		if d.Successor == "" {
			line.Msg("controller shuts down and no learner can replace it; the membership stays")
			continue
		}
		successor, _ := r.node.Members().Find(d.Successor)
		line.Str("successor", string(successor.Gateway)).Msg("controller shuts down; a learner replaces it once it has caught up")
	}
}
