package state

import (
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against an owner that was frozen and closes an attempt that a later owner has
// started again, which would run the job twice.
func TestEndOfEarlierOwnerIsStale(t *testing.T) {
	s := New()
	id := model.AttemptID{Job: "j", Number: 1}
	s.Targets["t"] = &Target{ID: "t", Epoch: 9, Owner: "g2"}
	s.Jobs["j"] = &Job{Phase: JobAssigned, Attempts: 1, OpenAttempt: &Attempt{ID: id, Target: "t", Epoch: 5}}
	late := Command{EndAttempt: &EndAttempt{Attempt: id, Outcome: OutcomeRefused, Epoch: 5}}
	if result := s.Apply(1, late); result.Code != CodeStale || s.Jobs["j"].Phase != JobAssigned {
		t.Errorf("end under the earlier epoch: %+v, job %s", result, s.Jobs["j"].Phase)
	}
	present := Command{EndAttempt: &EndAttempt{Attempt: id, Outcome: OutcomeRefused, Epoch: 9}}
	if result := s.Apply(2, present); !result.OK() || s.Jobs["j"].Phase != JobQueued {
		t.Errorf("end under the present epoch: %+v, job %s", result, s.Jobs["j"].Phase)
	}
}
