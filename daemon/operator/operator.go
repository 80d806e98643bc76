// Package operator serves the operators' HTTP API.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/control"
	"samphirepaddle.example/daemon/controller"
)

// Limits of operators' requests.
const (
	maxBodyBytes = 1 << 20
	// callTimeout bounds the call to the controllers, without the wait for a ticket.
	callTimeout = 10 * time.Second
	// maxWaitMs limits the time that an operator may wait for a ticket to be in force.
	maxWaitMs = 60_000
	// pollWaitMs is the maximum wait of one query to the controllers, which may end it earlier.
	pollWaitMs = model.Millis(400)
)

// API serves operators' requests by calling the controllers.
type API struct {
	control *control.Client
}

// New returns an API that calls the controllers through client.
func New(client *control.Client) *API { return &API{control: client} }

// Register adds the routes of the API to the public mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/tickets", a.submitTicket)
	mux.HandleFunc("GET /v1/tickets/{number}", a.showTicket)
	mux.HandleFunc("GET /v1/status", a.readHandler("status"))
	mux.HandleFunc("GET /v1/jobs", a.showJobs)
	mux.HandleFunc("GET /v1/jobs/{id}/explain", a.explain)
	mux.HandleFunc("POST /v1/jobs/cancel", a.cancelJobs)
	mux.HandleFunc("GET /v1/leases", a.readHandler("leases"))
	mux.HandleFunc("GET /v1/members", a.readHandler("members"))
	RegisterZones(mux, controlZones{a.control})
	mux.HandleFunc("GET /v1/quarantine", a.readHandler("quarantine"))
	mux.HandleFunc("POST /v1/quarantine/{target}", a.quarantineHandler(true))
	mux.HandleFunc("DELETE /v1/quarantine/{target}", a.quarantineHandler(false))
}

// Problem is the body of an error response, and of the response to a command.
type Problem struct {
	Code    state.Code `json:"code"`
	Message string     `json:"message"`
}

// codeUnavailable is the code of a failed read, whose response says nothing about the state.
const codeUnavailable state.Code = "unavailable"

// TicketResponse is the response to a submitted ticket.
type TicketResponse struct {
	Number   uint64              `json:"number"`
	Code     state.Code          `json:"code"`
	Message  string              `json:"message,omitempty"`
	Revision model.Revision      `json:"revision,omitempty"`
	Accepted *state.TicketRecord `json:"accepted,omitempty"` // on a conflict, the ticket accepted earlier
}

func (a *API) submitTicket(w http.ResponseWriter, r *http.Request) {
	ticket, err := model.DecodeTicket(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, TicketResponse{Number: ticket.Number, Code: state.CodeInvalid, Message: "ticket: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.control.Propose(ctx, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: ticket}})
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, TicketResponse{Number: ticket.Number, Code: state.CodeUnknown, Message: err.Error()})
		return
	}
	writeJSON(w, httpStatus(result.Code), TicketResponse{
		Number:   ticket.Number,
		Code:     result.Code,
		Message:  result.Message,
		Revision: result.Revision,
		Accepted: result.AcceptedTicket,
	})
}

func httpStatus(code state.Code) int {
	switch code {
	case state.CodeOK, state.CodeRepeated:
		return http.StatusOK
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

// showTicket returns the outcome of a ticket. With wait_ms it waits until the ticket is in force
// or the time has passed.
func (a *API) showTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil || number == 0 {
		writeProblem(w, http.StatusBadRequest, state.CodeInvalid, fmt.Sprintf("ticket number %q is not a whole number of at least 1", r.PathValue("number")))
		return
	}
	wait, err := parseWait(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, state.CodeInvalid, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+callTimeout)
	defer cancel()
	body, err := a.pollTicket(ctx, number, wait)
	if err != nil {
		writeReadProblem(w, err)
		return
	}
	writeRawJSON(w, body)
}

func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	wait, err := strconv.ParseUint(text, 10, 32)
	if err != nil || wait > maxWaitMs {
		return 0, fmt.Errorf("wait_ms %q is not a whole number from 0 to %d", text, maxWaitMs)
	}
	return time.Duration(wait) * time.Millisecond, nil
}

