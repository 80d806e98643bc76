package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/alecthomas/kingpin/v2"
)

func addHistograms(app *kingpin.Application, c *connection) {
	command := app.Command("histograms", "Shows the histograms of each gateway that --gateway names.")
	command.Action(func(*kingpin.ParseContext) error { return histograms(c) })
}

// histograms asks each gateway by itself, because each has its own numbers. A gateway that
// does not answer is reported and the others are still shown.
func histograms(c *connection) error {
	answers := map[string]json.RawMessage{}
	missing := 0
	for _, gateway := range c.gateways {
		one := *c
		one.gateways = []string{gateway}
		var body json.RawMessage
		if _, err := one.get("/v1/histograms", &body); err != nil {
			missing++
			fmt.Fprintf(c.out, "%s: %v\n", gateway, err)
			continue
		}
		answers[gateway] = body
	}
	if c.json {
		data, err := json.Marshal(answers)
		if err != nil {
			return err
		}
		return c.printJSON(data)
	}
	t := newTable(c.out)
	t.row("GATEWAY", "NAME", "VALUES")
	for _, gateway := range c.gateways {
		printHistograms(t, gateway, answers[gateway])
	}
	if err := t.flush(); err != nil {
		return err
	}
	if missing > 0 {
		return fmt.Errorf("%d of %d gateways did not answer %s /v1/histograms", missing, len(c.gateways), http.MethodGet)
	}
	return nil
}

func printHistograms(t *table, gateway string, body json.RawMessage) {
	var named map[string]json.RawMessage
	if json.Unmarshal(body, &named) != nil {
		return
	}
	names := make([]string, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.row(gateway, name, string(named[name]))
	}
}
