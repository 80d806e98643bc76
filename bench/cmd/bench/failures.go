package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/test/cluster"
)

// Goals, in seconds, and parameters of measureTickets and measureKills.
const (
	inForceGoal         = 3.0
	noServiceGoal       = 2.0
	idleTickets         = 20
	cutRepeats          = 2
	killRepeats         = 2
	killWatchTime       = 4 * time.Second // time for which the senders run and gaps are measured
	probeInterval       = 5 * time.Millisecond
	inForceFactor       = 1.0 // regression bound: time until a ticket is in force, without failures / session lease
	sessionLeaseSeconds = 1.5 // session lease of the daemons
)

// measureTickets measures the time until a ticket is committed and until it is in force, first with
// all daemons connected, then with one gateway disconnected.
func measureTickets(r *rig, t *table) error {
	var commit, inForce []float64
	for range idleTickets {
		c, f, err := r.timeTicket(r.Daemons[4])
		if err != nil {
			return err
		}
		commit, inForce = append(commit, c), append(inForce, f)
	}
	t.addUnbounded("ticket commit, idle", "p50 %.1f ms %s", median(commit)*1000, spread(scaled(commit, 1000)))
	t.addUnbounded("ticket in force, idle", "p50 %.1f ms %s", median(inForce)*1000, spread(scaled(inForce, 1000)))
	t.limit("ticket in force, idle / session lease", median(inForce)/sessionLeaseSeconds, inForceFactor, "x", originRegression, "")
	cut := r.Daemons[daemons-1]
	var inForceCut []float64
	for range cutRepeats {
		r.Isolate(cut)
		_, f, err := r.timeTicket(r.Daemons[4])
		r.Heal()
		if err != nil {
			return err
		}
		inForceCut = append(inForceCut, f)
		if err := r.waitReady(cut); err != nil {
			return err
		}
	}
	t.limit("ticket in force, one gateway cut off", slices.Max(inForceCut), inForceGoal, "s", originGoal, "greatest "+spread(inForceCut))
	return nil
}

func scaled(values []float64, by float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = v * by
	}
	return out
}

// timeTicket submits a ticket and returns the seconds until it is accepted and until it is in force.
func (r *rig) timeTicket(d *cluster.Daemon) (commit, inForce float64, err error) {
	began := time.Now()
	if err := r.submit(d, tenantTicket("cuenca")); err != nil {
		return 0, 0, err
	}
	commit = time.Since(began).Seconds()
	err = r.waitInForce(d)
	return commit, time.Since(began).Seconds(), err
}

func tenantTicket(id string) model.Ticket {
	return model.Ticket{Tenants: []model.Tenant{{ID: model.TenantID(id), Share: 1}}}
}

// singleTargetServices is the number of services with only one target each. When the owner of the
// target fails, such a service is unavailable until another gateway takes the target over.
const singleTargetServices = 3

func singleTargetService(i int) string { return fmt.Sprintf("solo%d", i+1) }

// measureKills measures how long quick requests and tickets that are sent to the remaining gateways
// fail after a daemon is killed.
func measureKills(r *rig, t *table) error {
	if _, err := r.startQuick(); err != nil {
		return err
	}
	for i := range singleTargetServices {
		if err := r.apply(r.Daemons[0], poolTicket(singleTargetService(i))); err != nil {
			return err
		}
		if err := r.startTarget(singleTargetService(i)+"-t", singleTargetService(i), i); err != nil {
			return err
		}
	}
	var quick, commits, takeovers []float64
	for range killRepeats {
		gaps, err := r.killLeader()
		if err != nil {
			return fmt.Errorf("kill of the leader: %w", err)
		}
		quick, commits = append(quick, gaps[0]), append(commits, gaps[1])
		gap, err := r.killOwner()
		if err != nil {
			return fmt.Errorf("kill of an owner: %w", err)
		}
		takeovers = append(takeovers, gap)
	}
	t.limit("leader killed: no quick request answered", slices.Max(quick), noServiceGoal, "s", originGoal, "greatest "+spread(quick))
	t.limit("leader killed: no ticket accepted", slices.Max(commits), noServiceGoal, "s", originGoal, "greatest "+spread(commits))
	t.limit("owner killed: its target unused", slices.Max(takeovers), noServiceGoal, "s", originGoal, "greatest "+spread(takeovers))
	return nil
}

// killLeader kills the leader and returns the longest gaps, in seconds, between successful quick
// requests and between accepted tickets.
func (r *rig) killLeader() ([]float64, error) {
	leader, err := r.leader(r.Daemons[daemons-1])
	if err != nil {
		return nil, err
	}
	gateway := r.allExcept(leader)[0]
	ticket := func() bool { return r.submit(gateway, tenantTicket("cuenca")) == nil }
	return r.kill(leader, r.serviceSender(gateway, "pedidos"), ticket)
}

// killOwner kills a daemon that is not the leader and owns the only target of a service. It returns
// the longest gap between successful requests to that service, in seconds.
func (r *rig) killOwner() (float64, error) {
	leader, err := r.leader(r.Daemons[daemons-1])
	if err != nil {
		return 0, err
	}
	owners, err := r.owners(r.Daemons[daemons-1], singleTargetServices)
	if err != nil {
		return 0, err
	}
	for i := range singleTargetServices {
		victim := r.daemon(owners[singleTargetService(i)+"-t"].Owner)
		if victim == nil || victim == leader {
			continue
		}
		sender := r.serviceSender(r.allExcept(victim)[0], model.ServiceID(singleTargetService(i)))
		gaps, err := r.kill(victim, sender)
		if err != nil {
			return 0, err
		}
		return gaps[0], nil
	}
	return 0, errors.New("the leader owns the targets of all single-target services")
}

func (r *rig) allExcept(without *cluster.Daemon) []*cluster.Daemon {
	return slices.DeleteFunc(slices.Clone(r.Daemons), func(d *cluster.Daemon) bool { return d == without })
}

// kill kills a daemon while the senders send requests, and restarts it afterwards. It returns for
// each sender the longest time between two successful requests, in seconds.
func (r *rig) kill(victim *cluster.Daemon, senders ...sendFunc) ([]float64, error) {
	for _, sender := range senders {
		if err := untilSuccess(sender); err != nil {
			return nil, err
		}
	}
	gaps := make([]float64, len(senders))
	end := time.Now().Add(killWatchTime)
	var wait sync.WaitGroup
	for i, sender := range senders {
		wait.Go(func() { gaps[i] = longestGap(sender, end) })
	}
	time.Sleep(300 * time.Millisecond)
	victim.Kill()
	wait.Wait()
	if err := victim.Start(); err != nil {
		return nil, err
	}
	return gaps, r.waitReady(victim)
}

func untilSuccess(sender sendFunc) error {
	return cluster.WaitFor(waitTimeout, func() error {
		if sender() {
			return nil
		}
		return errors.New("no successful response")
	})
}

// longestGap sends requests until end and returns the longest time without a success, in seconds.
func longestGap(sender sendFunc, end time.Time) float64 {
	last := time.Now()
	longest := time.Duration(0)
	for time.Now().Before(end) {
		if sender() {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		time.Sleep(probeInterval)
	}
	return max(longest, time.Since(last)).Seconds()
}
