package main

import (
	"net/http"
	"time"
)

const (
	lossDelay        = 10 * time.Millisecond
	replacementDelay = 2 * time.Second
)

func init() { cases["firstloss"] = playFirstLoss }

// playFirstLoss starts three controllers and two gateways for the first time. With the disruption one of the
// controllers is lost for good as it starts, and an empty one at another address takes its place.
func playFirstLoss(r *record, trouble bool) int {
	s, err := newSystem(2, 0)
	if err != nil {
		r.add("no system: %v", err)
		return exitNotRun
	}
	defer s.stop()
	if err := s.start(); err != nil {
		r.add("start: %v", err)
		return exitNotRun
	}
	if trouble {
		time.Sleep(lossDelay)
		s.controllers[2].kill()
		r.add("%s is lost for good", s.controllers[2].name)
		time.Sleep(replacementDelay)
		if err := s.replace(r, 2); err != nil {
			r.add("replacement: %v", err)
			return exitNotRun
		}
	}
	return judgeFirstStart(r, s)
}

// judgeFirstStart reports whether the system serves requests within foundTime.
func judgeFirstStart(r *record, s *system) int {
	began := time.Now()
	configured := s.configure(r, configuration(1, routes...), foundTime)
	r.add("configuration acknowledged: %t after %d ms", configured, time.Since(began).Milliseconds())
	a := send(&http.Client{}, http.MethodGet, s.gateways[0].addr, "/a/", nil, callTimeout)
	r.add("GET /a/: %d %s", a.status, a.body)
	for _, d := range s.all() {
		if d.hasEnded() {
			r.add("%s has ended", d.name)
		}
	}
	if !configured && a.status != http.StatusOK {
		return exitBroken
	}
	return exitHeld
}
