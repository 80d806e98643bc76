package state

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

func evacuate(zone model.Zone, on bool) Command {
	return Command{EvacuateZone: &EvacuateZone{Zone: zone, Evacuated: on}}
}

func (f *fixture) addWorkers(workers ...workflow.Worker) {
	f.t.Helper()
	f.ok(Command{Workflow: &workflow.Command{Batch: &workflow.Batch{Workers: workers}}})
}

func zoneWorker(id string, zone model.Zone) workflow.Worker {
	return workflow.Worker{Incarnation: workflow.Incarnation{Worker: workflow.WorkerID(id), StartedAt: 1}, Service: "s", Zone: zone, CPUMillis: 1000}
}

// Guards against an order that is refused when it is sent again, against one for a zone that does not exist,
// and against orders that are lost with a snapshot.
func TestEvacuationsAreOrdersOfTheirOwn(t *testing.T) {
	f := newFixture(t)
	f.addWorkers(zoneWorker("a", "north"), zoneWorker("b", "south"))
	f.expect(CodeNotFound, evacuate("nowhere", true))
	f.expect(CodeNotFound, evacuate("nowhere", false))
	f.expect(CodeInvalid, evacuate("no/zone", true))
	f.expect(CodeRepeated, evacuate("north", false))
	f.ok(evacuate("north", true))
	revision := f.s.Revision
	f.ok(evacuate("south", true))
	if got := f.expect(CodeRepeated, evacuate("north", true)); got.Revision != revision {
		t.Errorf("the repeated order names revision %d, want that of the first, %d", got.Revision, revision)
	}
	f.ok(evacuate("south", false))
	f.ok(Command{EvacuateZone: &EvacuateZone{Zone: "planned", Evacuated: true, Declared: true}})
	data, err := f.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []*State{f.s, restored} {
		if got := s.EvacuatedZones(); len(got) != 2 || got[0] != "north" || got[1] != "planned" {
			t.Errorf("evacuated zones are %v", got)
		}
		if !s.Workflows.IsEvacuated("north") || s.Workflows.IsEvacuated("south") {
			t.Error("the workflows do not follow the orders")
		}
	}
}

// Guards against an assignment that was planned before an evacuation and is committed after it, and against
// a target that joins an evacuated zone and takes work.
func TestNoWorkStartsInAnEvacuatedZone(t *testing.T) {
	f := newFixture(t)
	w := zoneWorker("a", "north")
	f.addWorkers(w)
	f.ok(Command{SubmitTicket: &SubmitTicket{model.Ticket{Number: 2, Routing: &model.Routing{
		Routes:   []model.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", TimeoutMs: 1000}},
		Services: []model.WorkerService{{Name: "s"}},
	}}}})
	f.ok(Command{Workflow: &workflow.Command{Submit: &workflow.Submission{Host: "h", Path: "/q/j", Steps: []workflow.StepSpec{{Count: 1}}}}})
	assign := Command{Workflow: &workflow.Command{Batch: &workflow.Batch{Assign: []workflow.Assignment{{
		Attempt: workflow.Attempt{Task: workflow.TaskKey{Job: "j"}, Number: 1}, Incarnation: w.Incarnation,
	}}}}}
	f.ok(evacuate("north", true))
	f.ok(assign)
	if f.s.Workflows.HasOpen(w.Incarnation) {
		t.Error("a task was assigned in the evacuated zone")
	}
	f.ok(Command{JoinTarget: &JoinTarget{Target: "t2", StartID: "p", Zone: "north", Pool: "shops", Capacity: model.Resources{Slots: 8}}})
	if !f.s.Targets["t2"].Evacuated || f.s.Targets["t1"].Evacuated {
		t.Errorf("evacuated targets: t1 %v, t2 %v", f.s.Targets["t1"].Evacuated, f.s.Targets["t2"].Evacuated)
	}
	f.ok(evacuate("north", false))
	f.ok(assign)
	if !f.s.Workflows.HasOpen(w.Incarnation) || f.s.Targets["t2"].Evacuated {
		t.Error("the zone takes no work after it was taken back")
	}
}
