package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/wait"
)

// Time limits of the shutdown steps that depend on targets or other daemons.
const (
	ownerDrainTimeout   = 6 * time.Second  // for calls to targets about attempts that are in progress; one call takes at most 5 s
	handoverTimeout     = 10 * time.Second // until the first commit of DrainGateway; later commits go on in the background
	drainAttemptTimeout = 5 * time.Second  // of one attempt to commit DrainGateway
	drainRetryInterval  = 200 * time.Millisecond
	peerShutdownTimeout = 2 * time.Second // for the last calls from peers

	transferTimeout = 2 * time.Second // for the leadership transfer
)

var errForced = errors.New("forced shutdown by a second signal; requests in progress were aborted")

// shutdown shuts down without aborting requests. It reports not ready, waits until the load balancer
// has noticed, disables keep-alives, hands over the targets and the leadership, and waits for all
// open requests and streams. It keeps renewing the session, because open requests need its lease.
func (d *daemon) shutdown(force context.Context) error {
	d.logger.Info().Msg("shutting down")
	d.gateway.Drain()
	wait.For(force, time.Duration(d.settings.BalancerWaitMs)*time.Millisecond)
	d.public.SetKeepAlivesEnabled(false)
	handoverCtx, cancel := context.WithCancel(force)
	defer cancel()
	d.handOverTargets(handoverCtx)
	d.transferLeadership(force)
	err := d.waitForRequests(force)
	if force.Err() != nil {
		return errForced
	}
	if d.replica != nil {
		err = errors.Join(err, d.replica.Close())
	}
	return err
}

// transferLeadership hands the leadership over if this controller is the leader, which saves the
// other controllers an election timeout. It must run before the peer listener closes, because the
// successor still has to exchange messages with this controller.
func (d *daemon) transferLeadership(force context.Context) {
	if d.replica == nil || !d.replica.Leader().Self {
		return
	}
	ctx, cancel := context.WithTimeout(force, transferTimeout)
	defer cancel()
	if err := d.replica.TransferLeadership(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("leadership transfer failed; the other controllers will elect a leader")
	}
}

// handOverTargets hands the targets over to other gateways. It stops dispatches, starts and lease
// renewals before it proposes DrainGateway, so that they cannot overlap with those of the next
// owners. It returns when the command is committed, or after handoverTimeout. After that, retries
// continue in the background: without DrainGateway, the renewed session would keep the targets
// assigned to this gateway, which no longer serves them.
func (d *daemon) handOverTargets(force context.Context) {
	drainCtx, cancel := context.WithTimeout(force, ownerDrainTimeout)
	defer cancel()
	d.owners.Drain(drainCtx)
	committed := make(chan struct{})
	go d.drainSessions(force, sync.OnceFunc(func() { close(committed) }))
	select {
	case <-committed:
	case <-time.After(handoverTimeout):
		d.logger.Warn().Msg("handover of targets not committed in time; continuing in the background")
	case <-force.Done():
	}
}

// drainSessions commits DrainGateway for the current session and for each later one, until force is
// done. It calls committed after each commit.
func (d *daemon) drainSessions(force context.Context, committed func()) {
	var drained model.Epoch
	for force.Err() == nil {
		if epoch := d.session.Epoch(); epoch != drained {
			if err := d.drainSession(force, epoch); err != nil {
				d.logger.Warn().Err(err).Msg("handover of targets not committed; retrying")
			} else {
				drained = epoch
				committed()
			}
		}
		wait.For(force, drainRetryInterval)
	}
}

// drainSession proposes DrainGateway for the session with the given epoch.
func (d *daemon) drainSession(force context.Context, epoch model.Epoch) error {
	ctx, cancel := context.WithTimeout(force, drainAttemptTimeout)
	defer cancel()
	result, err := d.control.Propose(ctx, state.Command{DrainGateway: &state.DrainGateway{
		Gateway: d.settings.Gateway,
		Epoch:   epoch,
	}})
	if err == nil && !result.OK() {
		return fmt.Errorf("%s: %s", result.Code, result.Message)
	}
	return err
}

// waitForRequests waits for the requests of callers first and closes the peer server last, because
// peers may still wait for responses to calls that they forwarded to this gateway.
func (d *daemon) waitForRequests(force context.Context) error {
	if err := d.public.Shutdown(force); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if err := d.gateway.WaitIdle(force); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(force, peerShutdownTimeout)
	defer cancel()
	if err := d.peer.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
