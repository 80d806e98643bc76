package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/workflow"
)

// Guards against a caller that is told that its request may have run, although a VM without power kept the
// request waiting for a connection until its deadline.
func TestCallThatGotNoConnectionWasNotRun(t *testing.T) {
	unanswered := func(context.Context, string, string) (net.Conn, error) {
		<-t.Context().Done()
		return nil, t.Context().Err()
	}
	client := NewClient([]string{"dark:1"}, &http.Transport{DialContext: unanswered}, zerolog.Nop())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Submit(ctx, workflow.Submission{})
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		t.Errorf("a submission without a connection: %v, want NotRunError", err)
	}
}
