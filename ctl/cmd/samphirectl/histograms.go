package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/alecthomas/kingpin/v2"
)

func addHistograms(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("histograms", "Shows the histograms of each gateway that --gateway names.")
	command.Action(func(*kingpin.ParseContext) error { return histograms(c) })
}

// histograms queries every gateway, because each has its own histograms. If a gateway does not
// respond, its error is printed and the others are still shown.
func histograms(c *gatewayClient) error {
	bodies := map[string]json.RawMessage{}
	failed := 0
	for _, gateway := range c.gateways {
		single := *c
		single.gateways = []string{gateway}
		var body json.RawMessage
		if _, err := single.get("/v1/histograms", &body); err != nil {
			failed++
			fmt.Fprintf(c.out, "%s: %v\n", gateway, err)
			continue
		}
		bodies[gateway] = body
	}
	if c.jsonOutput {
		data, err := json.Marshal(bodies)
		if err != nil {
			return err
		}
		return c.printJSON(data)
	}
	t := newTable(c.out)
	t.row("GATEWAY", "NAME", "VALUES")
	for _, gateway := range c.gateways {
		printHistograms(t, gateway, bodies[gateway])
	}
	if err := t.flush(); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d gateways did not answer %s /v1/histograms", failed, len(c.gateways), http.MethodGet)
	}
	return nil
}

func printHistograms(t *table, gateway string, body json.RawMessage) {
	var histograms map[string]json.RawMessage
	if json.Unmarshal(body, &histograms) != nil {
		return
	}
	names := make([]string, 0, len(histograms))
	for name := range histograms {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.row(gateway, name, string(histograms[name]))
	}
}