func (a *API) pollTicket(ctx context.Context, number uint64, wait time.Duration) (json.RawMessage, error) {
	deadline := time.Now().Add(wait)
	for {
		left := model.Millis(time.Until(deadline).Milliseconds())
		query := controller.TicketQuery{Number: number, WaitMs: max(0, min(left, pollWaitMs))}
		body, err := a.control.Read(ctx, "ticket", query)
		if err != nil {
			return nil, err
		}
		var status controller.TicketStatus
		if err := json.Unmarshal(body, &status); err != nil {
			return nil, err
		}
		if status.InForce || !status.Found || !time.Now().Before(deadline) {
			return body, nil
		}
	}
}

func (a *API) showJobs(w http.ResponseWriter, r *http.Request) {
	query := controller.JobsQuery{
		Tenant: model.TenantID(r.URL.Query().Get("tenant")),
		Phase:  state.JobPhase(r.URL.Query().Get("phase")),
	}
	switch query.Phase {
	case "", state.JobQueued, state.JobAssigned, state.JobFinished, state.JobFailed, state.JobCancelled:
		a.read(w, r, "jobs", query)
	default:
		writeProblem(w, http.StatusBadRequest, state.CodeInvalid,
			fmt.Sprintf("phase %q is none of queued, assigned, finished, failed, cancelled", query.Phase))
	}
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	a.read(w, r, "explain", model.JobID(r.PathValue("id")))
}

func (a *API) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var body state.CancelJobs
	if err := model.DecodeJSON(r.Body, maxBodyBytes, &body); err != nil {
		writeProblem(w, http.StatusBadRequest, state.CodeInvalid, "cancellation: "+err.Error())
		return
	}
	if len(body.Jobs) == 0 {
		writeProblem(w, http.StatusBadRequest, state.CodeInvalid, "jobs is empty, at least 1 job id is needed")
		return
	}
	a.propose(w, r, state.Command{CancelJobs: &body})
}

// QuarantineRequest is the body of a quarantine request.
type QuarantineRequest struct {
	Reason string `json:"reason"`
}

func (a *API) quarantineHandler(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body QuarantineRequest
		if on {
			if err := model.DecodeJSON(r.Body, maxBodyBytes, &body); err != nil {
				writeProblem(w, http.StatusBadRequest, state.CodeInvalid, "quarantine: "+err.Error())
				return
			}
		}
		a.propose(w, r, state.Command{QuarantineTarget: &state.QuarantineTarget{
			Target:      model.TargetID(r.PathValue("target")),
			Quarantined: on,
			Reason:      body.Reason,
			Operator:    true,
		}})
	}
}

func (a *API) propose(w http.ResponseWriter, r *http.Request, c state.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.control.Propose(ctx, c)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, state.CodeUnknown, err.Error())
		return
	}
	writeJSON(w, httpStatus(result.Code), Problem{Code: result.Code, Message: result.Message})
}

func (a *API) readHandler(query string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { a.read(w, r, query, nil) }
}

func (a *API) read(w http.ResponseWriter, r *http.Request, query string, arguments any) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	body, err := a.control.Read(ctx, query, arguments)
	if err != nil {
		writeReadProblem(w, err)
		return
	}
	writeRawJSON(w, body)
}

// writeReadProblem reports an argument that the controllers refused, such as an unknown job, as not
// found, and any other error as unavailable.
func writeReadProblem(w http.ResponseWriter, err error) {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.InvalidArgument {
		writeProblem(w, http.StatusNotFound, state.CodeNotFound, twirpErr.Msg())
		return
	}
	writeProblem(w, http.StatusServiceUnavailable, codeUnavailable, err.Error())
}

func writeRawJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

func writeProblem(w http.ResponseWriter, status int, code state.Code, message string) {
	writeJSON(w, status, Problem{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
