package fleet

import (
	"context"
	"hash/fnv"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
)

// Reporter takes workers' heartbeats.
type Reporter interface {
	ReportWorker(ctx context.Context, r WorkerReport) error
}

// Control is what the platform's handlers of workers' and operators' requests need.
type Control struct {
	Client   *Client
	Reporter Reporter
	// HeartbeatAddr returns the address to which a worker should send its next heartbeats, or an
	// empty string if none is known.
	HeartbeatAddr func(workflow.WorkerID) string
	Zones         []model.Zone // zones of the settings
}

// HeartbeatMember returns a controller for the worker's heartbeats, so that those of all workers
// spread over the controllers. It is the address for daemons that are not controllers themselves.
func (c *Client) HeartbeatMember(worker workflow.WorkerID) string {
	members := c.MemberAddrs()
	if len(members) == 0 {
		return c.LeaderAddr()
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(worker)) // writes to a hash do not fail
	return members[int(hash.Sum32()%uint32(len(members)))]
}

// LocalReporter takes heartbeats on a controller. It answers those that change nothing from the
// controller's own state, which only lags behind, and passes the others to the leader. Each worker
// sends a heartbeat every one or two seconds, nearly all of them without news: the leader alone
// could not answer those of a thousand workers beside its other work.
type LocalReporter struct {
	Log    replica.Log
	Leader Reporter
}

var (
	_ Reporter = LocalReporter{}
	_ Reporter = (*Client)(nil)
)

// ReportWorker handles a worker's heartbeat.
func (l LocalReporter) ReportWorker(ctx context.Context, r WorkerReport) error {
	if l.recorded(r) {
		return nil
	}
	return l.Leader.ReportWorker(ctx, r)
}

// recorded reports whether the state already contains everything that the leader needs to know of
// the heartbeat. The leader also needs the remaining time of a draining worker, which is not
// recorded.
func (l LocalReporter) recorded(r WorkerReport) bool {
	if r.Worker.Draining {
		return false
	}
	recorded := false
	l.Log.View(func(st *state.State) {
		w, ok := st.Workflows.Workers[r.Worker.Incarnation.Worker]
		recorded = ok && !w.Deregistered && sameReport(*w, r.Worker)
	})
	return recorded
}
