package standin

import (
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
)

// Rule names an invariant that the target checks.
type Rule string

// The rules. Work that breaks one is recorded and does not run.
const (
	RuleCapacity     Rule = "capacity"      // slots, connections, CPU, memory or accelerators exceeded
	RuleAttemptTwice Rule = "attempt_twice" // the same attempt started twice
	RuleKeyTwice     Rule = "key_twice"     // the same Samphire-Key of one tenant run twice
	RuleAfterLeaving Rule = "after_leaving" // work started after leaving plus the grace
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule         `json:"rule"`
	Work   string       `json:"work"` // attempt or request id
	Detail string       `json:"detail"`
	AtMs   model.Millis `json:"at_ms"`
}

// Event says whether a journal entry is a start or an end.
type Event string

// The events of the journal.
const (
	EventStarted Event = "started"
	EventEnded   Event = "ended"
)

// Entry is one line of the journal.
type Entry struct {
	Sequence uint64           `json:"sequence"`
	Event    Event            `json:"event"`
	Class    model.Class      `json:"class"`
	Request  model.RequestID  `json:"request,omitempty"`
	Key      string           `json:"key,omitempty"` // tenant/Samphire-Key
	Attempt  *model.AttemptID `json:"attempt,omitempty"`
	StartID  string           `json:"start_id"`
	Epoch    model.Epoch      `json:"epoch"`
	Outcome  string           `json:"outcome,omitempty"` // of an end
	AtMs     model.Millis     `json:"at_ms"`
}

// Stats counts what the target did since it started.
type Stats struct {
	StartID        string          `json:"start_id"`
	Epoch          model.Epoch     `json:"epoch"`
	LeaseLeftMs    model.Millis    `json:"lease_left_ms"`
	InUse          model.Resources `json:"in_use"`
	MostInUse      model.Resources `json:"most_in_use"`
	QuickRun       int             `json:"quick_run"`
	TasksStarted   int             `json:"tasks_started"`
	TasksFinished  int             `json:"tasks_finished"`
	TasksFailed    int             `json:"tasks_failed"`
	TasksStopped   int             `json:"tasks_stopped"`
	TasksLeaseOver int             `json:"tasks_lease_over"` // stopped because the lease was over
	RepeatedStarts int             `json:"repeated_starts"`
	Refused        int             `json:"refused"`
	RefusedEpoch   int             `json:"refused_epoch"`
	Announcements  int             `json:"announcements"` // answered
	Violations     int             `json:"violations"`
}

// ledger accounts for the work of a target. Its callers hold Target.mu.
type ledger struct {
	startID    string
	capacity   model.Resources
	stats      Stats
	seen       map[string]bool // attempts and keys that ran in this process
	violations []Violation
	journal    []Entry
}

// work describes one piece of work to the ledger.
type work struct {
	class   model.Class
	request model.RequestID
	key     string
	attempt *model.AttemptID
	epoch   model.Epoch
	use     model.Resources
}

func (w work) name() string {
	if w.attempt != nil {
		return w.attempt.String()
	}
	return string(w.request)
}

// begin reserves the work's resources and records its start, or records the rule that it
// breaks and returns it.
func (l *ledger) begin(w work, leavingFor, grace time.Duration) *Violation {
	if leavingFor > grace {
		return l.violate(RuleAfterLeaving, w, fmt.Sprintf("arrived %s after the target said leaving", leavingFor))
	}
	if rule, id := w.identity(); id != "" && l.seen[id] {
		return l.violate(rule, w, id+" ran before")
	}
	if short := w.use.Shortfall(l.capacity.Sub(l.stats.InUse)); short != "" {
		return l.violate(RuleCapacity, w, short)
	}
	if _, id := w.identity(); id != "" {
		l.seen[id] = true
	}
	l.stats.InUse = l.stats.InUse.Add(w.use)
	l.stats.MostInUse = l.stats.MostInUse.Max(l.stats.InUse)
	l.write(EventStarted, w, "")
	return nil
}

// identity returns what may run once only, and the rule that says so.
func (w work) identity() (Rule, string) {
	if w.attempt != nil {
		return RuleAttemptTwice, "attempt " + w.attempt.String()
	}
	if w.key != "" {
		return RuleKeyTwice, "key " + w.key
	}
	return "", ""
}

func (l *ledger) end(w work, outcome string) {
	l.stats.InUse = l.stats.InUse.Sub(w.use)
	l.write(EventEnded, w, outcome)
}

func (l *ledger) violate(rule Rule, w work, detail string) *Violation {
	l.violations = append(l.violations, Violation{Rule: rule, Work: w.name(), Detail: detail, AtMs: nowMillis()})
	l.stats.Violations++
	return &l.violations[len(l.violations)-1]
}

func (l *ledger) write(event Event, w work, outcome string) {
	l.journal = append(l.journal, Entry{
		Sequence: uint64(len(l.journal) + 1),
		Event:    event,
		Class:    w.class,
		Request:  w.request,
		Key:      w.key,
		Attempt:  w.attempt,
		StartID:  l.startID,
		Epoch:    w.epoch,
		Outcome:  outcome,
		AtMs:     nowMillis(),
	})
}

func nowMillis() model.Millis {
	return model.Millis(time.Now().UnixMilli())
}
