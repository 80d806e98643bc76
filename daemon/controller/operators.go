package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// maxInForceWaitMs is the longest wait of one ticket query. It is shorter than the call timeout
// of the controllers' clients, which repeat the query to wait longer.
const maxInForceWaitMs = model.Millis(400)

// maxListedJobs is the maximum number of jobs in the response of the jobs query.
const maxListedJobs = 1000

// TicketQuery is the argument of the ticket query.
type TicketQuery struct {
	Number uint64       `json:"number"`
	WaitMs model.Millis `json:"wait_ms"` // longest time to wait until the ticket is in force
}

// TicketStatus is the response of the ticket query. A ticket is in force when each live
// session has applied its revision or has expired.
type TicketStatus struct {
	Found           bool                `json:"found"`
	Record          *state.TicketRecord `json:"record,omitempty"`
	InForce         bool                `json:"in_force"`
	LaggingGateways []model.GatewayID   `json:"behind,omitempty"` // gateways that have not applied it
}

// ticketStatus returns the status of a ticket, and a channel that is closed when a session
// reports a newer applied revision.
func (s *Service) ticketStatus(st *state.State, number uint64) (TicketStatus, <-chan struct{}) {
	record, ok := st.Tickets[number]
	if !ok {
		return TicketStatus{}, nil
	}
	var live []state.Gateway
	for _, gateway := range st.LiveGateways() {
		live = append(live, *gateway)
	}
	lagging, changed := s.sessions.laggingGateways(live, record.Revision)
	copied := *record
	return TicketStatus{Found: true, Record: &copied, InForce: len(lagging) == 0, LaggingGateways: lagging}, changed
}

func queryTicket(s *Service, st *state.State, arguments []byte) ([]byte, error) {
	var query TicketQuery
	if err := model.Decode(arguments, &query); err != nil {
		return nil, err
	}
	status, _ := s.ticketStatus(st, query.Number)
	return json.Marshal(status)
}

// waitInForce waits until the ticket is in force or the wait time of the query has passed. The
// caller reads the status afterwards, from a leader that a quorum has confirmed.
func (s *Service) waitInForce(ctx context.Context, arguments []byte) {
	var query TicketQuery
	if model.Decode(arguments, &query) != nil || query.WaitMs <= 0 || !s.log.Leader().Self {
		return
	}
	timer := time.NewTimer(time.Duration(min(query.WaitMs, maxInForceWaitMs)) * time.Millisecond)
	defer timer.Stop()
	for {
		applied := s.log.Changed()
		var status TicketStatus
		var reported <-chan struct{}
		s.log.View(func(st *state.State) { status, reported = s.ticketStatus(st, query.Number) })
		if status.InForce || !status.Found {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-applied:
		case <-reported:
		}
	}
}

// JobSummary is one job in the response of the jobs query.
type JobSummary struct {
	ID                  model.JobID    `json:"id"`
	Tenant              model.TenantID `json:"tenant"`
	Pool                model.PoolID   `json:"pool"`
	Phase               state.JobPhase `json:"phase"`
	Urgent              bool           `json:"urgent"`
	Attempts            uint32         `json:"attempts"`
	Failures            uint32         `json:"failures"`
	Evictions           uint32         `json:"evictions"`
	Losses              uint32         `json:"losses"`
	Crashes             uint32         `json:"crashes"`
	Target              model.TargetID `json:"target,omitempty"`
	NeverRunnableReason string         `json:"never_reason,omitempty"`
	Message             string         `json:"message,omitempty"`
	ChangedRevision     model.Revision `json:"changed"`
}

// Jobs is the response of the jobs query: the most recently changed jobs, the latest first.
type Jobs struct {
	Total int          `json:"total"` // matching jobs, including those not listed
	Jobs  []JobSummary `json:"jobs"`
}

// JobsQuery is the argument of the jobs query; empty fields match every job.
type JobsQuery struct {
	Tenant model.TenantID `json:"tenant"`
	Phase  state.JobPhase `json:"phase"`
}

func queryJobs(_ *Service, st *state.State, arguments []byte) ([]byte, error) {
	var query JobsQuery
	if err := model.Decode(arguments, &query); err != nil {
		return nil, err
	}
	response := Jobs{Jobs: []JobSummary{}}
	for _, job := range st.Jobs {
		if (query.Tenant == "" || job.Spec.Tenant == query.Tenant) && (query.Phase == "" || job.Phase == query.Phase) {
			response.Jobs = append(response.Jobs, summarize(job))
		}
	}
	slices.SortFunc(response.Jobs, func(a, b JobSummary) int {
		return cmp.Or(cmp.Compare(b.ChangedRevision, a.ChangedRevision), cmp.Compare(a.ID, b.ID))
	})
	response.Total = len(response.Jobs)
	response.Jobs = response.Jobs[:min(len(response.Jobs), maxListedJobs)]
	return json.Marshal(response)
}

func summarize(job *state.Job) JobSummary {
	summary := JobSummary{
		ID:                  job.Spec.ID,
		Tenant:              job.Spec.Tenant,
		Pool:                job.Spec.Pool,
		Phase:               job.Phase,
		Urgent:              job.Spec.Urgent,
		Attempts:            job.Attempts,
		Failures:            job.Failures,
		Evictions:           job.Evictions,
		Losses:              job.Losses,
		Crashes:             job.Crashes,
		NeverRunnableReason: job.NeverRunnableReason,
		Message:             job.Message,
		ChangedRevision:     job.ChangedRevision,
	}
	if job.OpenAttempt != nil {
		summary.Target = job.OpenAttempt.Target
	}
	return summary
}

