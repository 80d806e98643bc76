package fleet

import (
	"context"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

func (r *rig) addWorkerIn(zone model.Zone, id string) *fakeWorker {
	r.t.Helper()
	w := r.workers.add(id, 1)
	w.worker.Zone, w.allAtWork = zone, true
	r.report(w)
	return w
}

func (r *rig) orderZone(zone model.Zone, evacuate bool) {
	r.t.Helper()
	r.untilKnown("zone order", func() (state.Code, error) {
		result, err := r.engine.OrderZone(context.Background(), ZoneOrder{Zone: zone, Evacuate: evacuate})
		return result.Code, err
	})
}

// Guards against tasks that stay in an evacuated zone or start there, and against a zone that remains
// evacuated after it was taken back.
func TestTasksLeaveAnEvacuatedZone(t *testing.T) {
	r := newRig(t)
	north := r.addWorkerIn("north", "a")
	r.submit("lasts", workflow.StepSpec{Count: 2, CPUMillis: 100, LongRunning: true, MaxUnavailable: 1})
	r.until("the tasks run", func() bool { return len(north.runningAttempts()) == 2 })
	r.orderZone("north", true)
	south := r.addWorkerIn("south", "b")
	r.until("the tasks have moved", func() bool { return len(north.runningAttempts()) == 0 && len(south.runningAttempts()) == 2 })
	r.orderZone("south", true)
	r.submit("waits", oneTask)
	zones, err := r.engine.EvacuatedZones(context.Background(), struct{}{})
	if err != nil || len(zones) != 2 || zones[1].LongRunning != 2 || zones[1].Workers != 1 {
		t.Errorf("evacuated zones: %+v, error %v", zones, err)
	}
	r.orderZone("north", false)
	r.until("the task runs in the zone that was taken back", func() bool { return len(north.runningAttempts()) == 1 })
	if attempt := north.runningAttempts()[0]; attempt.Task.Job != "waits" {
		t.Errorf("attempt %v runs in the zone", attempt)
	}
}

// Guards against an evacuation that ends with the leader that took the order.
func TestNextLeaderKeepsAnEvacuation(t *testing.T) {
	r := newRig(t)
	north := r.addWorkerIn("north", "a")
	r.submit("lasts", workflow.StepSpec{Count: 1, CPUMillis: 100, LongRunning: true})
	r.until("the task runs", func() bool { return len(north.runningAttempts()) == 1 })
	r.orderZone("north", true)
	r.stop()
	r.startEngine()
	r.until("the next leader leads", func() bool { return r.engine.currentLeadership() != nil })
	south := r.addWorkerIn("south", "b")
	r.until("the task has moved", func() bool { return len(north.runningAttempts()) == 0 && len(south.runningAttempts()) == 1 })
}
