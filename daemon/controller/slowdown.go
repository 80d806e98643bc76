package controller

import (
	"slices"
	"sync"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/syncmsg"
)

// maxQueuedUsage is the maximum number of usage reports that wait for the scheduler: those of
// about 3 s at the design scale of 600 targets with 16 tasks each.
const maxQueuedUsage = 32_768

// usageQueue holds the usage reports that the scheduler has not read. When it is full the oldest
// reports are dropped, because they are the least useful.
type usageQueue struct {
	mu      sync.Mutex
	reports []syncmsg.TargetUsage
}

func (q *usageQueue) add(body syncmsg.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reports = append(q.reports, body.Usage[:min(len(body.Usage), syncmsg.MaxUsageReports)]...)
	if extra := len(q.reports) - maxQueuedUsage; extra > 0 {
		q.reports = slices.Delete(q.reports, 0, extra)
	}
}

func (q *usageQueue) drain() []syncmsg.TargetUsage {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports := q.reports
	q.reports = nil
	return reports
}

// throttleTable holds the throttle levels that the scheduler decided. They are not replicated: a
// new leader starts without any and decides again.
type throttleTable struct {
	mu     sync.Mutex
	levels map[model.GatewayID][]syncmsg.Throttle
	sent   map[model.GatewayID]sentThrottles
}

// sentThrottles holds the throttle levels in the last response to a gateway.
type sentThrottles struct {
	number uint64
	levels []syncmsg.Throttle
}

func (t *throttleTable) set(levels map[model.GatewayID][]syncmsg.Throttle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.levels = levels
}

// addThrottles adds the gateway's throttle levels to the response unless the response that the
// request acknowledges held the same ones.
func (t *throttleTable) addThrottles(body syncmsg.Request, response *syncmsg.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	levels := t.levels[body.Gateway]
	last, ok := t.sent[body.Gateway]
	if !body.Partial || !ok || last.number != body.Ack || !slices.Equal(last.levels, levels) {
		response.Throttles = &syncmsg.Throttles{Attempts: levels}
	}
	if t.sent == nil {
		t.sent = map[model.GatewayID]sentThrottles{}
	}
	t.sent[body.Gateway] = sentThrottles{response.Number, levels}
}
