package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// submitJob queues a batch job or stream run.
func (g *Gateway) submitJob(w http.ResponseWriter, r *http.Request) {
	var spec model.JobSpec
	if err := decodeJSON(r, maxJobBody, &spec); err != nil {
		writeProblem(w, http.StatusBadRequest, model.VerdictNotRun, "bad_body", err.Error())
		return
	}
	spec.Tenant = model.TenantID(r.Header.Get(headerTenant))
	began := time.Now()
	result, err := g.propose(r.Context(), state.Command{SubmitJob: &state.SubmitJob{
		Spec: spec,
		Key:  r.Header.Get(headerIdempotencyKey),
	}})
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, model.VerdictUnknown, "no_leader", err.Error())
		return
	}
	if !result.OK() {
		writeProblem(w, resultStatus(result.Code), model.VerdictNotRun, string(result.Code), result.Message)
		return
	}
	g.metrics.observeLatency(spec.Tenant, "", spec.Class, time.Since(began))
	w.Header().Set("Location", "/v1/jobs/"+string(result.Job))
	writeJSON(w, http.StatusAccepted, map[string]any{"id": result.Job, "repeated": result.Code == state.CodeRepeated})
}

func resultStatus(code state.Code) int {
	switch code {
	case state.CodeInvalid:
		return http.StatusBadRequest
	case state.CodeNotFound:
		return http.StatusNotFound
	case state.CodeLimit:
		return http.StatusTooManyRequests
	default:
		return http.StatusConflict
	}
}

func decodeJSON(r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected content after the JSON object")
	}
	return nil
}

func (g *Gateway) showJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), controlTimeout)
	defer cancel()
	body, err := g.control.Read(ctx, "job", model.JobID(r.PathValue("id")))
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, model.VerdictNotRun, "no_leader", err.Error())
		return
	}
	if string(body) == "null" {
		writeProblem(w, http.StatusNotFound, model.VerdictNotRun, "not_found", "job does not exist")
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (g *Gateway) cancelJob(w http.ResponseWriter, r *http.Request) {
	jobs := []model.JobID{model.JobID(r.PathValue("id"))}
	if _, err := g.propose(r.Context(), state.Command{CancelJobs: &state.CancelJobs{Jobs: jobs}}); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, model.VerdictUnknown, "no_leader", err.Error())
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]bool{"cancelling": true})
}
