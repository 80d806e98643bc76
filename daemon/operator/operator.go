// Package operator serves the operators' HTTP interface.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/control"
)

// maxTicketBytes bounds the body of a ticket.
const maxTicketBytes = 8 << 20

// callTimeout bounds one operator's call.
const callTimeout = 10 * time.Second

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
}

// TicketAnswer is the answer to a submitted ticket.
type TicketAnswer struct {
	Number   uint64         `json:"number"`
	Code     state.Code     `json:"code"`
	Message  string         `json:"message,omitempty"`
	Revision model.Revision `json:"revision,omitempty"`
	Accepted *model.Ticket  `json:"accepted,omitempty"`
}

func (i *Interface) submitTicket(w http.ResponseWriter, r *http.Request) {
	var ticket model.Ticket
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxTicketBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ticket); err != nil {
		write(w, http.StatusBadRequest, TicketAnswer{Code: state.CodeInvalid, Message: err.Error()})
		return
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		write(w, http.StatusBadRequest, TicketAnswer{Code: state.CodeInvalid, Message: "unexpected content after the ticket"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := i.control.Propose(ctx, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: ticket}})
	if err != nil {
		write(w, http.StatusServiceUnavailable, TicketAnswer{Number: ticket.Number, Code: state.CodeUnknown, Message: err.Error()})
		return
	}
	write(w, ticketStatus(result.Code), TicketAnswer{
		Number:   ticket.Number,
		Code:     result.Code,
		Message:  result.Message,
		Revision: result.Revision,
		Accepted: result.Accepted,
	})
}

func ticketStatus(code state.Code) int {
	switch code {
	case state.CodeOK, state.CodeRepeated:
		return http.StatusOK
	case state.CodeInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusConflict
	}
}

func (i *Interface) showTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		write(w, http.StatusBadRequest, map[string]string{"error": "ticket number must be a whole number"})
		return
	}
	i.read(w, r, "ticket", number)
}

func (i *Interface) show(query string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { i.read(w, r, query, nil) }
}

func (i *Interface) read(w http.ResponseWriter, r *http.Request, query string, arguments any) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	body, err := i.control.Read(ctx, query, arguments)
	if err != nil {
		write(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
