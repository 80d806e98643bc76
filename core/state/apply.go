package state

import (
	"samphirepaddle.example/core/model"
)

// Apply applies the committed command at the log index and returns its result. Every command
// advances the revision and the time and trims old records; an empty or unknown command does
// nothing else, so that replicas do not diverge on it.
func (s *State) Apply(index model.Revision, c Command) Result {
	s.Revision = index
	s.Now = max(s.Now, c.ProposedAt)
	result := s.dispatch(c)
	s.trim()
	if result.Revision == 0 {
		result.Revision = index
	}
	return result
}

func (s *State) dispatch(c Command) Result {
	switch {
	case c.SubmitTicket != nil:
		return s.submitTicket(c.SubmitTicket)
	case c.RegisterGateway != nil:
		return s.registerGateway(c.RegisterGateway)
	case c.ExpireGateway != nil:
		return s.expireGateway(c.ExpireGateway)
	case c.DrainGateway != nil:
		return s.drainGateway(c.DrainGateway)
	case c.MoveTarget != nil:
		return s.moveTarget(c.MoveTarget)
	case c.HandOverTarget != nil:
		return s.handOverTarget(c.HandOverTarget)
	case c.JoinTarget != nil:
		return s.joinTarget(c.JoinTarget)
	case c.LeaveTarget != nil:
		return s.leaveTarget(c.LeaveTarget)
	case c.LoseTarget != nil:
		return s.loseTarget(c.LoseTarget)
	case c.QuarantineTarget != nil:
		return s.quarantineTarget(c.QuarantineTarget)
	case c.EvacuateZone != nil:
		return s.evacuateZone(c.EvacuateZone)
	default:
		return s.dispatchWork(c)
	}
}

func (s *State) dispatchWork(c Command) Result {
	switch {
	case c.SubmitJob != nil:
		return s.submitJob(c.SubmitJob)
	case c.CancelJobs != nil:
		return s.cancelJobs(c.CancelJobs)
	case c.AssignAttempt != nil:
		return s.assignAttempt(c.AssignAttempt)
	case c.EvictAttempt != nil:
		return s.evictAttempt(c.EvictAttempt)
	case c.EndAttempt != nil:
		return s.endAttempt(c.EndAttempt)
	case c.MarkNeverRunnable != nil:
		return s.markNeverRunnable(c.MarkNeverRunnable)
	case c.BeginRequest != nil:
		return s.beginRequest(c.BeginRequest)
	case c.EndRequest != nil:
		return s.endRequest(c.EndRequest)
	case c.Workflow != nil:
		return s.applyWorkflow(c.Workflow)
	default:
		return resultf(CodeInvalid, "the command is empty or of a kind unknown to this version")
	}
}
