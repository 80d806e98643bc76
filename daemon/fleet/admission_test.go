package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/replica"
)

// Guards against an order of admission other than by class and arrival.
func TestAdmissionIsInTheOrderOfClasses(t *testing.T) {
	a := &admission{limits: [operationClasses]classLimits{{inProgress: 3, waiting: 2}, {inProgress: 2, waiting: 2}, {inProgress: 1, waiting: 2}}}
	waiting := map[string]chan struct{}{}
	enqueue := func(name string, class operationClass) {
		t.Helper()
		var err error
		if waiting[name], err = a.enqueue(class); err != nil {
			t.Fatal(err)
		}
	}
	admitted := func(want ...string) {
		t.Helper()
		for _, name := range want {
			select {
			case <-waiting[name]:
				delete(waiting, name)
			default:
				t.Fatalf("%s is not admitted", name)
			}
		}
		for name, c := range waiting {
			select {
			case <-c:
				t.Fatalf("%s is admitted", name)
			default:
			}
		}
	}
	enqueue("submission 1", classSubmission)
	enqueue("submission 2", classSubmission)
	enqueue("submission 3", classSubmission)
	if _, err := a.enqueue(classSubmission); !errors.Is(err, ErrOverloaded) {
		t.Errorf("a submission beyond the limit of those that wait: %v, want ErrOverloaded", err)
	}
	admitted("submission 1")
	enqueue("cancellation 1", classCancellation)
	enqueue("cancellation 2", classCancellation)
	enqueue("configuration 1", classConfiguration)
	enqueue("configuration 2", classConfiguration)
	admitted("cancellation 1", "configuration 1")
	a.leave()
	admitted("configuration 2")
	a.leave()
	admitted()
	a.leave()
	admitted("cancellation 2")
	a.leave()
	a.leave()
	admitted("submission 2")
	a.leave()
	admitted("submission 3")
}

// Guards against a caller who leaves the queue and keeps a place in it, or in the log.
func TestAbandonedCommandLeavesTheQueue(t *testing.T) {
	a := &admission{limits: [operationClasses]classLimits{classSubmission: {inProgress: 1, waiting: 1, wait: time.Nanosecond}}}
	leave, err := a.enter(context.Background(), classSubmission)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := a.enter(context.Background(), classSubmission); !errors.Is(err, ErrOverloaded) {
			t.Fatalf("%v, want ErrOverloaded", err)
		}
	}
	leave()
	if leave, err = a.enter(context.Background(), classSubmission); err != nil {
		t.Fatal(err)
	}
	leave()
	if a.inProgress != 0 || len(a.waiting[classSubmission]) != 0 {
		t.Errorf("%d commands in progress and %d waiting, want none", a.inProgress, len(a.waiting[classSubmission]))
	}
}

// Guards against a gateway that takes an overloaded leader for one that is lost, calls it again at once with
// the same submission, or gives a cancellation up that the leader accepts a moment later.
func TestOnlySubmissionsEndAtAnOverloadedLeader(t *testing.T) {
	calls := 0
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls <= 2 {
			writeError(w, nil, fmt.Errorf("%w: test", ErrOverloaded))
			return
		}
		body, err := model.Encode(JobResponse{Code: state.CodeOK})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(body)
	}))
	defer leader.Close()
	addr := leader.Listener.Addr().String()
	c := NewClient([]string{addr, "127.0.0.1:1"}, http.DefaultTransport, zerolog.Nop())
	var notRun *NotRunError
	if _, err := c.Submit(t.Context(), workflow.Submission{}); !errors.As(err, &notRun) || calls != 1 || c.LeaderAddr() != addr {
		t.Errorf("submission: %v after %d calls, leader %q; want not run after one call, leader %q", err, calls, c.LeaderAddr(), addr)
	}
	if response, err := c.Cancel(t.Context(), workflow.Cancel{}); err != nil || response.Code != state.CodeOK || calls != 3 {
		t.Errorf("cancellation: %+v, %v after %d calls in all, want ok after 3", response, err, calls)
	}
}

// Guards against "not run" for a command that may be recorded, and against "unknown" for one that never was.
func TestErrorsOfProposalsTellWhetherSomethingWasRecorded(t *testing.T) {
	for _, c := range []struct{ err, want error }{
		{fmt.Errorf("%w: %w", replica.ErrOutcomeUnknown, context.DeadlineExceeded), ErrUnknownOutcome},
		{fmt.Errorf("%w: %w", replica.ErrOutcomeUnknown, replica.ErrClosed), ErrUnknownOutcome},
		{errors.New("another error"), ErrUnknownOutcome},
		{replica.ErrBusy, ErrOverloaded},
		{context.DeadlineExceeded, ErrOverloaded}, // the caller left the log's queue
		{replica.ErrNotLeader, ErrNotLeading},
		{replica.ErrClosed, ErrNotLeading},
	} {
		if got := proposalError(c.err); !errors.Is(got, c.want) {
			t.Errorf("%v becomes %v, want %v", c.err, got, c.want)
		}
	}
}
