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

// HTTP headers of the requests to a target and of its responses.
const (
	HeaderEpoch   = "Samphire-Epoch"
	HeaderRefused = "Samphire-Refused"
	HeaderRequest = "Samphire-Request-Id"
	HeaderKey     = "Samphire-Key"
	HeaderTenant  = "Samphire-Tenant"
	HeaderService = "Samphire-Service" // optional; service under which usage is reported
)

// maxStartBytes limits the body of a start request, which holds payload and checkpoint in base64.
const maxStartBytes = 16 << 20

// refuse responds that the work did not run and will not run.
func (t *Target) refuse(w http.ResponseWriter, reason string) {
	t.mu.Lock()
	t.tracker.stats.Refused++
	t.mu.Unlock()
	w.Header().Set(HeaderRefused, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// admit checks whether new work may start. It returns the epoch of the request, or a non-empty
// reason for refusal. The caller holds mu.
func (t *Target) admit(r *http.Request) (model.Epoch, string) {
	epoch, reason := t.checkEpoch(r)
	switch {
	case reason != "":
		return 0, reason
	case t.faults.Refuse:
		return 0, "the target is set to refuse"
	case !t.leaseValid():
		return 0, "the lease of the target is over"
	}
	return epoch, ""
}

// checkEpoch returns the epoch of the request and stores it as the highest epoch seen. If the epoch
// is lower than the highest one seen, it returns a reason for refusal instead. The caller holds mu.
func (t *Target) checkEpoch(r *http.Request) (model.Epoch, string) {
	value, err := strconv.ParseUint(r.Header.Get(HeaderEpoch), 10, 64)
	if err != nil {
		return 0, fmt.Sprintf("%s %q is not a number", HeaderEpoch, r.Header.Get(HeaderEpoch))
	}
	epoch := model.Epoch(value)
	if epoch < t.epoch {
		t.tracker.stats.RefusedEpoch++
		return 0, fmt.Sprintf("epoch %d is below %d", epoch, t.epoch)
	}
	t.epoch = epoch
	return epoch, ""
}

// running returns the ids of the running attempts, sorted. The caller holds mu.
func (t *Target) running() []model.AttemptID {
	var ids []model.AttemptID
	for id, task := range t.tasks {
		if task.outcome == "" {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.AttemptID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}

// leavingFor returns the time since the target started to leave, or 0. The caller holds mu.
func (t *Target) leavingFor() time.Duration {
	if t.leavingAt.IsZero() {
		return 0
	}
	return time.Since(t.leavingAt)
}

func (t *Target) handleStart(w http.ResponseWriter, r *http.Request) {
	var start StartRequest
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
		writeJSON(w, startResponse{state})
	}
}

// startTask starts an attempt. A repeated request for the same attempt returns its state and
// starts nothing. The result refusal is the reason if the target refuses the start; err means that
// the request is invalid.
func (t *Target) startTask(r *http.Request, start StartRequest) (state, refusal string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, refusal := t.checkEpoch(r)
	if refusal != "" {
		return "", refusal, nil
	}
	if task, ok := t.tasks[start.Attempt]; ok {
		t.tracker.stats.RepeatedStarts++
		return stateOf(task), "", nil
	}
	if t.closed {
		return "", "the target is closing", nil
	}
	if _, refusal = t.admit(r); refusal != "" {
		return "", refusal, nil
	}
	task, err := newTask(workItem{class: start.Class, attempt: &start.Attempt, epoch: epoch, resources: start.Reserved}, start)
	if err != nil {
		return "", "", err
	}
	if violation := t.tracker.begin(task.work, t.leavingFor(), t.config.LeaveGrace); violation != nil {
		return "", violation.Detail, nil
	}
	t.tracker.stats.TasksStarted++
	t.tasks[start.Attempt] = task
	t.goroutines.Go(func() { t.runTask(task) })
	return stateOf(task), "", nil
}

// stateOf returns the outcome of the task, or "running".
func stateOf(task *task) string {
	if task.outcome != "" {
		return task.outcome
	}
	return "running"
}

// lockForAttempt parses the attempt id in the path, checks the epoch and locks mu. If the request
// is invalid, it writes an error response and returns false with mu unlocked.
func (t *Target) lockForAttempt(w http.ResponseWriter, r *http.Request) (model.AttemptID, bool) {
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

// lockTask returns the task named by the path with mu locked. If there is none, it writes an error
// response and returns nil with mu unlocked.
func (t *Target) lockTask(w http.ResponseWriter, r *http.Request) *task {
	id, ok := t.lockForAttempt(w, r)
	if !ok {
		return nil
	}
	task, ok := t.tasks[id]
	if !ok {
		t.mu.Unlock()
		http.Error(w, "no such attempt in this process", http.StatusNotFound)
		return nil
	}
	return task
}

func (t *Target) handleCheckpoint(w http.ResponseWriter, r *http.Request) {
	task := t.lockTask(w, r)
	if task == nil {
		return
	}
	if task.outcome == "" {
		task.advance(time.Now())
	}
	progress := task.progress
	produced := task.outputStart + len(task.output)
	t.mu.Unlock()
	saved, err := json.Marshal(Checkpoint{Progress: progress, OutputBytes: produced})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, checkpointResponse{saved})
}

func (t *Target) handleThrottle(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Level float64 `json:"level"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Level < 0 || body.Level > 1 {
		http.Error(w, "throttle takes a level from 0 to 1", http.StatusBadRequest)
		return
	}
	task := t.lockTask(w, r)
	if task == nil {
		return
	}
	if task.outcome == "" {
		task.throttle(body.Level)
	}
	t.mu.Unlock()
	writeJSON(w, body)
}

func (t *Target) handleStop(w http.ResponseWriter, r *http.Request) {
	id, ok := t.lockForAttempt(w, r)
	if !ok {
		return
	}
	task, ok := t.tasks[id]
	if !ok {
		// The start request may arrive after the stop and must not run the attempt.
		task = newStoppedTask(id)
		t.tasks[id] = task
	}
	task.requestStop(outcomeStopped)
	t.mu.Unlock()
	select {
	case <-task.done:
		writeJSON(w, t.stopResult(id, task))
	case <-r.Context().Done():
	}
}

// stopResult returns the response to a stop, with the attempt's end if it ended before the stop.
func (t *Target) stopResult(id model.AttemptID, task *task) stopResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	response := stopResponse{State: stateOf(task)}
	if ended, ok := t.unacknowledgedEnds[id]; ok {
		response.Ended = &ended
	}
	return response
}

// handleOutput streams the output from an offset until the task ends. If the task ends without
// finishing, the connection is aborted, so that the client does not take the output as complete.
func (t *Target) handleOutput(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number from 0", http.StatusBadRequest)
		return
	}
	task := t.lockTask(w, r)
	if task == nil {
		return
	}
	t.mu.Unlock()
	// Offsets count from the start of the job, but this attempt only has the output since its checkpoint.
	if offset < task.outputStart {
		http.Error(w, fmt.Sprintf("output is kept from offset %d", task.outputStart), http.StatusRequestedRangeNotSatisfiable)
		return
	}
	offset -= task.outputStart
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for {
		t.mu.Lock()
		chunk := slices.Clone(task.output[min(offset, len(task.output)):])
		outcome, changed := task.outcome, task.changed
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
