package standin

import (
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
)

// Rule is the name of an invariant that the target checks.
type Rule string

// Rules for work. Work that violates one is recorded as a Violation and does not run.
const (
	RuleCapacity     Rule = "capacity"      // the work does not fit into the free slots, connections, CPU, memory or accelerators
	RuleAttemptTwice Rule = "attempt_twice" // an attempt was started a second time
	RuleKeyTwice     Rule = "key_twice"     // a Samphire-Key of a tenant was used a second time
	RuleAfterLeaving Rule = "after_leaving" // work arrived later than Config.LeaveGrace after the start of leaving
)

// Violation records work that violated a rule.
type Violation struct {
	Rule   Rule         `json:"rule"`
	WorkID string       `json:"work"` // attempt or request id
	Detail string       `json:"detail"`
	AtMs   model.Millis `json:"at_ms"`
}

// Event is the kind of a journal entry.
type Event string

// Kinds of journal entries.
const (
	EventStarted Event = "started"
	EventEnded   Event = "ended"
)

// JournalEntry records the start or the end of a quick request or a task.
type JournalEntry struct {
	Sequence uint64           `json:"sequence"`
	Event    Event            `json:"event"`
	Class    model.Class      `json:"class"`
	Request  model.RequestID  `json:"request,omitempty"`
	Key      string           `json:"key,omitempty"` // tenant/Samphire-Key
	Attempt  *model.AttemptID `json:"attempt,omitempty"`
	StartID  string           `json:"start_id"`
	Epoch    model.Epoch      `json:"epoch"`
	Outcome  string           `json:"outcome,omitempty"` // set for EventEnded
	AtMs     model.Millis     `json:"at_ms"`
}

// Stats holds the current state of the target and counters since its start.
type Stats struct {
	StartID           string          `json:"start_id"`
	Epoch             model.Epoch     `json:"epoch"`
	LeaseLeftMs       model.Millis    `json:"lease_left_ms"`
	InUse             model.Resources `json:"in_use"`
	PeakInUse         model.Resources `json:"most_in_use"`
	QuickRun          int             `json:"quick_run"`
	TasksStarted      int             `json:"tasks_started"`
	TasksFinished     int             `json:"tasks_finished"`
	TasksFailed       int             `json:"tasks_failed"`
	TasksStopped      int             `json:"tasks_stopped"`
	TasksLeaseExpired int             `json:"tasks_lease_over"` // stopped because the lease expired
	RepeatedStarts    int             `json:"repeated_starts"`
	Refused           int             `json:"refused"`
	RefusedEpoch      int             `json:"refused_epoch"` // refused because of a lower epoch
	Announcements     int             `json:"announcements"` // announcements with a response that had no lower epoch
	Violations        int             `json:"violations"`
}

// workTracker tracks the resources in use, records starts, ends and violations, and checks the
// rules for work. Its callers hold Target.mu.
type workTracker struct {
	startID    string
	capacity   model.Resources
	stats      Stats
	seen       map[string]bool // attempts and keys that were started in this process
	violations []Violation
	journal    []JournalEntry
}

// workItem is a quick request or a task attempt.
type workItem struct {
	class     model.Class
	request   model.RequestID
	key       string
	attempt   *model.AttemptID
	epoch     model.Epoch
	resources model.Resources
}

// id returns the attempt or request id.
func (w workItem) id() string {
	if w.attempt != nil {
		return w.attempt.String()
	}
	return string(w.request)
}

// begin reserves the resources of the work item and records its start. If the item violates a
// rule, begin records and returns the violation instead.
func (t *workTracker) begin(w workItem, leavingFor, grace time.Duration) *Violation {
	if leavingFor > grace {
		return t.recordViolation(RuleAfterLeaving, w, fmt.Sprintf("arrived %s after the target said leaving", leavingFor))
	}
	if rule, id := w.uniqueID(); id != "" && t.seen[id] {
		return t.recordViolation(rule, w, id+" ran before")
	}
	if short := w.resources.Shortfall(t.capacity.Sub(t.stats.InUse)); short != "" {
		return t.recordViolation(RuleCapacity, w, short)
	}
	if _, id := w.uniqueID(); id != "" {
		t.seen[id] = true
	}
	t.stats.InUse = t.stats.InUse.Add(w.resources)
	t.stats.PeakInUse = t.stats.PeakInUse.Max(t.stats.InUse)
	t.record(EventStarted, w, "")
	return nil
}

// uniqueID returns the id that must not be started twice and the rule that forbids it. The id is
// empty for a quick request without a key.
func (w workItem) uniqueID() (Rule, string) {
	if w.attempt != nil {
		return RuleAttemptTwice, "attempt " + w.attempt.String()
	}
	if w.key != "" {
		return RuleKeyTwice, "key " + w.key
	}
	return "", ""
}

// end releases the resources of the work item and records its end.
func (t *workTracker) end(w workItem, outcome string) {
	t.stats.InUse = t.stats.InUse.Sub(w.resources)
	t.record(EventEnded, w, outcome)
}

func (t *workTracker) recordViolation(rule Rule, w workItem, detail string) *Violation {
	t.violations = append(t.violations, Violation{Rule: rule, WorkID: w.id(), Detail: detail, AtMs: nowMillis()})
	t.stats.Violations++
	return &t.violations[len(t.violations)-1]
}

func (t *workTracker) record(event Event, w workItem, outcome string) {
	t.journal = append(t.journal, JournalEntry{
		Sequence: uint64(len(t.journal) + 1),
		Event:    event,
		Class:    w.class,
		Request:  w.request,
		Key:      w.key,
		Attempt:  w.attempt,
		StartID:  t.startID,
		Epoch:    w.epoch,
		Outcome:  outcome,
		AtMs:     nowMillis(),
	})
}

func nowMillis() model.Millis {
	return model.Millis(time.Now().UnixMilli())
}
