package main

import "time"

const foundTime = 60 * time.Second

func init() { cases["firststart"] = playFirstStart }

// playFirstStart starts three controllers, three relays and two gateways for the first time. All get the same
// three seeds; with the disruption one of these is a relay, which serves control as well.
func playFirstStart(r *record, trouble bool) int {
	s, err := newSystem(2, 3)
	if err != nil {
		r.add("no system: %v", err)
		return exitNotRun
	}
	defer s.stop()
	if trouble {
		s.seeds[2] = s.relays[2].addr
	}
	r.add("seeds %v, of which relays: %v", s.seeds, trouble)
	if err := s.start(); err != nil {
		r.add("start: %v", err)
		return exitNotRun
	}
	return judgeFirstStart(r, s)
}