// SessionLease is the lease of a gateway's session as the leader knows it.
type SessionLease struct {
	Gateway         state.Gateway  `json:"gateway"`
	ExpiresInMs     model.Millis   `json:"ends_in_ms"` // until the leader may treat the lease as expired
	AppliedRevision model.Revision `json:"applied"`
}

// TargetLease is the ownership of a target. Only the owner knows when the lease on the target
// expires.
type TargetLease struct {
	Target       model.TargetID  `json:"target"`
	Owner        model.GatewayID `json:"owner"`
	Epoch        model.Epoch     `json:"epoch"`
	StartID      string          `json:"start_id"`
	Leaving      bool            `json:"leaving"`
	Lost         bool            `json:"lost"`
	OpenAttempts int             `json:"open_attempts"`
}

// Leases is the response of the leases query.
type Leases struct {
	Sessions []SessionLease `json:"sessions"`
	Targets  []TargetLease  `json:"targets"`
}

func queryLeases(s *Service, st *state.State, _ []byte) ([]byte, error) {
	response := Leases{Sessions: []SessionLease{}, Targets: []TargetLease{}}
	for _, gateway := range st.LiveGateways() {
		response.Sessions = append(response.Sessions, s.sessions.describe(*gateway))
	}
	for _, t := range st.AllTargets() {
		response.Targets = append(response.Targets, TargetLease{t.ID, t.Owner, t.Epoch, t.StartID, t.Leaving, t.Lost, len(st.OpenJobsOn(t.ID))})
	}
	return json.Marshal(response)
}

// QuarantinedTarget is one target in the response of the quarantine query.
type QuarantinedTarget struct {
	Target     model.TargetID `json:"target"`
	Reason     string         `json:"reason"`
	ByOperator bool           `json:"by_operator"`
}

func queryQuarantine(_ *Service, st *state.State, _ []byte) ([]byte, error) {
	list := []QuarantinedTarget{}
	for _, t := range st.AllTargets() {
		if t.QuarantineReason != "" {
			list = append(list, QuarantinedTarget{t.ID, t.QuarantineReason, t.QuarantinedByOperator})
		}
	}
	return json.Marshal(list)
}

func queryEvacuations(_ *Service, st *state.State, _ []byte) ([]byte, error) {
	return json.Marshal(st.DescribeEvacuations())
}

// Explainer explains why a queued job waits; the scheduler implements it. Explain is called with
// the state locked.
type Explainer interface {
	Explain(st *state.State, job *state.Job) WaitExplanation
}

// WaitExplanation explains why a queued job waits.
type WaitExplanation struct {
	Reason  string         `json:"reason"`
	Targets []TargetReason `json:"targets,omitempty"`
}

// TargetReason explains why a queued job is not assigned to one target.
type TargetReason struct {
	Target model.TargetID `json:"target"`
	Reason string         `json:"reason"`
}

// Explanation is the response of the explain query.
type Explanation struct {
	Job     JobSummary       `json:"job"`
	Waiting *WaitExplanation `json:"waiting,omitempty"` // set for queued jobs only
}

// SetExplainer sets the Explainer of the explain query. It must be called before calls are
// served.
func (s *Service) SetExplainer(e Explainer) { s.explainer = e }

func queryExplain(s *Service, st *state.State, arguments []byte) ([]byte, error) {
	var id model.JobID
	if err := model.Decode(arguments, &id); err != nil {
		return nil, err
	}
	job, ok := st.Jobs[id]
	if !ok {
		return nil, fmt.Errorf("job %q does not exist", id)
	}
	explanation := Explanation{Job: summarize(job)}
	if job.Phase == state.JobQueued && s.explainer != nil {
		waiting := s.explainer.Explain(st, job)
		explanation.Waiting = &waiting
	}
	return json.Marshal(explanation)
}

// Member is one controller of the group.
type Member struct {
	ID            model.GatewayID `json:"id"`
	DataID        string          `json:"data_id"` // id of the data directory; changes when the disk is lost
	PeerAddr      string          `json:"peer_addr"`
	Role          string          `json:"role"` // leader, voter, learner
	MatchIndex    uint64          `json:"match,omitempty"`
	ChangePending bool            `json:"changing,omitempty"` // the membership that lists it is not committed yet
}

// MemberLister lists the controllers of the group.
type MemberLister interface {
	// Members returns the controllers with their roles.
	Members() []Member
}

// SetMembers sets the source of the members query. It must be called before calls are served.
func (s *Service) SetMembers(m MemberLister) { s.members = m }

func queryMembers(s *Service, _ *state.State, _ []byte) ([]byte, error) {
	if s.members != nil {
		return json.Marshal(s.members.Members())
	}
	leader := s.log.Leader()
	if !leader.Self {
		return nil, errors.New("the members are known to the leader only")
	}
	return json.Marshal([]Member{{ID: leader.ID, PeerAddr: leader.PeerAddr, Role: "leader"}})
}
