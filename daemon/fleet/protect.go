package fleet

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// protectedClient is a WorkerClient whose calls return an error where another one's panic. What a
// worker sends must not end the leader's process.
type protectedClient struct {
	WorkerClient
	logger  zerolog.Logger
	metrics *Metrics
}

// recoverInto turns a panic into an error, with which the call may have been executed.
func (p protectedClient) recoverInto(err *error, to Endpoint, call string) {
	reason := recover()
	if reason == nil {
		return
	}
	p.metrics.count("panics", call, 1)
	p.logger.Error().Interface("panic", reason).Str("worker", string(to.Incarnation.Worker)).Str("call", call).
		Bytes("stack", debug.Stack()).Msg("a call to a worker panicked")
	*err = fmt.Errorf("the %s call panicked: %v", call, reason)
}

func (p protectedClient) Start(ctx context.Context, to Endpoint, call StartCall) (clock model.Millis, err error) {
	defer p.recoverInto(&err, to, "start")
	return p.WorkerClient.Start(ctx, to, call)
}

func (p protectedClient) Stop(ctx context.Context, to Endpoint, attempt workflow.Attempt, token uint64) (clock model.Millis, err error) {
	defer p.recoverInto(&err, to, "stop")
	return p.WorkerClient.Stop(ctx, to, attempt, token)
}

func (p protectedClient) Hold(ctx context.Context, to Endpoint, call HoldCall) (listing Listing, err error) {
	defer p.recoverInto(&err, to, "hold")
	return p.WorkerClient.Hold(ctx, to, call)
}

func (p protectedClient) Pace(ctx context.Context, to Endpoint, attempt workflow.Attempt, percent int, token uint64) (err error) {
	defer p.recoverInto(&err, to, "pace")
	return p.WorkerClient.Pace(ctx, to, attempt, percent, token)
}
