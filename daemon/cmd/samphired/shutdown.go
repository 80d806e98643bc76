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

// Bounds of the steps of a shutdown that depend on other daemons.
const (
	ordersTimeout = 6 * time.Second  // for calls about attempts; one takes at most 5 s
	handoverWait  = 10 * time.Second // for the first commit of DrainGateway
	drainTimeout  = 5 * time.Second  // of one try
	drainPause    = 200 * time.Millisecond
	peerTimeout   = 2 * time.Second // for the last calls of peers

	transferTimeout = 2 * time.Second // for handing the leadership over
)

var errForced = errors.New("left at the second signal; requests in progress were cut off")

// shutdown leaves without cutting off requests: not ready, wait for the load balancer,
// keep-alives off, stop dispatching, hand the targets over, wait for every open request and
// stream. The session is renewed meanwhile, because open requests still need its lease.
func (d *daemon) shutdown(force context.Context) error {
	d.logger.Info().Msg("shutting down")
	d.gateway.Drain()
	wait.For(force, time.Duration(d.settings.BalancerWaitMs)*time.Millisecond)
	d.public.SetKeepAlivesEnabled(false)
	leaving, left := context.WithCancel(force)
	defer left()
	d.handOver(leaving)
	d.handLeadershipOver(force)
	err := d.waitForRequests(force)
	if force.Err() != nil {
		return errForced
	}
	if d.log != nil {
		err = errors.Join(err, d.log.Close())
	}
	return err
}

// handLeadershipOver spares the others an election timeout. It comes before the peer listener
// closes, because the successor still has to exchange messages with this controller.
func (d *daemon) handLeadershipOver(force context.Context) {
	if d.log == nil || !d.log.Leader().Self {
		return
	}
	ctx, cancel := context.WithTimeout(force, transferTimeout)
	defer cancel()
	if err := d.log.TransferLeadership(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("leadership not handed over; the others elect a leader")
	}
}

// handOver gives the targets to other gateways. Dispatches, starts and lease renewals stop
// before the command, so that they cannot overlap with those of the next owners. It returns
// when the command is committed or after handoverWait; the command is repeated after that,
// because a session that goes on without it would keep the targets from any owner.
func (d *daemon) handOver(force context.Context) {
	orders, cancel := context.WithTimeout(force, ordersTimeout)
	defer cancel()
	d.owners.Drain(orders)
	committed := make(chan struct{})
	go d.keepDrained(force, sync.OnceFunc(func() { close(committed) }))
	select {
	case <-committed:
	case <-time.After(handoverWait):
		d.logger.Warn().Msg("targets not handed over yet")
	case <-force.Done():
	}
}

// keepDrained commits DrainGateway for the present session, and again for each later one.
func (d *daemon) keepDrained(force context.Context, committed func()) {
	var drained model.Epoch
	for force.Err() == nil {
		if epoch := d.session.Epoch(); epoch != drained {
			if err := d.drainSession(force, epoch); err != nil {
				d.logger.Warn().Err(err).Msg("handover of targets not committed")
			} else {
				drained = epoch
				committed()
			}
		}
		wait.For(force, drainPause)
	}
}

func (d *daemon) drainSession(force context.Context, epoch model.Epoch) error {
	ctx, cancel := context.WithTimeout(force, drainTimeout)
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

// waitForRequests waits for callers first and for peers last: until then, peers may still
// wait for the answers of calls that they forwarded here.
func (d *daemon) waitForRequests(force context.Context) error {
	if err := d.public.Shutdown(force); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if err := d.gateway.WaitIdle(force); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(force, peerTimeout)
	defer cancel()
	if err := d.peer.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
