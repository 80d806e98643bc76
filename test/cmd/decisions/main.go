// Command decisions prints the figures of every policy on both fake sites.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"samphirepaddle.example/core/fake"
	"samphirepaddle.example/test/decisions"
)

func main() {
	only := flag.String("policies", "", "comma-separated names of the policies to run beside the oracle; empty for all")
	first := flag.Uint64("first-seed", 1, "first seed")
	count := flag.Int("seeds", len(decisions.Seeds), "number of seeds")
	flag.Parse()
	var seeds []uint64
	for i := range *count {
		seeds = append(seeds, *first+uint64(i))
	}
	for _, site := range decisions.Sites() {
		rows := decisions.MeasureAll(site, selected(*only), seeds)
		decisions.Print(os.Stdout, site, rows)
	}
	fmt.Println()
}

func selected(names string) []fake.Options {
	all := fake.Policies()
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
