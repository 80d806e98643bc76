package fleet

import (
	"context"
	"fmt"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
)

// maxExplains bounds the explanations that one pass makes; each takes as long as a plan.
const maxExplains = 2

// explainRequest asks the next pass where a job would go.
type explainRequest struct {
	submission workflow.Submission
	answer     chan<- ExplainResponse // buffered for one answer
}

// ExplainResponse is the answer to a request to explain where a job would go.
type ExplainResponse struct {
	Error       string               `cbor:"1,keyasint,omitempty"` // why the job would be refused
	Explanation dispatch.Explanation `cbor:"2,keyasint,omitempty"`
}

// Explain tells where the tasks of a job would go now, without submitting it. The next full pass answers.
func (e *Engine) Explain(ctx context.Context, s workflow.Submission) (ExplainResponse, error) {
	l := e.currentLeadership()
	if l == nil {
		return ExplainResponse{}, ErrNotLeading
	}
	answer := make(chan ExplainResponse, 1)
	l.mu.Lock()
	if len(l.explains) >= maxExplains {
		l.mu.Unlock()
		return ExplainResponse{}, fmt.Errorf("%w: %d explanations wait", ErrNotLeading, maxExplains)
	}
	l.explains = append(l.explains, explainRequest{s, answer})
	l.mu.Unlock()
	l.requestPass()
	select {
	case response := <-answer:
		return response, nil
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return ExplainResponse{}, ErrNotLeading
}

// answerExplains answers the waiting requests from the input of a full pass; l.mu must be held.
func (l *leadership) answerExplains(st *state.State, p *dispatch.Snapshot) {
	for _, request := range l.explains {
		routing := st.Config.Routing
		if routing == nil {
			routing = &model.Routing{}
		}
		job, err := dispatch.Preview(routing, &request.submission, p.Now)
		if err != nil {
			request.answer <- ExplainResponse{Error: err.Error()}
			continue
		}
		request.answer <- ExplainResponse{Explanation: dispatch.Explain(p, l.plannerState, job)}
	}
	l.explains = nil
}

// Explain tells where the tasks of a job would go now.
func (c Control) Explain(ctx context.Context, s workflow.Submission) (ExplainResponse, error) {
	return call[ExplainResponse](ctx, c.Client, opExplain, s)
}
