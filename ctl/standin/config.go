// Package standin implements a stand-in target, a simulated target for tests and local runs. It
// announces itself, accepts quick requests and tasks while its lease is valid, as a real target
// does, checks that the work it receives fits its capacity, and injects faults on request.
//
// The command samphirectl target runs it as a process; tests run it in-process.
package standin

import (
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
)

// Defaults of a Config.
const (
	defaultAnnounceInterval = time.Second
	defaultUsageInterval    = time.Second
	// It can take up to 3 s until all gateways know that a target is leaving.
	defaultLeaveGrace = 3 * time.Second
)

// Config configures a Target.
type Config struct {
	ID               model.TargetID
	Listen           string   // ip:port; port 0 selects a free port
	Gateways         []string // ip:port of gateways, tried in turn
	Zone             model.Zone
	Rack             model.Rack
	Pool             model.PoolID
	Capacity         model.Resources
	QuickUse         model.Resources // resources of one quick request; zero value: 1 slot and 1 connection
	ServiceTime      time.Duration   // service time of one quick request
	UsageLag         time.Duration   // minimum age of a usage report when it is sent
	UsageInterval    time.Duration   // interval covered by one usage report
	AnnounceInterval time.Duration   // interval to the next announcement if no gateway responds
	LeaveGrace       time.Duration   // new work later than this after the start of leaving is a violation
}

func (c Config) withDefaults() Config {
	if c.QuickUse == (model.Resources{}) {
		c.QuickUse = model.Resources{Slots: 1, Connections: 1}
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = defaultAnnounceInterval
	}
	if c.UsageInterval == 0 {
		c.UsageInterval = defaultUsageInterval
	}
	if c.LeaveGrace == 0 {
		c.LeaveGrace = defaultLeaveGrace
	}
	return c
}

func (c Config) validate() error {
	if err := model.CheckIdentifier("id", string(c.ID)); err != nil {
		return err
	}
	if c.Capacity.Negative() || c.Capacity.Slots < 1 {
		return fmt.Errorf("capacity must have at least 1 slot and no negative amount, got %+v", c.Capacity)
	}
	if c.ServiceTime < 0 || c.UsageLag < 0 {
		return fmt.Errorf("service time %s and usage lag %s must not be negative", c.ServiceTime, c.UsageLag)
	}
	return nil
}
