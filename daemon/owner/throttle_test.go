package owner

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

func (f *fixture) throttleTo(level float64) {
	f.table.SetThrottles(syncmsg.Throttles{Attempts: []syncmsg.Throttle{{Attempt: jobOne, Level: level}}})
}

// throttled returns a condition: the last throttle call with a response had this body.
func (f *fixture) throttled(body string) func() bool {
	return func() bool {
		f.target.mu.Lock()
		defer f.target.mu.Unlock()
		return f.target.sent["throttle"] == body
	}
}

func runsJobOne(a *model.Announcement) { a.Running = []model.AttemptID{jobOne} }

// Guards against a throttle that never reaches the target, one that is not retried when its
// response is lost, and a task that stays throttled after the throttle is lifted.
func TestThrottleReachesTheTargetAndIsRaised(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.fail["throttle"] = 1
	f.own(order(5))
	f.mustReport(1, nil)
	f.run()
	f.eventually("the task is started", func() bool { return f.target.count("tasks") == 1 })
	f.throttleTo(0.5)
	f.eventually("the throttle is repeated", f.throttled(`{"level":0.5}`))
	f.table.SetThrottles(syncmsg.Throttles{})
	f.eventually("the level is raised", f.throttled(`{"level":1}`))
	if calls := f.target.count("throttle"); calls != 3 {
		t.Errorf("%d throttle calls, want 3", calls)
	}
}

// Guards against a task that stays throttled because its earlier owner could not lift the throttle,
// and against a level that is lost when ownership of the target begins under a new epoch.
func TestThrottleAfterTakeover(t *testing.T) {
	f := newFixture(t, longTTL)
	f.own(order(4))
	f.mustReport(1, runsJobOne)
	f.run()
	f.eventually("the level of the earlier owner is replaced", f.throttled(`{"level":1}`))
	f.throttleTo(0.5)
	f.eventually("the level is lowered", f.throttled(`{"level":0.5}`))
	f.record.Epoch = 6
	f.own(order(5))
	before := f.target.count("throttle")
	f.mustReport(2, func(a *model.Announcement) { runsJobOne(a); a.Epoch = 6 })
	f.eventually("the level is sent again", func() bool { return f.target.count("throttle") > before })
	if !f.throttled(`{"level":0.5}`)() {
		t.Error("the level was lost with the change of epoch")
	}
}

// Guards against an eviction that waits for the backoff of a failed throttle.
func TestFailedThrottleDelaysNoEviction(t *testing.T) {
	f := newFixture(t, longTTL)
	f.target.fail["throttle"] = 1 << 20
	f.own(order(5))
	f.mustReport(1, runsJobOne)
	f.throttleTo(0.5)
	f.run()
	f.eventually("throttles fail", func() bool { return f.target.count("throttle") >= 2 })
	evicting := order(5)
	evicting.Attempt.EvictionReason = "urgent job u"
	f.own(evicting)
	f.eventually("the end is committed", func() bool { return len(f.proposer.ends()) == 1 })
	a := f.table.get("t").attempts[jobOne]
	if !a.notBefore.IsZero() {
		t.Errorf("a failed throttle set the pause of other calls to %v", a.notBefore)
	}
}
