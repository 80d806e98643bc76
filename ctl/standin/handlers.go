package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirepaddle.example/core/model"
)

// Headers of the targets' interface.
const (
	HeaderEpoch   = "Samphire-Epoch"
	HeaderRefused = "Samphire-Refused"
	HeaderRequest = "Samphire-Request-Id"
	HeaderKey     = "Samphire-Key"
	HeaderTenant  = "Samphire-Tenant"
	HeaderService = "Samphire-Service" // optional; names the service in usage reports
)

// maxStartBytes bounds the body of a task start: payload and checkpoint in base64.
const maxStartBytes = 16 << 20

// refuse says that the work did not run and will not run.
func (t *Target) refuse(w http.ResponseWriter, reason string) {
	t.mu.Lock()
	t.ledger.stats.Refused++
	t.mu.Unlock()
	w.Header().Set(HeaderRefused, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// admit checks the epoch and the lease, and returns why work is refused. The caller holds mu.
func (t *Target) admit(r *http.Request) (model.Epoch, string) {
	epoch, reason := t.checkEpoch(r)
	switch {
	case reason != "":
		return 0, reason
	case t.faults.Refuse:
		return 0, "the target is set to refuse"
	case !t.leased():
		return 0, "the lease of the target is over"
	}
	return epoch, ""
}

// checkEpoch refuses an epoch below the greatest seen. The caller holds mu.
func (t *Target) checkEpoch(r *http.Request) (model.Epoch, string) {
	value, err := strconv.ParseUint(r.Header.Get(HeaderEpoch), 10, 64)
	if err != nil {
		return 0, fmt.Sprintf("%s %q is not a number", HeaderEpoch, r.Header.Get(HeaderEpoch))
	}
	epoch := model.Epoch(value)
	if epoch < t.epoch {
		t.ledger.stats.RefusedEpoch++
		return 0, fmt.Sprintf("epoch %d is below %d", epoch, t.epoch)
	}
	t.epoch = epoch
	return epoch, ""
}

// running lists the attempts in progress in order. The caller holds mu.
func (t *Target) running() []model.AttemptID {
	var ids []model.AttemptID
	for id, k := range t.tasks {
		if k.outcome == "" {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.AttemptID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}

// leavingFor returns the time since the target said leaving. The caller holds mu.
func (t *Target) leavingFor() time.Duration {
	if t.leavingAt.IsZero() {
		return 0
	}
	return time.Since(t.leavingAt)
}

func (t *Target) handleStart(w http.ResponseWriter, r *http.Request) {
	var start TaskStart
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStartBytes)).Decode(&start); err != nil {
		http.Error(w, "task start: "+err.Error(), http.StatusBadRequest)
		return
	}
	state, refusal, err := t.startTask(r, start)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case refusal != "":
		t.refuse(w, refusal)
	default:
		writeJSON(w, taskState{state})
	}
}

// startTask starts the attempt once; a repeated start returns the state of the first.
func (t *Target) startTask(r *http.Request, start TaskStart) (state, refusal string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, refusal := t.checkEpoch(r)
	if refusal != "" {
		return "", refusal, nil
	}
	if k, ok := t.tasks[start.Attempt]; ok {
		t.ledger.stats.RepeatedStarts++
		return stateOf(k), "", nil
	}
	if t.closed {
		return "", "the target is closing", nil
	}
	if _, refusal = t.admit(r); refusal != "" {
		return "", refusal, nil
	}
	k, err := newTask(work{class: start.Class, attempt: &start.Attempt, epoch: epoch, use: start.Reserved}, start)
	if err != nil {
		return "", "", err
	}
	if broken := t.ledger.begin(k.work, t.leavingFor(), t.config.LeaveGrace); broken != nil {
		return "", broken.Detail, nil
	}
	t.ledger.stats.TasksStarted++
	t.tasks[start.Attempt] = k
	t.loops.Go(func() { t.runTask(k) })
	return stateOf(k), "", nil
}

func stateOf(k *task) string {
	if k.outcome != "" {
		return k.outcome
	}
	return "running"
}

// lock takes mu for a call about the attempt that the path names, or answers and returns false.
func (t *Target) lock(w http.ResponseWriter, r *http.Request) (model.AttemptID, bool) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 32)
	if err != nil {
		http.Error(w, "attempt number: "+err.Error(), http.StatusBadRequest)
		return model.AttemptID{}, false
	}
	t.mu.Lock()
	if _, refusal := t.checkEpoch(r); refusal != "" {
		t.mu.Unlock()
		t.refuse(w, refusal)
		return model.AttemptID{}, false
	}
	return model.AttemptID{Job: model.JobID(r.PathValue("job")), Number: uint32(number)}, true
}

