package main

import (
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/core/state"
)

const evacuationsPath = "/v1/evacuations"

func addEvacuation(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("evacuation", "Lists, begins or ends the evacuation of availability zones.")
	command.Command("list", "Lists the evacuated zones and what still runs there.").Action(func(*kingpin.ParseContext) error {
		var list []state.ZoneStatus
		return c.getAndPrint(evacuationsPath, &list, func(t *table) { printEvacuations(t, list) })
	})
	begin := command.Command("begin", "Starts nothing more in a zone and moves its work to the others.")
	beginZone := begin.Arg("zone", "Name of the zone.").Required().String()
	begin.Action(func(*kingpin.ParseContext) error {
		return c.change(http.MethodPost, evacuationsPath+"/"+url.PathEscape(*beginZone), nil, "zone "+*beginZone+" is evacuated")
	})
	end := command.Command("end", "Takes a zone back.")
	endZone := end.Arg("zone", "Name of the zone.").Required().String()
	end.Action(func(*kingpin.ParseContext) error {
		return c.change(http.MethodDelete, evacuationsPath+"/"+url.PathEscape(*endZone), nil, "zone "+*endZone+" takes work")
	})
}

func printEvacuations(t *table, list []state.ZoneStatus) {
	t.row("ZONE", "SINCE", "REVISION", "WORKERS", "LONG-RUNNING", "SHORT")
	for _, zone := range list {
		t.row(zone.Zone, time.UnixMilli(int64(zone.Since)).UTC().Format(time.RFC3339), zone.Revision, zone.Workers, zone.LongRunning, zone.Short)
	}
}
