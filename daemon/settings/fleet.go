package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/go-playground/validator/v10"

	"samphirepaddle.example/core/model"
)

// FleetRole is the role of a daemon that runs workflows.
type FleetRole string

// The roles.
const (
	RoleGateway    FleetRole = "gateway"    // accepts callers' requests and forwards them to the leader
	RoleController FleetRole = "controller" // replicates the state; the leading controller runs the workflows
	RoleRelay      FleetRole = "relay"      // serves workers and operators like a controller, on a VM without a disk
)

// Fleet is the content of the settings file of a daemon that runs workflows on a platform.
type Fleet struct {
	ID          string       `json:"id" validate:"required,max=128"`
	Role        FleetRole    `json:"role" validate:"required,oneof=gateway controller relay"`
	Zone        model.Zone   `json:"zone" validate:"required,max=128"`
	Zones       []model.Zone `json:"zones,omitempty" validate:"omitempty,max=256,dive,required,max=128"` // zones that operators may name; others must have a known worker
	Controllers []string     `json:"controllers" validate:"required,min=1,max=16,dive,hostname_port"`    // seed addresses for finding the controllers

	CallersListen string `json:"callers_listen,omitempty" validate:"omitempty,hostname_port"` // gateways
	ReadyListen   string `json:"ready_listen,omitempty" validate:"omitempty,hostname_port"`   // gateways
	ControlListen string `json:"control_listen,omitempty" validate:"omitempty,hostname_port"` // controllers and relays

	MetricsListen string `json:"metrics_listen,omitempty" validate:"omitempty,hostname_port"` // address of GET /metrics; served on control_listen only if empty

	ControlAddr string `json:"control_addr,omitempty" validate:"omitempty,hostname_port"` // address at which other daemons and workers reach control_listen, if it differs
	SourceIP    string `json:"source_ip,omitempty" validate:"omitempty,ip"`               // source address of outgoing connections; any if empty

	DataDir      string `json:"data_dir,omitempty"`                                       // controllers
	MayFound     bool   `json:"may_found,omitempty"`                                      // may bootstrap a new controller group; must be true only on the first start of the whole system
	ToleratedVMs int    `json:"tolerated_vms,omitempty" validate:"omitempty,min=0,max=3"` // number of controllers whose simultaneous loss is tolerated

	WorkerLeaseMs       model.Millis `json:"worker_lease_ms,omitempty" validate:"omitempty,min=1000,max=60000"`          // lease of the tasks on a worker
	WorkerLeaseLimitMs  model.Millis `json:"worker_lease_limit_ms,omitempty" validate:"omitempty,min=1000,max=86400000"` // longest lease that workers grant
	SpareColdWorkers    bool         `json:"spare_cold_workers,omitempty"`                                               // fill workers that report to be cold as they warm up
	TaskStopMs          model.Millis `json:"task_stop_ms,omitempty" validate:"omitempty,min=1,max=60000"`                // until a stopped task has released its worker
	TaskRestoreMs       model.Millis `json:"task_restore_ms,omitempty" validate:"omitempty,min=1,max=600000"`            // until a task that resumes from a checkpoint makes progress
	RemoteFactor        float64      `json:"remote_factor,omitempty" validate:"omitempty,min=1,max=1000"`                // run time of a task away from its data or group, as a multiple of that near them
	AgentWorkers        int          `json:"agent_workers,omitempty" validate:"omitempty,min=1"`                         // number of workers from which the leader calls them through the other controllers
	MemoryMiB           int64        `json:"memory_mib,omitempty" validate:"omitempty,min=32"`                           // memory available to the process
	BodyMemoryMiB       int64        `json:"body_memory_mib,omitempty" validate:"omitempty,min=1"`                       // of it for request bodies and their copies; a fifth if not set
	ConnectionMemoryMiB int64        `json:"connection_memory_mib,omitempty" validate:"omitempty,min=1"`                 // of it for bytes that the kernel keeps for connections; a fifth if not set
	JobMemoryMiB        int64        `json:"job_memory_mib,omitempty" validate:"omitempty,min=1"`                        // of it for jobs that have not ended, on controllers; an eighth if not set
	DrainMs             model.Millis `json:"drain_ms,omitempty" validate:"omitempty,min=0,max=60000"`                    // time from the shutdown signal until no connections are accepted any more
	LogLevel            string       `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`

	SkippedControllers []string `json:"-"` // entries of controllers that were left out because they are no addresses
}

// Defaults of the optional settings.
const (
	// DefaultWorkerLeaseMs is long enough for tasks to keep running during a leader change or a
	// restart of all controllers. It is lower if the workers' limit is.
	DefaultWorkerLeaseMs = model.Millis(9000)
	// DefaultWorkerLeaseLimitMs is the limit of the users' platform.
	DefaultWorkerLeaseLimitMs = model.Millis(10_000)
	// DefaultAgentWorkers is the number of workers for whose calls the leader needs about a quarter of
	// a core. An agent would only add a hop for fewer.
	DefaultAgentWorkers = 128
	// DefaultDrainMs covers the 2 s that a load balancer takes to notice a draining gateway, and
	// stays within the 6 s after which the platform kills the process.
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
	s.skipControllers()
	setDefault(&s.ControlAddr, s.ControlListen)
	setDefault(&s.WorkerLeaseLimitMs, DefaultWorkerLeaseLimitMs)
	setDefault(&s.WorkerLeaseMs, min(DefaultWorkerLeaseMs, s.WorkerLeaseLimitMs))
	setDefault(&s.AgentWorkers, DefaultAgentWorkers)
	setDefault(&s.DrainMs, DefaultDrainMs)
	setDefault(&s.LogLevel, "info")
	return s, s.validate()
}

// skipControllers leaves out the entries that are no addresses. The list is from a directory that others
// write, and a daemon that did not start would be lost for one odd entry. A list without any address is
// kept, so that it is refused.
func (s *Fleet) skipControllers() {
	checker := validator.New()
	isOdd := func(addr string) bool { return checker.Var(addr, "hostname_port") != nil }
	addrs := slices.DeleteFunc(slices.Clone(s.Controllers), isOdd)
	if len(addrs) == 0 || len(addrs) == len(s.Controllers) {
		return
	}
	s.SkippedControllers = slices.DeleteFunc(slices.Clone(s.Controllers), func(addr string) bool { return !isOdd(addr) })
	s.Controllers = addrs
}

func (s Fleet) validate() error {
	problems, err := fieldErrors(s)
	if err != nil {
		return err
	}
	if s.WorkerLeaseMs > s.WorkerLeaseLimitMs {
		problems = append(problems, fmt.Errorf("worker_lease_ms: value %d: more than worker_lease_limit_ms, %d", s.WorkerLeaseMs, s.WorkerLeaseLimitMs))
	}
	if parts := s.BodyMemoryMiB + s.ConnectionMemoryMiB + s.JobMemoryMiB; s.MemoryMiB > 0 && parts > s.MemoryMiB {
		problems = append(problems, fmt.Errorf("body_memory_mib, connection_memory_mib, job_memory_mib: value %d together: more than memory_mib, %d", parts, s.MemoryMiB))
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
			problems = append(problems, fmt.Errorf("%s: value %q: required for role %s", name, value, s.Role))
		}
	}
	return errors.Join(problems...)
}
