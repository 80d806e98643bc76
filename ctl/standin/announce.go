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

// Limits of announcements.
const (
	announceTimeout     = 2 * time.Second
	maxResponseBytes    = 4 << 20
	minAnnounceInterval = 5 * time.Millisecond // lower limit for the interval that a response requests
)

func (t *Target) announceLoop(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		next := t.config.AnnounceInterval
		if response, ok := t.announceOnce(ctx, round); ok {
			next = max(minAnnounceInterval, time.Duration(response.NextMs)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
		case <-t.announceNow:
		case <-time.After(next):
		}
	}
}

// triggerAnnouncement requests an immediate announcement; it does not block.
func (t *Target) triggerAnnouncement() {
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}

// announceOnce sends an announcement to the owner's address and then to each gateway in turn,
// until one responds. It returns false if none responds or if announcements are frozen.
func (t *Target) announceOnce(ctx context.Context, round int) (model.AnnouncementResponse, bool) {
	for _, address := range t.announceAddresses(round) {
		t.mu.Lock()
		frozen := t.faults.FreezeAnnouncements
		announcement := t.announcement()
		t.mu.Unlock()
		if frozen {
			return model.AnnouncementResponse{}, false
		}
		sent := time.Now() // the lease counts from the time at which the announcement is sent
		response, err := t.postAnnouncement(ctx, address, announcement)
		if err != nil {
			t.log.Debug().Err(err).Str("gateway", address).Msg("announcement failed")
			continue
		}
		t.applyResponse(announcement, response, sent)
		return response, true
	}
	return model.AnnouncementResponse{}, false
}

// announceAddresses lists the owner's address, if known, and all gateways, rotated by round.
func (t *Target) announceAddresses(round int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var order []string
	if t.owner != "" {
		order = append(order, t.owner)
	}
	for i := range t.config.Gateways {
		order = append(order, t.config.Gateways[(round+i)%len(t.config.Gateways)])
	}
	return order
}

// announcement returns an announcement of the current state. The caller holds mu.
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
	for id := range t.quickRequests {
		a.Requests = append(a.Requests, id)
	}
	slices.Sort(a.Requests)
	for _, end := range t.unacknowledgedEnds {
		a.Ended = append(a.Ended, end)
	}
	slices.SortFunc(a.Ended, func(x, y model.EndedAttempt) int {
		return strings.Compare(x.Attempt.String(), y.Attempt.String())
	})
	return a
}

// postAnnouncement sends an announcement to one gateway.
func (t *Target) postAnnouncement(ctx context.Context, address string, a model.Announcement) (model.AnnouncementResponse, error) {
	var response model.AnnouncementResponse
	body, err := json.Marshal(a)
	if err != nil {
		return response, err
	}
	url := "http://" + address + "/v1/targets/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	request.Header.Set("Content-Type", "application/json")
	httpResponse, err := t.client.Do(request)
	if err != nil {
		return response, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response, err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return response, fmt.Errorf("announcement to %s got status %d", address, httpResponse.StatusCode)
	}
	return response, json.Unmarshal(data, &response)
}

// applyResponse applies the response to an announcement that was sent at the given time. A
// response from a former owner, with a lower epoch, only confirms the usage reports.
func (t *Target) applyResponse(a model.Announcement, response model.AnnouncementResponse, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.dropSent(len(a.Usage))
	if response.Epoch < t.epoch {
		return
	}
	t.epoch = response.Epoch
	t.owner = response.OwnerAddress
	t.tracker.stats.Announcements++
	if a.State == model.TargetLeaving {
		t.leavingAcknowledged = true
	}
	t.renewLease(sent.Add(time.Duration(response.LeaseMs) * time.Millisecond))
	for _, id := range response.Acknowledged {
		delete(t.unacknowledgedEnds, id)
	}
	for _, id := range response.Stop {
		if task, ok := t.tasks[id]; ok {
			task.requestStop(outcomeStopped)
		}
	}
}

// renewLease extends the lease to end; it never shortens it. The caller holds mu.
func (t *Target) renewLease(end time.Time) {
	if !end.After(t.leaseExpiry) {
		return
	}
	t.leaseExpiry = end
	t.leaseTimer.Reset(time.Until(end))
}

// leaseValid reports whether the target holds an unexpired lease. The caller holds mu.
func (t *Target) leaseValid() bool {
	return time.Now().Before(t.leaseExpiry)
}

// checkLease stops every running task if the lease has expired, and restarts the timer otherwise.
func (t *Target) checkLease() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaseValid() {
		t.leaseTimer.Reset(time.Until(t.leaseExpiry))
		return
	}
	for _, id := range t.running() {
		t.tasks[id].requestStop(outcomeLeaseExpired)
	}
}
