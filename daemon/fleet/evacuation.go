package fleet

import (
	"context"
	"slices"

	"samphirepaddle.example/core/dispatch"
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/core/workflow"
	"samphirepaddle.example/daemon/bootclock"
)

// ZoneOrder is an operator's order about an availability zone: to evacuate it, or to take it back.
type ZoneOrder struct {
	Zone     model.Zone `cbor:"1,keyasint,omitempty"`
	Evacuate bool       `cbor:"2,keyasint,omitempty"`
	Declared bool       `cbor:"3,keyasint,omitempty"` // the zone is in the settings of the daemon that took the order
}

// OrderZone applies an operator's order about a zone and returns once a majority has stored it.
func (e *Engine) OrderZone(ctx context.Context, o ZoneOrder) (state.Result, error) {
	l := e.currentLeadership()
	if l == nil {
		return state.Result{}, ErrNotLeading
	}
	result, err := l.propose(ctx, state.Command{EvacuateZone: &state.EvacuateZone{Zone: o.Zone, Evacuated: o.Evacuate, Declared: o.Declared}})
	if err != nil {
		return result, err
	}
	l.requestPass()
	l.engine.opts.Metrics.count("zone_orders", string(result.Code), 1)
	l.logger.Info().Str("zone", string(o.Zone)).Bool("evacuated", o.Evacuate).Str("code", string(result.Code)).
		Uint64("revision", uint64(result.Revision)).Str("detail", result.Message).Msg("zone ordered")
	return result, nil
}

// EvacuatedZones returns the evacuated zones with what still runs there.
func (e *Engine) EvacuatedZones(context.Context, struct{}) ([]state.ZoneStatus, error) {
	var zones []state.ZoneStatus
	e.opts.Log.View(func(st *state.State) { zones = st.DescribeEvacuations() })
	if e.currentLeadership() == nil {
		return nil, ErrNotLeading
	}
	return zones, nil
}

// Gauges of the evacuated zones.
const (
	evacuatedZonesGauge = "evacuated_zones"
	evacuatedTasksGauge = "tasks_in_evacuated_zones"
)

// noteEvacuations takes over the orders in force for this pass.
func (l *leadership) noteEvacuations(st *state.State) {
	if len(st.Evacuations) == 0 && len(l.evacuated) == 0 {
		return
	}
	clear(l.evacuated)
	if l.evacuated == nil {
		l.evacuated = map[model.Zone]bool{}
	}
	tasks := 0
	for _, zone := range st.DescribeEvacuations() {
		l.evacuated[zone.Zone] = true
		tasks += zone.LongRunning + zone.Short
	}
	l.engine.opts.Metrics.SetGauge(evacuatedZonesGauge, len(l.evacuated))
	l.engine.opts.Metrics.SetGauge(evacuatedTasksGauge, tasks)
}

// reasonEvacuated is the reason with which attempts are moved out of an evacuated zone.
const reasonEvacuated = "its zone is evacuated"

// moveOutOfEvacuated marks the attempts that leave their evacuated zone now; l.mu must be held. The next
// pass stops them.
func (l *leadership) moveOutOfEvacuated(p *dispatch.Snapshot) {
	if len(l.evacuated) == 0 {
		return
	}
	for _, move := range dispatch.EvacuationMoves(p) {
		s := l.sessions[move.Incarnation]
		o := s.orderOf(move.Attempt)
		o.evictReason, s.changed = reasonEvacuated, true
		l.engine.opts.Metrics.count("moves", "evacuation", 1)
		l.sampledLogger.Info().Str("task", move.Attempt.Task.String()).Uint32("attempt", move.Attempt.Number).
			Str("worker", string(s.incarnation.Worker)).Str("reason", reasonEvacuated).Msg("attempt is moved")
	}
}

// OrderZone passes an operator's order about a zone to the leader.
func (c Control) OrderZone(ctx context.Context, zone model.Zone, evacuate bool) (state.Result, error) {
	return c.Client.OrderZone(ctx, ZoneOrder{Zone: zone, Evacuate: evacuate, Declared: slices.Contains(c.Zones, zone)})
}

// EvacuatedZones asks the leader for the evacuated zones.
func (c Control) EvacuatedZones(ctx context.Context) ([]state.ZoneStatus, error) {
	return c.Client.EvacuatedZones(ctx)
}

// OrderZone applies an operator's order about a zone.
func (c *Client) OrderZone(ctx context.Context, o ZoneOrder) (state.Result, error) {
	return call[state.Result](ctx, c, opOrderZone, o)
}

// EvacuatedZones returns the evacuated zones with what still runs there.
func (c *Client) EvacuatedZones(ctx context.Context) ([]state.ZoneStatus, error) {
	return call[[]state.ZoneStatus](ctx, c, opEvacuatedZones, struct{}{})
}

// coldFor returns how long the worker is still slow, as it has said in its heartbeats.
func (l *leadership) coldFor(s *session, w *workflow.Worker, now bootclock.Time) model.Millis {
	if !l.engine.opts.SpareCold || w.ColdUntil == 0 || s.clock == 0 {
		return 0
	}
	return max(0, w.ColdUntil-s.minClock(now))
}
