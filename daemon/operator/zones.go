package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/control"
)

// Zones carries operators' orders about availability zones to the leader.
type Zones interface {
	// OrderZone evacuates a zone or takes it back.
	OrderZone(ctx context.Context, zone model.Zone, evacuate bool) (state.Result, error)
	// EvacuatedZones returns the evacuated zones with what still runs there.
	EvacuatedZones(ctx context.Context) ([]state.ZoneStatus, error)
}

// RegisterZones adds the routes about availability zones to mux.
func RegisterZones(mux *http.ServeMux, zones Zones) {
	mux.HandleFunc("GET /v1/evacuations", func(w http.ResponseWriter, r *http.Request) { listEvacuations(w, r, zones) })
	mux.HandleFunc("POST /v1/evacuations/{zone}", zoneHandler(zones, true))
	mux.HandleFunc("DELETE /v1/evacuations/{zone}", zoneHandler(zones, false))
}

func listEvacuations(w http.ResponseWriter, r *http.Request, zones Zones) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	list, err := zones.EvacuatedZones(ctx)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, codeUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, append([]state.ZoneStatus{}, list...))
}

func zoneHandler(zones Zones, evacuate bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		result, err := zones.OrderZone(ctx, model.Zone(r.PathValue("zone")), evacuate)
		if err != nil {
			writeProblem(w, http.StatusServiceUnavailable, state.CodeUnknown, err.Error())
			return
		}
		writeJSON(w, httpStatus(result.Code), Problem{Code: result.Code, Message: result.Message})
	}
}

// controlZones passes orders to the controllers of the daemon's own pools.
type controlZones struct{ control *control.Client }

func (z controlZones) OrderZone(ctx context.Context, zone model.Zone, evacuate bool) (state.Result, error) {
	return z.control.Propose(ctx, state.Command{EvacuateZone: &state.EvacuateZone{Zone: zone, Evacuated: evacuate}})
}

func (z controlZones) EvacuatedZones(ctx context.Context) ([]state.ZoneStatus, error) {
	body, err := z.control.Read(ctx, "evacuations", nil)
	if err != nil {
		return nil, err
	}
	var list []state.ZoneStatus
	return list, json.Unmarshal(body, &list)
}
