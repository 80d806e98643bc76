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

// Violations returns all violations in the order of their occurrence; the result is never nil.
func (t *Target) Violations() []Violation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Violation{}, t.tracker.violations...)
}

// Journal returns all starts and ends of work in order; the result is never nil.
func (t *Target) Journal() []JournalEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]JournalEntry{}, t.tracker.journal...)
}

// Stats returns the current statistics.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.tracker.stats
	stats.StartID = t.startID
	stats.Epoch = t.epoch
	stats.LeaseLeftMs = model.Millis(max(0, time.Until(t.leaseExpiry).Milliseconds()))
	return stats
}
