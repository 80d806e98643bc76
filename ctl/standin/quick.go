package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"samphirepaddle.example/core/model"
)

// maxQuickBytes bounds the body of a quick request.
const maxQuickBytes = 1 << 20

// Faults are the failures that POST /standin/faults sets, all of them at once.
type Faults struct {
	LateMs              model.Millis `json:"late_ms"`              // quick answers are this much later than the work's end
	Half                bool         `json:"half"`                 // quick answers are truncated
	Crossed             bool         `json:"crossed"`              // quick answers are those to the request before
	Twice               bool         `json:"twice"`                // quick answers are sent twice on the connection
	FailTasks           bool         `json:"fail_tasks"`           // tasks fail at their end
	Refuse              bool         `json:"refuse"`               // new work is refused
	FreezeAnnouncements bool         `json:"freeze_announcements"` // no announcement is sent
	Drop                bool         `json:"drop"`                 // the connection is closed after the request is read; it does not run
}

// SetFaults replaces the faults that are in force.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.currentFaults())
}

func (t *Target) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	writeJSON(w, faults)
}

// QuickAnswer is the body of an answer to a quick request.
type QuickAnswer struct {
	Target  model.TargetID  `json:"target"`
	StartID string          `json:"start_id"`
	Request model.RequestID `json:"request"` // always the id of the request that ran
	Path    string          `json:"path"`
	Body    []byte          `json:"body,omitempty"`
}

func (t *Target) handleQuick(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuickBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if t.currentFaults().Drop {
		panic(http.ErrAbortHandler)
	}
	item, refusal, broken := t.beginQuick(r)
	if broken != nil && broken.Rule == RuleKeyTwice {
		// An earlier request with this key ran, so the answer must not say that it did not.
		http.Error(w, broken.Detail, http.StatusConflict)
		return
	}
	if refusal != "" {
		t.refuse(w, refusal)
		return
	}
	began := time.Now()
	time.Sleep(t.config.ServiceTime)
	answer := QuickAnswer{Target: t.config.ID, StartID: t.startID, Request: item.request, Path: r.URL.Path, Body: body}
	crossed := t.endQuick(item, answer, model.ServiceID(r.Header.Get(HeaderService)), time.Since(began))
	t.answer(w, answer, crossed)
}

func (t *Target) beginQuick(r *http.Request) (work, string, *Violation) {
	item := work{class: model.ClassQuick, request: model.RequestID(r.Header.Get(HeaderRequest)), use: t.config.QuickUse}
	if key := r.Header.Get(HeaderKey); key != "" {
		item.key = r.Header.Get(HeaderTenant) + "/" + key
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal string
	if item.epoch, refusal = t.admit(r); refusal != "" {
		return item, refusal, nil
	}
	if broken := t.ledger.begin(item, t.leavingFor(), t.config.LeaveGrace); broken != nil {
		return item, broken.Detail, broken
	}
	t.requests[item.request]++
	return item, "", nil
}

// endQuick records the end of the work and returns the answer to the request before.
func (t *Target) endQuick(item work, answer QuickAnswer, service model.ServiceID, took time.Duration) QuickAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.end(item, outcomeFinished)
	t.ledger.stats.QuickRun++
	t.usage.countQuick(service, took)
	if t.requests[item.request]--; t.requests[item.request] == 0 {
		delete(t.requests, item.request)
	}
	crossed := t.last
	if crossed.Request == "" {
		crossed = answer
		crossed.Request += "-crossed"
	}
	t.last = answer
	return crossed
}

// answer sends the answer as the faults in force say.
func (t *Target) answer(w http.ResponseWriter, answer, crossed QuickAnswer) {
	faults := t.currentFaults()
	time.Sleep(time.Duration(faults.LateMs) * time.Millisecond)
	if faults.Crossed {
		answer = crossed
	}
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if faults.Half || faults.Twice {
		t.answerRaw(w, rawAnswer(answer.Request, data), faults)
		return
	}
	w.Header().Set(HeaderRequest, string(answer.Request))
	w.Header().Set("Content-Type", "application/json")
	w.Write(data) // the caller may be gone; there is nothing left to do for it
}

func rawAnswer(id model.RequestID, data []byte) []byte {
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		HeaderRequest, id, len(data))
	raw.Write(data)
	return raw.Bytes()
}

// answerRaw writes past net/http, which would not send a malformed answer.
func (t *Target) answerRaw(w http.ResponseWriter, raw []byte, faults Faults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.log.Error().Err(err).Msg("connection cannot be taken over for a fault")
		return
	}
	defer conn.Close()
	if faults.Half {
		raw = raw[:len(raw)-len(raw)/4]
	} else {
		raw = append(raw, raw...)
	}
	if _, err := conn.Write(raw); err != nil {
		t.log.Debug().Err(err).Msg("caller is gone")
	}
}
