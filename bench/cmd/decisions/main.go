// Command decisions prints the measurements of the simulated policies at both sites.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"samphirepaddle.example/bench/decisions"
	"samphirepaddle.example/core/fake"
)

func main() {
	only := flag.String("policies", "", "comma-separated names of the policies to run beside the oracle; empty for all")
	steps := flag.Bool("steps", false, "add the features of the full policy one by one")
	first := flag.Uint64("first-seed", 1, "first seed")
	count := flag.Int("seeds", len(decisions.Seeds), "number of seeds")
	flag.Parse()
	var seeds []uint64
	for i := range *count {
		seeds = append(seeds, *first+uint64(i))
	}
	for _, site := range decisions.Sites() {
		rows := decisions.MeasureAll(site, selected(*only, *steps), seeds)
		decisions.Print(os.Stdout, site, rows)
	}
	fmt.Println()
}

// selected returns the policies whose names are in the comma-separated list, or all if the list is
// empty. It always includes the oracle, which is the last policy.
func selected(names string, steps bool) []fake.Options {
	all := fake.Policies()
	if steps {
		all = fake.IncrementalPolicies()
	}
	if names == "" {
		return all
	}
	var out []fake.Options
	for i, options := range all {
		if i == len(all)-1 || strings.Contains(","+names+",", ","+options.Name+",") {
			out = append(out, options)
		}
	}
	return out
}
