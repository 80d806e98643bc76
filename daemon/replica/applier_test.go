package replica

import (
	"errors"
	"testing"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/state"
)

// Guards against a proposal that gets the result of another one: a later leader may have replaced
// its entry at the same index.
func TestReplacedProposalHasUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		term uint64
		want error
	}{{2, nil}, {3, ErrOutcomeUnknown}} {
		result := make(chan proposalOutcome, 1)
		r := &Replica{pending: map[uint64]pendingProposal{7: {term: 2, result: result}}}
		a := &applier{r: r}
		a.completeProposal(consensus.Entry{Index: 7, Term: test.term}, proposalOutcome{result: state.Result{Code: state.CodeOK}})
		if got := <-result; !errors.Is(got.err, test.want) {
			t.Errorf("entry of term %d for a proposal of term 2: %+v", test.term, got)
		}
	}
}
