package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/bootclock"
	"samphirepaddle.example/daemon/replica"
)

// leaderLease is the period in which no other controller can become the leader. Each heartbeat
// that a quorum acknowledges renews it, counted from when the heartbeat was requested.
type leaderLease struct {
	until atomic.Int64 // bootclock.Time
}

// renewTimeout bounds the wait until a quorum acknowledges one heartbeat.
const renewTimeout = 2 * time.Second

func (l *leaderLease) valid(now bootclock.Time) bool { return now < bootclock.Time(l.until.Load()) }

func (l *leaderLease) revoke() { l.until.Store(0) }

// renew renews the lease until ctx is done, then revokes it.
func (l *leaderLease) renew(ctx context.Context, log replica.Log, length time.Duration) {
	for ctx.Err() == nil {
		requestedAt := bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := log.ReadAtHeartbeat(callCtx, func(*state.State) {})
		cancel()
		if err != nil {
			timer := time.NewTimer(leaseRetryDelay)
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		l.until.Store(int64(requestedAt.Add(length)))
	}
	l.revoke()
}

const leaseRetryDelay = 20 * time.Millisecond
