package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"samphirepaddle.example/core/model"
)

// Bounds on one announcement.
const (
	announceTimeout = 2 * time.Second
	maxAnswerBytes  = 4 << 20
	minAnnounceGap  = 5 * time.Millisecond // an answer may ask for the next one at once
)

func (t *Target) announceLoop(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		next := t.config.AnnounceEvery
		if answer, ok := t.announceOnce(ctx, turn); ok {
			next = max(minAnnounceGap, time.Duration(answer.NextMs)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-time.After(next):
		}
	}
}

// announceSoon makes the next announcement due now.
func (t *Target) announceSoon() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// announceOnce tries the owner's address first and then each gateway once.
func (t *Target) announceOnce(ctx context.Context, turn int) (model.AnnouncementResponse, bool) {
	for _, address := range t.announceOrder(turn) {
		t.mu.Lock()
		frozen := t.faults.FreezeAnnouncements
		announcement := t.announcement()
		t.mu.Unlock()
		if frozen {
			return model.AnnouncementResponse{}, false
		}
		sent := time.Now() // before the call: the lease counts from the time of asking
		answer, err := t.post(ctx, address, announcement)
		if err != nil {
			t.log.Debug().Err(err).Str("gateway", address).Msg("announcement was not answered")
			continue
		}
		t.accept(announcement, answer, sent)
		return answer, true
	}
	return model.AnnouncementResponse{}, false
}

func (t *Target) announceOrder(turn int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var order []string
	if t.owner != "" {
		order = append(order, t.owner)
	}
	for i := range t.config.Gateways {
		order = append(order, t.config.Gateways[(turn+i)%len(t.config.Gateways)])
	}
	return order
}

// announcement describes the target as it is now. The caller holds mu.
func (t *Target) announcement() model.Announcement {
	t.sequence++
	a := model.Announcement{
		Target:   t.config.ID,
		StartID:  t.startID,
		Sequence: t.sequence,
		Epoch:    t.epoch,
		Address:  t.Address(),
		Zone:     t.config.Zone,
		Rack:     t.config.Rack,
		Pool:     t.config.Pool,
		Capacity: t.config.Capacity,
		State:    model.TargetReady,
		Running:  t.running(),
		Usage:    t.usage.due(time.Now().Add(-t.config.UsageLag)),
	}
	if !t.leavingAt.IsZero() {
		a.State = model.TargetLeaving
	}
	for id := range t.requests {
		a.Requests = append(a.Requests, id)
	}
	slices.Sort(a.Requests)
	for _, end := range t.ended {
		a.Ended = append(a.Ended, end)
	}
	slices.SortFunc(a.Ended, func(x, y model.EndedAttempt) int {
		return strings.Compare(x.Attempt.String(), y.Attempt.String())
	})
	return a
}

func (t *Target) post(ctx context.Context, address string, a model.Announcement) (model.AnnouncementResponse, error) {
	var answer model.AnnouncementResponse
	body, err := json.Marshal(a)
	if err != nil {
		return answer, err
	}
	url := "http://" + address + "/v1/targets/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("announcement to %s got status %d", address, response.StatusCode)
	}
	return answer, json.Unmarshal(data, &answer)
}

// accept takes the answer to an announcement that was sent at the given time.
func (t *Target) accept(a model.Announcement, answer model.AnnouncementResponse, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.sent(len(a.Usage))
	if answer.Epoch < t.epoch {
		return // from a former owner
	}
	t.epoch = answer.Epoch
	t.owner = answer.OwnerAddress
	t.ledger.stats.Announcements++
	if a.State == model.TargetLeaving {
		t.leaveHeard = true
	}
	t.renew(sent.Add(time.Duration(answer.LeaseMs) * time.Millisecond))
	for _, id := range answer.Acknowledged {
		delete(t.ended, id)
	}
	for _, id := range answer.Stop {
		if task, ok := t.tasks[id]; ok {
			task.requestStop(outcomeStopped)
		}
	}
}

// renew extends the lease; it never shortens it. The caller holds mu.
func (t *Target) renew(end time.Time) {
	if !end.After(t.leaseEnd) {
		return
	}
	t.leaseEnd = end
	t.leaseTimer.Reset(time.Until(end))
}

// leased reports whether the lease is in force. The caller holds mu.
func (t *Target) leased() bool {
	return time.Now().Before(t.leaseEnd)
}

// checkLease stops every task if the lease is over.
func (t *Target) checkLease() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leased() {
		t.leaseTimer.Reset(time.Until(t.leaseEnd))
		return
	}
	for _, id := range t.running() {
		t.tasks[id].requestStop(outcomeLeaseOver)
	}
}
