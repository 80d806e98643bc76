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

// Goals of the failure points, in seconds.
const (
	inForceGoal    = 3.0
	noServiceGoal  = 2.0
	idleTickets    = 20
	cutRepeats     = 2
	killRepeats    = 2
	probeTimeout   = 4 * time.Second // of watching after a kill
	probeInterval  = 5 * time.Millisecond
	commitBound    = 1.0 // in force against the session lease of 1.5 s, as a ratio, without failures
	sessionSeconds = 1.5
)

// measureTickets measures commit and in-force time, idle and while a gateway is cut off.
func measureTickets(r *rig, t *table) error {
	var commit, inForce []float64
	for range idleTickets {
		c, f, err := r.timeTicket(r.Daemons[4])
		if err != nil {
			return err
		}
		commit, inForce = append(commit, c), append(inForce, f)
	}
	t.figure("ticket commit, idle", "p50 %.1f ms %s", median(commit)*1000, spread(scaled(commit, 1000)))
	t.figure("ticket in force, idle", "p50 %.1f ms %s", median(inForce)*1000, spread(scaled(inForce, 1000)))
	t.limit("ticket in force, idle / session lease", median(inForce)/sessionSeconds, commitBound, "x", fromRegression, "")
	cut := r.Daemons[daemons-1]
	var under []float64
	for range cutRepeats {
		r.CutBoth(cut)
		_, f, err := r.timeTicket(r.Daemons[4])
		r.Heal()
		if err != nil {
			return err
		}
		under = append(under, f)
		if err := r.waitReady(cut); err != nil {
			return err
		}
	}
	t.limit("ticket in force, one gateway cut off", slices.Max(under), inForceGoal, "s", fromGoal, "greatest "+spread(under))
	return nil
}

func scaled(values []float64, by float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = v * by
	}
	return out
}

// timeTicket returns the seconds until a ticket is accepted and until it is in force.
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

// solo is the number of services that have one target each, so that the loss of its owner
// leaves the service without any target until another gateway has taken it over.
const solo = 3

func soloName(i int) string { return fmt.Sprintf("solo%d", i+1) }

// measureKills measures how long callers of the other gateways, and operators, get no service
// after a daemon is killed.
func measureKills(r *rig, t *table) error {
	if _, err := r.startQuick(); err != nil {
		return err
	}
	for i := range solo {
		if err := r.apply(r.Daemons[0], poolTicket(soloName(i))); err != nil {
			return err
		}
		if err := r.startTarget(soloName(i)+"-t", soloName(i), i); err != nil {
			return err
		}
	}
	var quick, commits, taken []float64
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
		taken = append(taken, gap)
	}
	t.limit("leader killed: no quick request answered", slices.Max(quick), noServiceGoal, "s", fromGoal, "greatest "+spread(quick))
	t.limit("leader killed: no ticket accepted", slices.Max(commits), noServiceGoal, "s", fromGoal, "greatest "+spread(commits))
	t.limit("owner killed: its target unused", slices.Max(taken), noServiceGoal, "s", fromGoal, "greatest "+spread(taken))
	return nil
}

// killLeader returns the gaps of quick requests and of tickets.
func (r *rig) killLeader() ([]float64, error) {
	leader, err := r.leader(r.Daemons[daemons-1])
	if err != nil {
		return nil, err
	}
	asked := r.others(leader)[0]
	ticket := func() bool { return r.submit(asked, tenantTicket("cuenca")) == nil }
	return r.kill(leader, r.serviceSender(asked, "pedidos"), ticket)
}

// killOwner kills a gateway that does not lead and owns the only target of a service.
func (r *rig) killOwner() (float64, error) {
	leader, err := r.leader(r.Daemons[daemons-1])
	if err != nil {
		return 0, err
	}
	owners, err := r.owners(r.Daemons[daemons-1], solo)
	if err != nil {
		return 0, err
	}
	for i := range solo {
		victim := r.daemon(owners[soloName(i)+"-t"].Owner)
		if victim == nil || victim == leader {
			continue
		}
		sender := r.serviceSender(r.others(victim)[0], model.ServiceID(soloName(i)))
		gaps, err := r.kill(victim, sender)
		if err != nil {
			return 0, err
		}
		return gaps[0], nil
	}
	return 0, errors.New("the leader owns every target that stands alone")
}

func (r *rig) others(without *cluster.Daemon) []*cluster.Daemon {
	return slices.DeleteFunc(slices.Clone(r.Daemons), func(d *cluster.Daemon) bool { return d == without })
}

// kill ends a daemon while the senders send, starts it again, and returns for each sender the
// longest time between two successes in seconds.
func (r *rig) kill(victim *cluster.Daemon, senders ...send) ([]float64, error) {
	for _, sender := range senders {
		if err := untilSuccess(sender); err != nil {
			return nil, err
		}
	}
	gaps := make([]float64, len(senders))
	end := time.Now().Add(probeTimeout)
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

func untilSuccess(sender send) error {
	return cluster.WaitFor(patience, func() error {
		if sender() {
			return nil
		}
		return errors.New("the request is not answered")
	})
}

func longestGap(sender send, end time.Time) float64 {
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
