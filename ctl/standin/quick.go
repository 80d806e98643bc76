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

// maxQuickBytes limits the body of a quick request.
const maxQuickBytes = 1 << 20

// Faults are the injected faults. POST /standin/faults replaces them as a whole.
type Faults struct {
	DelayMs             model.Millis `json:"late_ms"`              // delay between the end of a quick request and its response
	Truncate            bool         `json:"half"`                 // quick responses are cut short
	SendPrevious        bool         `json:"crossed"`              // quick requests get the response to the previous quick request
	Duplicate           bool         `json:"twice"`                // quick responses are sent twice on the connection
	FailTasks           bool         `json:"fail_tasks"`           // tasks fail at their end
	Refuse              bool         `json:"refuse"`               // new work is refused
	FreezeAnnouncements bool         `json:"freeze_announcements"` // no announcement is sent
	Drop                bool         `json:"drop"`                 // the connection is closed after a quick request is read, and the request does not run
}

// SetFaults replaces the injected faults.
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

// QuickResponse is the body of the response to a quick request.
type QuickResponse struct {
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
	item, refusal, violation := t.beginQuick(r)
	if violation != nil && violation.Rule == RuleKeyTwice {
		// An earlier request with this key ran, so the response must not say that it did not run.
		http.Error(w, violation.Detail, http.StatusConflict)
		return
	}
	if refusal != "" {
		t.refuse(w, refusal)
		return
	}
	startedAt := time.Now()
	time.Sleep(t.config.ServiceTime)
	response := QuickResponse{Target: t.config.ID, StartID: t.startID, Request: item.request, Path: r.URL.Path, Body: body}
	previous := t.endQuick(item, response, model.ServiceID(r.Header.Get(HeaderService)), time.Since(startedAt))
	t.writeResponse(w, response, previous)
}

// beginQuick admits a quick request and records its start. If the request may not run, beginQuick
// returns the reason as text, and also the violation if the request violates a rule.
func (t *Target) beginQuick(r *http.Request) (workItem, string, *Violation) {
	item := workItem{class: model.ClassQuick, request: model.RequestID(r.Header.Get(HeaderRequest)), resources: t.config.QuickUse}
	if key := r.Header.Get(HeaderKey); key != "" {
		item.key = r.Header.Get(HeaderTenant) + "/" + key
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal string
	if item.epoch, refusal = t.admit(r); refusal != "" {
		return item, refusal, nil
	}
	if violation := t.tracker.begin(item, t.leavingFor(), t.config.LeaveGrace); violation != nil {
		return item, violation.Detail, violation
	}
	t.quickRequests[item.request]++
	return item, "", nil
}

// endQuick records the end of a quick request and returns the response to the previous quick
// request. If there was none, it returns a copy of response with a different request id.
func (t *Target) endQuick(item workItem, response QuickResponse, service model.ServiceID, took time.Duration) QuickResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.end(item, outcomeFinished)
	t.tracker.stats.QuickRun++
	t.usage.addQuick(service, took)
	if t.quickRequests[item.request]--; t.quickRequests[item.request] == 0 {
		delete(t.quickRequests, item.request)
	}
	previous := t.lastQuickResponse
	if previous.Request == "" {
		previous = response
		previous.Request += "-crossed"
	}
	t.lastQuickResponse = response
	return previous
}

// writeResponse sends the response, altered by the injected faults.
func (t *Target) writeResponse(w http.ResponseWriter, response, previous QuickResponse) {
	faults := t.currentFaults()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if faults.SendPrevious {
		response = previous
	}
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if faults.Truncate || faults.Duplicate {
		t.writeRawResponse(w, rawResponse(response.Request, data), faults)
		return
	}
	w.Header().Set(HeaderRequest, string(response.Request))
	w.Header().Set("Content-Type", "application/json")
	w.Write(data) // an error means that the client has disconnected
}

// rawResponse returns a complete HTTP response with the given body.
func rawResponse(id model.RequestID, data []byte) []byte {
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		HeaderRequest, id, len(data))
	raw.Write(data)
	return raw.Bytes()
}

// writeRawResponse writes a truncated or duplicated response directly to the connection, because
// net/http cannot send malformed responses.
func (t *Target) writeRawResponse(w http.ResponseWriter, raw []byte, faults Faults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.log.Error().Err(err).Msg("cannot hijack the connection to inject a fault")
		return
	}
	defer conn.Close()
	if faults.Truncate {
		raw = raw[:len(raw)-len(raw)/4]
	} else {
		raw = append(raw, raw...)
	}
	if _, err := conn.Write(raw); err != nil {
		t.log.Debug().Err(err).Msg("client disconnected before the response was written")
	}
}
