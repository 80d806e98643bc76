package fleet

import (
	"context"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// configure sends queue q to a service with a ticket of the given number.
func (r *rig) configure(number uint64, service string) {
	r.t.Helper()
	ticket := model.Ticket{Number: number, Routing: &model.Routing{
		Routes:   []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: service, TimeoutMs: 1000, MaxAttempts: 2}},
		Services: []model.WorkerService{{Name: "s"}, {Name: "empty"}},
	}}
	r.untilKnown("ticket", func() (state.Code, error) {
		result, err := r.engine.Configure(context.Background(), ticket)
		return result.Code, err
	})
}

// Guards against an accepted job that stays queued for ever because its queue was sent to another service since.
func TestAcceptedJobFollowsItsQueue(t *testing.T) {
	r := newRig(t)
	a := r.addWorker("a", 1)
	r.configure(2, "empty")
	r.submit("j", oneTask)
	r.configure(3, "s")
	r.until("the job runs on a worker of the service", func() bool { return len(a.runningAttempts()) == 1 })
}