// find returns the task that the path names, with mu held, or answers and returns nil.
func (t *Target) find(w http.ResponseWriter, r *http.Request) *task {
	id, ok := t.lock(w, r)
	if !ok {
		return nil
	}
	k, ok := t.tasks[id]
	if !ok {
		t.mu.Unlock()
		http.Error(w, "no such attempt in this process", http.StatusNotFound)
		return nil
	}
	return k
}

func (t *Target) handleCheckpoint(w http.ResponseWriter, r *http.Request) {
	k := t.find(w, r)
	if k == nil {
		return
	}
	if k.outcome == "" {
		k.advance(time.Now())
	}
	progress := k.progress
	produced := k.skipped + len(k.output)
	t.mu.Unlock()
	saved, err := json.Marshal(Checkpoint{Progress: progress, Output: produced})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, checkpointAnswer{saved})
}

func (t *Target) handleThrottle(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Level float64 `json:"level"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Level < 0 || body.Level > 1 {
		http.Error(w, "throttle takes a level from 0 to 1", http.StatusBadRequest)
		return
	}
	k := t.find(w, r)
	if k == nil {
		return
	}
	if k.outcome == "" {
		k.throttle(body.Level)
	}
	t.mu.Unlock()
	writeJSON(w, body)
}

func (t *Target) handleStop(w http.ResponseWriter, r *http.Request) {
	id, ok := t.lock(w, r)
	if !ok {
		return
	}
	k, ok := t.tasks[id]
	if !ok {
		// The start may still be on its way; it must find that the attempt was stopped.
		k = stoppedTask(id)
		t.tasks[id] = k
	}
	k.requestStop(outcomeStopped)
	t.mu.Unlock()
	select {
	case <-k.done:
		writeJSON(w, t.stopAnswer(id, k))
	case <-r.Context().Done():
	}
}

// stopAnswer names the attempt's own end if it came before the stop.
func (t *Target) stopAnswer(id model.AttemptID, k *task) stopAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := stopAnswer{State: stateOf(k)}
	if ended, ok := t.ended[id]; ok {
		answer.Ended = &ended
	}
	return answer
}

// handleOutput streams the output from an offset until the task ends. A task that did not
// finish aborts the connection, so that its output is never taken for complete.
func (t *Target) handleOutput(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number from 0", http.StatusBadRequest)
		return
	}
	k := t.find(w, r)
	if k == nil {
		return
	}
	t.mu.Unlock()
	// Offsets count over the whole job; this attempt holds the output since its checkpoint.
	if offset < k.skipped {
		http.Error(w, fmt.Sprintf("output is kept from offset %d", k.skipped), http.StatusRequestedRangeNotSatisfiable)
		return
	}
	offset -= k.skipped
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for {
		t.mu.Lock()
		chunk := slices.Clone(k.output[min(offset, len(k.output)):])
		outcome, changed := k.outcome, k.changed
		t.mu.Unlock()
		offset += len(chunk)
		if _, err := w.Write(chunk); err != nil || controller.Flush() != nil {
			return
		}
		if outcome == outcomeFinished {
			return
		}
		if outcome != "" {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
