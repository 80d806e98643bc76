// Package standin is a stand-in target: it announces itself, takes quick requests and tasks
// under a lease as a real target does, checks what it is given against its own capacity, and
// can be told to fail in set ways.
//
// Command samphirectl runs it as a process; tests run it within theirs.
package standin

import (
	"fmt"
	"time"

	"samphirepaddle.example/core/model"
)

// Defaults of a Config.
const (
	defaultAnnounceEvery = time.Second
	defaultUsageEvery    = time.Second
	// The owner may learn late that a target is leaving; all gateways know after 3 s.
	leaveGrace = 3 * time.Second
)

// Config describes one stand-in target.
type Config struct {
	ID            model.TargetID
	Listen        string   // ip:port; port 0 takes a free one
	Gateways      []string // ip:port of entry VMs, tried in turn
	Zone          model.Zone
	Rack          model.Rack
	Pool          model.PoolID
	Capacity      model.Resources
	QuickUse      model.Resources // what one quick request takes; zero is 1 slot and 1 connection
	ServiceTime   time.Duration   // time of one quick request
	UsageLag      time.Duration   // age at which a usage report is sent
	UsageEvery    time.Duration   // interval that one usage report covers
	AnnounceEvery time.Duration   // used until an answer names another interval
	LeaveGrace    time.Duration   // after it has said leaving, new work is a violation
}

func (c Config) withDefaults() Config {
	if c.QuickUse == (model.Resources{}) {
		c.QuickUse = model.Resources{Slots: 1, Connections: 1}
	}
	if c.AnnounceEvery == 0 {
		c.AnnounceEvery = defaultAnnounceEvery
	}
	if c.UsageEvery == 0 {
		c.UsageEvery = defaultUsageEvery
	}
	if c.LeaveGrace == 0 {
		c.LeaveGrace = leaveGrace
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
