package state

import (
	"maps"
	"slices"

	"samphirepaddle.example/core/model"
)

// maxEvacuations bounds the zones that are evacuated at the same time; the design scale has 27 zones.
const maxEvacuations = 1024

// Evacuation is an operator's order that no work starts in an availability zone until it is withdrawn.
type Evacuation struct {
	Since    model.Millis   `json:"since" cbor:"1,keyasint,omitempty"`
	Revision model.Revision `json:"revision" cbor:"2,keyasint,omitempty"`
}

// EvacuateZone orders or withdraws the evacuation of an availability zone. The latest command takes
// effect; a repeated one changes nothing.
type EvacuateZone struct {
	Zone      model.Zone `json:"zone"`
	Evacuated bool       `json:"on"`
	Declared  bool       `json:"declared,omitempty"` // the zone is in the settings of the proposing controller
}

func (s *State) evacuateZone(c *EvacuateZone) Result {
	if err := model.CheckIdentifier("zone", string(c.Zone)); err != nil {
		return resultf(CodeInvalid, "%v", err)
	}
	active, evacuated := s.Evacuations[c.Zone]
	switch {
	case !evacuated && !c.Declared && !s.knowsZone(c.Zone):
		return resultf(CodeNotFound, "zone %q does not exist", c.Zone)
	case evacuated && c.Evacuated:
		return Result{Code: CodeRepeated, Revision: active.Revision}
	case evacuated == c.Evacuated:
		return Result{Code: CodeRepeated}
	case c.Evacuated && len(s.Evacuations) >= maxEvacuations:
		return resultf(CodeLimit, "%d zones are evacuated, more are not allowed", maxEvacuations)
	}
	if c.Evacuated {
		s.Evacuations[c.Zone] = Evacuation{Since: s.Now, Revision: s.Revision}
	} else {
		delete(s.Evacuations, c.Zone)
	}
	s.Workflows.SetEvacuated(c.Zone, c.Evacuated)
	for _, id := range sortedKeys(s.Targets) {
		if target := s.Targets[id]; target.Zone == c.Zone {
			target.Evacuated = c.Evacuated
			s.markTargetChanged(target)
		}
	}
	return Result{Code: CodeOK}
}

// knowsZone reports whether a target, a worker or a gateway is known in the zone.
func (s *State) knowsZone(zone model.Zone) bool {
	for _, target := range s.Targets {
		if target.Zone == zone {
			return true
		}
	}
	for _, gateway := range s.Gateways {
		if gateway.Zone == zone {
			return true
		}
	}
	return s.Workflows.KnowsZone(zone)
}

// EvacuatedZones returns the evacuated zones in order.
func (s *State) EvacuatedZones() []model.Zone { return slices.Sorted(maps.Keys(s.Evacuations)) }

// ZoneStatus describes an evacuated zone and what may still run there.
type ZoneStatus struct {
	Zone        model.Zone     `json:"zone" cbor:"1,keyasint,omitempty"`
	Since       model.Millis   `json:"since" cbor:"2,keyasint,omitempty"`
	Revision    model.Revision `json:"revision" cbor:"3,keyasint,omitempty"`
	Workers     int            `json:"workers" cbor:"4,keyasint,omitempty"` // workers and targets in the zone
	LongRunning int            `json:"long_running" cbor:"5,keyasint,omitempty"`
	Short       int            `json:"short" cbor:"6,keyasint,omitempty"` // tasks and jobs that end by themselves
}

// DescribeEvacuations returns the evacuated zones in order.
func (s *State) DescribeEvacuations() []ZoneStatus {
	zones := make([]ZoneStatus, 0, len(s.Evacuations))
	for _, zone := range s.EvacuatedZones() {
		status := ZoneStatus{Zone: zone, Since: s.Evacuations[zone].Since, Revision: s.Evacuations[zone].Revision}
		for _, target := range s.Targets {
			if target.Zone == zone && !target.Lost {
				status.Workers++
				status.Short += len(s.index.openJobs[target.ID])
			}
		}
		workers, longRunning, short := s.Workflows.CountInZone(zone)
		status.Workers, status.LongRunning, status.Short = status.Workers+workers, longRunning, status.Short+short
		zones = append(zones, status)
	}
	return zones
}
