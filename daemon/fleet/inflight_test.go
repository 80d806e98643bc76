package fleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Guards against a request that waits for a frozen leader until the timeout although the next one has responded.
func TestCallToTheFormerLeaderEndsOnceAnotherResponds(t *testing.T) {
	c := NewClient([]string{"a", "b"}, http.DefaultTransport, zerolog.Nop())
	former, endFormer := c.beginCall(context.Background(), "a")
	defer endFormer()
	current, endCurrent := c.beginCall(context.Background(), "b")
	defer endCurrent()
	c.recordSuccess("b")
	if former.Err() != context.Canceled {
		t.Errorf("the call to the former leader goes on: %v", former.Err())
	}
	if current.Err() != nil {
		t.Errorf("the call to the leader has ended: %v", current.Err())
	}
	endFormer()
	endCurrent()
	if len(c.calls) != 0 {
		t.Errorf("%d calls are still recorded", len(c.calls))
	}
}

// Guards against a caller that gets an error because its call to the former leader was cancelled.
func TestCancelledCallIsRepeatedAtTheNextLeader(t *testing.T) {
	reached := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that the client is gone only after the body
		close(reached)
		<-r.Context().Done()
	}))
	defer frozen.Close()
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, err := model.Encode(JobResponse{Code: state.CodeNotFound})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(body)
	}))
	defer next.Close()
	c := NewClient([]string{frozen.Listener.Addr().String(), next.Listener.Addr().String()}, http.DefaultTransport, zerolog.Nop())
	go func() {
		<-reached
		c.recordSuccess(next.Listener.Addr().String())
	}()
	response, err := c.Lookup(context.Background(), Query{Host: "h", Path: "/q/j"})
	if err != nil || response.Code != state.CodeNotFound {
		t.Errorf("response %+v, %v", response, err)
	}
}
