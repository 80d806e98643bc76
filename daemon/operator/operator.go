// Package operator serves the operators' HTTP interface.
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

// Bounds on the operators' calls.
const (
	maxBodyBytes = 1 << 20
	// callTimeout bounds the part of a call that reaches the controllers.
	callTimeout = 10 * time.Second
	// maxWaitMs bounds how long a caller may wait for a ticket to be in force.
	maxWaitMs = 60_000
	// pollWaitMs is the wait of one query; the controllers cut it to their own bound.
	pollWaitMs = model.Millis(400)
)

// Interface serves operators through the controllers.
type Interface struct {
	control *control.Client
}

// New returns the interface.
func New(client *control.Client) *Interface { return &Interface{control: client} }

// Register adds the operators' paths to the public mux.
func (i *Interface) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/tickets", i.submitTicket)
	mux.HandleFunc("GET /v1/tickets/{number}", i.showTicket)
	mux.HandleFunc("GET /v1/status", i.show("status"))
	mux.HandleFunc("GET /v1/jobs", i.showJobs)
	mux.HandleFunc("GET /v1/jobs/{id}/explain", i.explain)
	mux.HandleFunc("POST /v1/jobs/cancel", i.cancelJobs)
	mux.HandleFunc("GET /v1/leases", i.show("leases"))
	mux.HandleFunc("GET /v1/members", i.show("members"))
	mux.HandleFunc("GET /v1/quarantine", i.show("quarantine"))
	mux.HandleFunc("POST /v1/quarantine/{target}", i.quarantine(true))
	mux.HandleFunc("DELETE /v1/quarantine/{target}", i.quarantine(false))
}

// Problem is the body of an error.
type Problem struct {
	Code    state.Code `json:"code"`
	Message string     `json:"message"`
}

// codeUnavailable is the code of answers that say nothing about the state.
const codeUnavailable state.Code = "unavailable"

// TicketResponse is the answer to a submitted ticket.
type TicketResponse struct {
	Number   uint64              `json:"number"`
	Code     state.Code          `json:"code"`
	Message  string              `json:"message,omitempty"`
	Revision model.Revision      `json:"revision,omitempty"`
	Accepted *state.TicketRecord `json:"accepted,omitempty"` // the ticket that was accepted instead
}

func (i *Interface) submitTicket(w http.ResponseWriter, r *http.Request) {
	ticket, err := model.DecodeTicket(r.Body)
	if err != nil {
		write(w, http.StatusBadRequest, TicketResponse{Number: ticket.Number, Code: state.CodeInvalid, Message: "ticket: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := i.control.Propose(ctx, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: ticket}})
	if err != nil {
		write(w, http.StatusServiceUnavailable, TicketResponse{Number: ticket.Number, Code: state.CodeUnknown, Message: err.Error()})
		return
	}
	write(w, status(result.Code), TicketResponse{
		Number:   ticket.Number,
		Code:     result.Code,
		Message:  result.Message,
		Revision: result.Revision,
		Accepted: result.AcceptedTicket,
	})
}

func status(code state.Code) int {
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

// showTicket answers the outcome of a ticket; with wait_ms it waits until the ticket is in
// force or the time is over.
func (i *Interface) showTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil || number == 0 {
		problem(w, http.StatusBadRequest, state.CodeInvalid, fmt.Sprintf("ticket number %q is not a whole number of at least 1", r.PathValue("number")))
		return
	}
	wait, err := waitOf(r)
	if err != nil {
		problem(w, http.StatusBadRequest, state.CodeInvalid, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+callTimeout)
	defer cancel()
	body, err := i.pollTicket(ctx, number, wait)
	if err != nil {
		readProblem(w, err)
		return
	}
	raw(w, body)
}

func waitOf(r *http.Request) (time.Duration, error) {
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

func (i *Interface) pollTicket(ctx context.Context, number uint64, wait time.Duration) (json.RawMessage, error) {
	deadline := time.Now().Add(wait)
	for {
		left := model.Millis(time.Until(deadline).Milliseconds())
		query := controller.TicketQuery{Number: number, WaitMs: max(0, min(left, pollWaitMs))}
		body, err := i.control.Read(ctx, "ticket", query)
		if err != nil {
			return nil, err
		}
		var answer controller.TicketStatus
		if err := json.Unmarshal(body, &answer); err != nil {
			return nil, err
		}
		if answer.InForce || !answer.Found || !time.Now().Before(deadline) {
			return body, nil
		}
	}
}

func (i *Interface) showJobs(w http.ResponseWriter, r *http.Request) {
	query := controller.JobsQuery{
		Tenant: model.TenantID(r.URL.Query().Get("tenant")),
		Phase:  state.JobPhase(r.URL.Query().Get("phase")),
	}
	switch query.Phase {
	case "", state.JobQueued, state.JobAssigned, state.JobFinished, state.JobFailed, state.JobCancelled:
		i.read(w, r, "jobs", query)
	default:
		problem(w, http.StatusBadRequest, state.CodeInvalid,
			fmt.Sprintf("phase %q is none of queued, assigned, finished, failed, cancelled", query.Phase))
	}
}

func (i *Interface) explain(w http.ResponseWriter, r *http.Request) {
	i.read(w, r, "explain", model.JobID(r.PathValue("id")))
}

func (i *Interface) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var body state.CancelJobs
	if err := model.DecodeJSON(r.Body, maxBodyBytes, &body); err != nil {
		problem(w, http.StatusBadRequest, state.CodeInvalid, "cancellation: "+err.Error())
		return
	}
	if len(body.Jobs) == 0 {
		problem(w, http.StatusBadRequest, state.CodeInvalid, "jobs is empty, at least 1 job id is needed")
		return
	}
	i.propose(w, r, state.Command{CancelJobs: &body})
}

// QuarantineRequest is the body of a quarantine order.
type QuarantineRequest struct {
	Reason string `json:"reason"`
}

func (i *Interface) quarantine(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body QuarantineRequest
		if on {
			if err := model.DecodeJSON(r.Body, maxBodyBytes, &body); err != nil {
				problem(w, http.StatusBadRequest, state.CodeInvalid, "quarantine: "+err.Error())
				return
			}
		}
		i.propose(w, r, state.Command{QuarantineTarget: &state.QuarantineTarget{
			Target:   model.TargetID(r.PathValue("target")),
			On:       on,
			Reason:   body.Reason,
			Operator: true,
		}})
	}
}

func (i *Interface) propose(w http.ResponseWriter, r *http.Request, c state.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := i.control.Propose(ctx, c)
	if err != nil {
		problem(w, http.StatusServiceUnavailable, state.CodeUnknown, err.Error())
		return
	}
	write(w, status(result.Code), Problem{Code: result.Code, Message: result.Message})
}

func (i *Interface) show(query string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { i.read(w, r, query, nil) }
}

func (i *Interface) read(w http.ResponseWriter, r *http.Request, query string, arguments any) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	body, err := i.control.Read(ctx, query, arguments)
	if err != nil {
		readProblem(w, err)
		return
	}
	raw(w, body)
}

// readProblem tells a refused argument, such as an unknown job, from a failed call.
func readProblem(w http.ResponseWriter, err error) {
	var answer twirp.Error
	if errors.As(err, &answer) && answer.Code() == twirp.InvalidArgument {
		problem(w, http.StatusNotFound, state.CodeNotFound, answer.Msg())
		return
	}
	problem(w, http.StatusServiceUnavailable, codeUnavailable, err.Error())
}

func raw(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

func problem(w http.ResponseWriter, status int, code state.Code, message string) {
	write(w, status, Problem{Code: code, Message: message})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
