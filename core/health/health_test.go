package health_test

import (
	"fmt"
	"testing"

	"samphirepaddle.example/core/health"
	"samphirepaddle.example/core/model"
)

// Guards against a worker on which every task fails attracting all work: it must be
// quarantined after failures of three different jobs and run one probe at a time.
func TestTargetThatFailsEverythingIsQuarantined(t *testing.T) {
	tracker := health.New(health.Config{})
	var changes []health.Change
	for i := range 3 {
		changes = tracker.Failed(model.JobID(fmt.Sprint("job-", i)), "w1", model.Millis(i))
	}
	if len(changes) != 1 || changes[0].Target != "w1" || !changes[0].Quarantine {
		t.Fatalf("changes = %+v, want quarantine of w1", changes)
	}
	if due := tracker.ProbeDue(20_000); len(due) != 1 {
		t.Fatalf("probes due = %v, want w1", due)
	}
	if !tracker.StartProbe("w1", "p1") || tracker.StartProbe("w1", "p2") {
		t.Fatal("exactly one probe may be in progress")
	}
	tracker.Failed("p1", "w1", 21_000)
	if due := tracker.ProbeDue(40_000); len(due) != 0 {
		t.Fatalf("probes due = %v, want none, because the delay doubles after a failed probe", due)
	}
	for i := range 2 {
		job := model.JobID(fmt.Sprint("ok-", i))
		tracker.StartProbe("w1", job)
		changes = tracker.Succeeded(job, "w1", 60_000)
	}
	if len(changes) != 1 || changes[0].Quarantine || tracker.Quarantined("w1") {
		t.Fatalf("changes = %+v, want the end of the quarantine", changes)
	}
}

// Guards against healthy targets being quarantined because of a job that fails everywhere.
func TestJobThatFailsEverywhereIsGivenUp(t *testing.T) {
	tracker := health.New(health.Config{})
	var changes []health.Change
	for i := range 3 {
		changes = tracker.Failed("bad", model.TargetID(fmt.Sprint("w", i)), model.Millis(i))
	}
	if len(changes) != 1 || changes[0].Job != "bad" {
		t.Fatalf("changes = %+v, want job bad given up", changes)
	}
	for i := range 3 {
		if tracker.Quarantined(model.TargetID(fmt.Sprint("w", i))) {
			t.Fatalf("target w%d is quarantined for the job's failures", i)
		}
	}
}

// Guards against targets being quarantined because several faulty jobs fail on the same
// targets while other jobs succeed there.
func TestFaultyJobsDoNotQuarantineTargets(t *testing.T) {
	tracker := health.New(health.Config{})
	for round := range 3 {
		for j := range 4 {
			target := model.TargetID(fmt.Sprint("w", (round+j)%4))
			for _, change := range tracker.Failed(model.JobID(fmt.Sprint("bad-", j)), target, model.Millis(round)) {
				if change.Quarantine {
					t.Fatalf("round %d: %+v", round, change)
				}
			}
			tracker.Succeeded(model.JobID(fmt.Sprint("good-", round, "-", j)), target, model.Millis(round))
		}
	}
}
