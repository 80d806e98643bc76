package state

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// workflowCodes maps the outcomes of the workflow state to result codes.
var workflowCodes = map[workflow.Outcome]Code{
	workflow.Accepted: CodeOK,
	workflow.Repeated: CodeRepeated,
	workflow.Unknown:  CodeNotFound,
	workflow.NoRoute:  CodeNoRoute,
	workflow.Invalid:  CodeInvalid,
}

// applyWorkflow applies a workflow command with the current routing table.
func (s *State) applyWorkflow(c *workflow.Command) Result {
	routing := s.Config.Routing
	if routing == nil {
		routing = &model.Routing{}
	}
	outcome, message := s.Workflows.Apply(s.Now, routing, c)
	return Result{Code: workflowCodes[outcome], Message: message}
}
