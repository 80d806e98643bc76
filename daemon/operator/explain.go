package operator

import (
	"context"
	"net/http"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/fleet"
)

// Explainer tells where the tasks of a job would go now, without submitting it.
type Explainer interface {
	Explain(ctx context.Context, s workflow.Submission) (fleet.ExplainResponse, error)
}

// RegisterExplain adds the route that explains placements to mux.
func RegisterExplain(mux *http.ServeMux, explainer Explainer) {
	mux.HandleFunc("POST /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		var submission workflow.Submission
		if err := model.DecodeJSON(r.Body, maxBodyBytes, &submission); err != nil {
			writeProblem(w, http.StatusBadRequest, state.CodeInvalid, "job: "+err.Error())
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		response, err := explainer.Explain(ctx, submission)
		switch {
		case err != nil:
			writeProblem(w, http.StatusServiceUnavailable, codeUnavailable, err.Error())
		case response.Error != "":
			writeProblem(w, http.StatusBadRequest, state.CodeInvalid, response.Error)
		default:
			writeJSON(w, http.StatusOK, response.Explanation)
		}
	})
}
