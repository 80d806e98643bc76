package owner

import (
	"math"
	"net/http"
	"strings"
	"testing"

	"samphirepaddle.example/core/state"
)

// Guards against a job that no target can start and that holds its room at the first one for good.
func TestStartThatAlwaysFailsIsGivenUp(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.error = map[string]int{"tasks": http.StatusInternalServerError}
	f.own(order(5))
	f.run()
	f.mustReport(1, nil)
	f.eventually("the end of the attempt", func() bool { return len(f.proposer.ends()) > 0 })
	end := f.proposer.ends()[0]
	if end.Outcome != state.OutcomeFailed || !strings.Contains(end.Message, "status 500") {
		t.Errorf("the attempt ended as %+v", end)
	}
	if f.target.count("stop") == 0 {
		t.Error("the attempt was not stopped")
	}
}

// Guards against a start without a response that is repeated for good, and against counting it as a failure of the job.
func TestStartWithoutResponseIsGivenUp(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.fail["tasks"] = math.MaxInt
	f.own(order(5))
	f.run()
	f.mustReport(1, nil)
	f.eventually("the end of the attempt", func() bool { return len(f.proposer.ends()) > 0 })
	if end := f.proposer.ends()[0]; end.Outcome != state.OutcomeRefused || f.target.count("stop") == 0 {
		t.Errorf("the attempt ended as %+v, %d stops", end, f.target.count("stop"))
	}
}
