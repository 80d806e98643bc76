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

// queryFunc runs one named query on the state and returns the body of the response.
type queryFunc func(s *Service, st *state.State, arguments []byte) ([]byte, error)

// queries lists the named queries of Read.
var queries = map[string]queryFunc{
	"evacuations": queryEvacuations,
	"explain":     queryExplain,
	"job":         queryJob,
	"jobs":        queryJobs,
	"leases":      queryLeases,
	"members":     queryMembers,
	"owner":       queryOwner,
	"quarantine":  queryQuarantine,
	"status":      queryStatus,
	"ticket":      queryTicket,
}

// Read runs a named query as a linearizable read.
func (s *Service) Read(ctx context.Context, request *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	runQuery, ok := queries[request.Query]
	if !ok {
		return nil, twirp.InvalidArgumentError("query", fmt.Sprintf("%q is unknown", request.Query))
	}
	if request.Query == "ticket" {
		s.waitInForce(ctx, request.Arguments)
	}
	var body []byte
	var queryErr error
	err := s.log.Read(ctx, func(st *state.State) {
		body, queryErr = runQuery(s, st, request.Arguments)
	})
	if err != nil {
		return nil, s.toTwirpError(err)
	}
	if queryErr != nil {
		return nil, twirp.InvalidArgumentError("arguments", queryErr.Error())
	}
	return &rpc.ReadResponse{Body: body}, nil
}

// jobView is a job as callers see it. Only the state uses the spec hash; the empty field of the
// same JSON name hides it.
type jobView struct {
	state.Job
	SpecHash *struct{} `json:"spec_hash,omitempty"`
}

// queryJob returns a job without its payload and checkpoint: these may take megabytes, and
// callers that follow the job's output read the job repeatedly.
func queryJob(_ *Service, st *state.State, arguments []byte) ([]byte, error) {
	var id model.JobID
	if err := model.Decode(arguments, &id); err != nil {
		return nil, err
	}
	job, ok := st.Jobs[id]
	if !ok {
		return []byte("null"), nil
	}
	view := jobView{Job: *job}
	view.Spec.Payload = nil
	view.Checkpoint = nil
	return json.Marshal(view)
}

// queryOwner returns the peer address of a target's owner as plain text, empty if the target has
// no owner.
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

// Status is the response of the status query.
type Status struct {
	Revision      model.Revision  `json:"revision"`
	Gateways      []state.Gateway `json:"gateways"`
	Targets       []state.Target  `json:"targets"`
	Services      []model.Service `json:"services"`
	QueuedJobs    int             `json:"queued_jobs"`
	NeverRunnable int             `json:"never_runnable_jobs"` // queued jobs that can never run
	KeptTickets   int             `json:"kept_tickets"`
	OpenAttempts  int             `json:"open_attempts"`
}

func queryStatus(_ *Service, st *state.State, _ []byte) ([]byte, error) {
	status := Status{Revision: st.Revision}
	for _, gateway := range st.LiveGateways() {
		status.Gateways = append(status.Gateways, *gateway)
	}
	for _, target := range st.AllTargets() {
		status.Targets = append(status.Targets, *target)
	}
	status.Services = st.AllServices()
	status.QueuedJobs = st.QueuedJobCount()
	status.NeverRunnable = len(st.NeverRunnableJobs())
	status.OpenAttempts = st.OpenAttemptCount()
	status.KeptTickets = len(st.Tickets)
	return json.Marshal(status)
}
