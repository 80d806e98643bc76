package main

import (
	"net/http"
	"time"
)

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
