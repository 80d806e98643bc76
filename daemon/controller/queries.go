package controller

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/twitchtv/twirp"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/rpc"
)

// query answers one named query from the state.
type query func(s *Service, st *state.State, arguments []byte) ([]byte, error)

// queries lists the named queries of Read.
var queries = map[string]query{
	"job":    queryJob,
	"owner":  queryOwner,
	"status": queryStatus,
	"ticket": queryTicket,
}

// Read answers a linearizable query.
func (s *Service) Read(ctx context.Context, request *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	run, ok := queries[request.Query]
	if !ok {
		return nil, twirp.InvalidArgumentError("query", fmt.Sprintf("%q is unknown", request.Query))
	}
	var body []byte
	var failure error
	err := s.log.Read(ctx, func(st *state.State) {
		body, failure = run(s, st, request.Arguments)
	})
	if err != nil {
		return nil, s.wrap(err)
	}
	if failure != nil {
		return nil, twirp.InvalidArgumentError("arguments", failure.Error())
	}
	return &rpc.ReadResponse{Body: body}, nil
}

func queryJob(_ *Service, st *state.State, arguments []byte) ([]byte, error) {
	var id model.JobID
	if err := model.Decode(arguments, &id); err != nil {
		return nil, err
	}
	return json.Marshal(st.Jobs[id])
}

// queryOwner answers the peer address of a target's owner as plain text, empty if none.
func queryOwner(_ *Service, st *state.State, arguments []byte) ([]byte, error) {
	var id model.TargetID
	if err := model.Decode(arguments, &id); err != nil {
		return nil, err
	}
	target, ok := st.Targets[id]
	if !ok || target.Owner == "" {
		return nil, nil
	}
	return []byte(st.Gateways[target.Owner].PeerAddr), nil
}

// Status is the answer of the status query.
type Status struct {
	Revision model.Revision  `json:"revision"`
	Gateways []state.Gateway `json:"gateways"`
	Targets  []state.Target  `json:"targets"`
	Queued   int             `json:"queued_jobs"`
	Open     int             `json:"open_attempts"`
}

func queryStatus(_ *Service, st *state.State, _ []byte) ([]byte, error) {
	status := Status{Revision: st.Revision}
	for _, gateway := range st.LiveGateways() {
		status.Gateways = append(status.Gateways, *gateway)
	}
	for _, target := range st.AllTargets() {
		status.Targets = append(status.Targets, *target)
	}
	for _, job := range st.Jobs {
		switch job.Phase {
		case state.JobQueued:
			status.Queued++
		case state.JobAssigned:
			status.Open++
		}
	}
	return json.Marshal(status)
}

// TicketStatus is the answer of the ticket query.
type TicketStatus struct {
	Found    bool              `json:"found"`
	Revision model.Revision    `json:"revision,omitempty"`
	InForce  bool              `json:"in_force"`
	Behind   []model.GatewayID `json:"behind,omitempty"` // gateways that have not applied it
}

func queryTicket(s *Service, st *state.State, arguments []byte) ([]byte, error) {
	var number uint64
	if err := model.Decode(arguments, &number); err != nil {
		return nil, err
	}
	record, ok := st.Tickets[number]
	if !ok {
		return json.Marshal(TicketStatus{})
	}
	var open []state.Gateway
	for _, gateway := range st.LiveGateways() {
		open = append(open, *gateway)
	}
	behind := s.sessions.applied(open, record.Revision)
	return json.Marshal(TicketStatus{
		Found:    true,
		Revision: record.Revision,
		InForce:  len(behind) == 0,
		Behind:   behind,
	})
}
