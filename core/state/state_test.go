package state_test

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Guards against a resend of a ticket being applied a second time, and against a ticket
// of the same number replacing an accepted one.
func TestTicketResendAndConflict(t *testing.T) {
	s := state.New()
	ticket := model.Ticket{Number: 7, Author: "ana", Pools: []model.Pool{{ID: "shops"}}}
	submit := func(index model.Revision, t model.Ticket) state.Result {
		return s.Apply(index, state.Command{SubmitTicket: &state.SubmitTicket{Ticket: t}})
	}
	if got := submit(1, ticket); got.Code != state.CodeOK {
		t.Fatalf("first submission: %+v", got)
	}
	if got := submit(2, ticket); got.Code != state.CodeRepeated || got.Revision != 1 {
		t.Fatalf("resend: %+v", got)
	}
	other := ticket
	other.Author = "ben"
	got := submit(3, other)
	if got.Code != state.CodeConflict || got.Accepted == nil || got.Accepted.Author != "ana" {
		t.Fatalf("conflict: %+v", got)
	}
}
