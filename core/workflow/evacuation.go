package workflow

import "samphirepaddle.example/core/model"

// SetEvacuated notes whether a zone is evacuated. No attempt is assigned to the workers of an evacuated
// zone; those that are open end where they run or are moved by the scheduler.
func (s *State) SetEvacuated(zone model.Zone, evacuated bool) {
	if !evacuated {
		delete(s.evacuated, zone)
		return
	}
	if s.evacuated == nil {
		s.evacuated = map[model.Zone]bool{}
	}
	s.evacuated[zone] = true
}

// IsEvacuated reports whether no task may start in the zone.
func (s *State) IsEvacuated(zone model.Zone) bool { return s.evacuated[zone] }

// KnowsZone reports whether a worker is known in the zone.
func (s *State) KnowsZone(zone model.Zone) bool {
	for _, w := range s.Workers {
		if w.Zone == zone {
			return true
		}
	}
	return false
}

// CountInZone returns the number of registered workers in the zone, and of the long-running and other tasks
// that may run on workers there.
func (s *State) CountInZone(zone model.Zone) (workers, longRunning, short int) {
	for _, w := range s.Workers {
		if w.Zone != zone {
			continue
		}
		if !w.Deregistered {
			workers++
		}
		set := s.openSets[w.Incarnation]
		if set == nil {
			continue
		}
		for a := range set.attempts {
			if s.Jobs[a.Task.Job].Steps[a.Task.Step].LongRunning {
				longRunning++
			} else {
				short++
			}
		}
	}
	return workers, longRunning, short
}
