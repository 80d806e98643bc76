package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphirepaddle.example/core/state"
)

// Bounds of the steps of a shutdown that depend on other daemons.
const (
	ordersTimeout = 6 * time.Second  // for calls about attempts; one takes at most 5 s
	handoverTries = 10 * time.Second // for DrainGateway; without it the session's expiry hands over
	peerTimeout   = 2 * time.Second  // for the last calls of peers

	transferTimeout = 2 * time.Second // for handing the leadership over
)

var errForced = errors.New("left at the second signal; requests in progress were cut off")

// shutdown leaves without cutting off requests: not ready, wait for the load balancer,
// keep-alives off, stop dispatching, hand the targets over, wait for every open request and
// stream. The session is renewed meanwhile, because open requests still need its lease.
func (d *daemon) shutdown(force context.Context) error {
	d.logger.Info().Msg("shutting down")
	d.gateway.Drain()
	sleep(force, time.Duration(d.settings.BalancerWaitMs)*time.Millisecond)
	d.public.SetKeepAlivesEnabled(false)
	d.handOver(force)
	err := d.waitForRequests(force)
	if force.Err() != nil {
		return errForced
	}
	if d.log != nil {
		err = errors.Join(err, d.closeLog())
	}
	return err
}

// closeLog hands the leadership over first, so that the others need no election timeout.
func (d *daemon) closeLog() error {
	if d.log.Leader().Self {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		if err := d.log.TransferLeadership(ctx); err != nil {
			d.logger.Warn().Err(err).Msg("leadership not handed over; the others elect a leader")
		}
	}
	return d.log.Close()
}

// handOver gives the targets to other gateways. Dispatches, starts and lease renewals stop
// before the command, so that they cannot overlap with those of the next owners.
func (d *daemon) handOver(force context.Context) {
	orders, cancel := context.WithTimeout(force, ordersTimeout)
	defer cancel()
	d.owners.Drain(orders)
	ctx, cancel := context.WithTimeout(force, handoverTries)
	defer cancel()
	result, err := d.control.Propose(ctx, state.Command{DrainGateway: &state.DrainGateway{
		Gateway: d.settings.Gateway,
		Epoch:   d.session.Epoch(),
	}})
	if err == nil && !result.OK() {
		err = fmt.Errorf("%s: %s", result.Code, result.Message)
	}
	if err != nil {
		d.logger.Warn().Err(err).Msg("targets not handed over; they follow when the session expires")
	}
}

// waitForRequests waits for callers first and for peers last: until then, peers may still
// wait for the answers of calls that they forwarded here.
func (d *daemon) waitForRequests(force context.Context) error {
	if err := d.public.Shutdown(force); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if err := d.gateway.Wait(force); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(force, peerTimeout)
	defer cancel()
	if err := d.peer.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
