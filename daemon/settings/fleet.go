package settings

import (
	"errors"
	"fmt"
	"os"

	"samphirepaddle.example/core/model"
)

// FleetRole says what a daemon does for workflows.
type FleetRole string

// The roles.
const (
	RoleGateway    FleetRole = "gateway"    // takes requests of callers and passes them to the leader
	RoleController FleetRole = "controller" // keeps the state; the leader runs the workflows
	RoleRelay      FleetRole = "relay"      // takes calls of workers and operators like a controller, on a VM without a disk
)

// Fleet is the content of the settings file of a daemon that runs workflows on a platform.
type Fleet struct {
	ID          string     `json:"id" validate:"required,max=128"`
	Role        FleetRole  `json:"role" validate:"required,oneof=gateway controller relay"`
	Zone        model.Zone `json:"zone" validate:"required,max=128"`
	Controllers []string   `json:"controllers" validate:"required,min=1,max=16,dive,hostname_port"` // where some controllers are

	CallersListen string `json:"callers_listen,omitempty" validate:"omitempty,hostname_port"` // gateways
	ReadyListen   string `json:"ready_listen,omitempty" validate:"omitempty,hostname_port"`   // gateways
	ControlListen string `json:"control_listen,omitempty" validate:"omitempty,hostname_port"` // controllers and relays

	ControlAddr string `json:"control_addr,omitempty" validate:"omitempty,hostname_port"` // where others reach control_listen, if it differs
	SourceIP    string `json:"source_ip,omitempty" validate:"omitempty,ip"`               // from which connections are opened; any if empty

	DataDir      string `json:"data_dir,omitempty"`                                       // controllers
	MayFound     bool   `json:"may_found,omitempty"`                                      // true only when the whole system starts for the first time
	ToleratedVMs int    `json:"tolerated_vms,omitempty" validate:"omitempty,min=0,max=3"` // controllers that may be lost at once

	WorkerLeaseMs model.Millis `json:"worker_lease_ms,omitempty" validate:"omitempty,min=1000,max=60000"` // of what runs on a worker
	MemoryMiB     int64        `json:"memory_mib,omitempty" validate:"omitempty,min=32"`                  // of the process
	DrainMs       model.Millis `json:"drain_ms,omitempty" validate:"omitempty,min=0,max=60000"`           // from the signal to the last accepted connection
	LogLevel      string       `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of the optional settings.
const (
	// DefaultWorkerLeaseMs lets tasks outlast a leader change and a restart of all controllers,
	// and stays below the 10 s that workers grant.
	DefaultWorkerLeaseMs = model.Millis(9000)
	// DefaultDrainMs covers the two seconds that a balancer takes to notice, within the six
	// seconds after which a process is killed.
	DefaultDrainMs = model.Millis(3000)
)

// LoadFleet reads and validates the settings file of a fleet daemon.
func LoadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, ErrUnreadable.Wrap(err, "open")
	}
	s, err := ParseFleet(data)
	if err != nil {
		return Fleet{}, ErrInvalid.Wrap(err, "%s", path)
	}
	return s, nil
}

// ParseFleet reads settings from JSON, sets the defaults and validates them.
func ParseFleet(data []byte) (Fleet, error) {
	var s Fleet
	if err := decodeStrict(data, &s); err != nil {
		return Fleet{}, err
	}
	setDefault(&s.ControlAddr, s.ControlListen)
	setDefault(&s.WorkerLeaseMs, DefaultWorkerLeaseMs)
	setDefault(&s.DrainMs, DefaultDrainMs)
	setDefault(&s.LogLevel, "info")
	return s, s.validate()
}

func (s Fleet) validate() error {
	problems, err := fieldProblems(s)
	if err != nil {
		return err
	}
	required := map[string]string{}
	switch s.Role {
	case RoleGateway:
		required["callers_listen"], required["ready_listen"] = s.CallersListen, s.ReadyListen
	case RoleController:
		required["control_listen"], required["data_dir"] = s.ControlListen, s.DataDir
	case RoleRelay:
		required["control_listen"] = s.ControlListen
	}
	for name, value := range required {
		if value == "" {
			problems = append(problems, fmt.Errorf("%s: value %q: a %s needs it", name, value, s.Role))
		}
	}
	return errors.Join(problems...)
}
