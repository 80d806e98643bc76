package standin

import (
	"net/http"
	"time"

	"samphirepaddle.example/core/model"
)

func (t *Target) handleViolations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Violations())
}
func (t *Target) handleStats(w http.ResponseWriter, _ *http.Request)   { writeJSON(w, t.Stats()) }
func (t *Target) handleJournal(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Journal()) }

// Violations returns the broken rules in order; it is never nil.
func (t *Target) Violations() []Violation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Violation{}, t.ledger.violations...)
}

// Journal returns every start and end in order; it is never nil.
func (t *Target) Journal() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Entry{}, t.ledger.journal...)
}

// Stats returns the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.ledger.stats
	stats.StartID = t.startID
	stats.Epoch = t.epoch
	stats.LeaseLeftMs = model.Millis(max(0, time.Until(t.leaseEnd).Milliseconds()))
	return stats
}
