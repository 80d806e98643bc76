// Command bench measures the performance of a cluster on loopback: nine daemons in three
// availability zones, three of them controllers, and stand-in targets. It prints a table of
// figures and exits with status 1 if a figure misses its bound and KNOWN-RED.txt does not list this
// miss. A bound is a stated goal, or a regression bound on the ratio of two figures of the same run.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"samphirepaddle.example/test/cluster"
)

func main() {
	only := flag.String("points", "", "comma-separated points to run; empty for all")
	flag.Parse()
	missed, err := run(*only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
	if missed > 0 {
		fmt.Printf("%d bounds are missed\n", missed)
		os.Exit(1)
	}
}

// group is a set of measurement points that share a cluster.
type group struct {
	name    string
	options cluster.Options
	points  []point
}

// point is a measurement that adds rows to the table.
type point struct {
	name    string
	measure func(*rig, *table) error
}

func groups() []group {
	base := cluster.Options{Daemons: daemons, Controllers: controllers}
	relayed := base
	relayed.PublicRelays = true
	small := cluster.Options{Daemons: controllers, Controllers: controllers}
	return []group{
		{"requests and failures", base, []point{
			{"requests", measureRequests},
			{"tickets", measureTickets},
			{"kills", measureKills},
		}},
		{"use of CPU and bytes", relayed, []point{
			{"idle", measureIdle},
			{"ticket-use", measureTicketUse},
			{"starts", measureStarts},
		}},
		{"three daemons", small, []point{{"small", measureSmall}}},
	}
}

// knownRedFile lists the missed bounds that do not fail the run. The path is relative to the test
// directory, in which the program runs.
const knownRedFile = "../KNOWN-RED.txt"

func run(only string) (int, error) {
	began := time.Now()
	before := loadAverage()
	dir, err := os.MkdirTemp("", "samphire-bench-bin-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	binaries, err := cluster.Build(dir)
	if err != nil {
		return 0, err
	}
	t := &table{}
	for _, g := range groups() {
		if err := g.run(binaries, only, t); err != nil {
			return 0, err
		}
	}
	if selected(only, "packages") {
		measurePackages(t)
	}
	known, err := knownMisses(knownRedFile)
	if err != nil {
		return 0, err
	}
	missed := t.print(os.Stdout, known)
	fmt.Printf("run time %.0f s, load average %s before and %s after\n", time.Since(began).Seconds(), before, loadAverage())
	return missed, nil
}

// selected reports whether name is one of the comma-separated names in only. If only is empty, all
// names are selected.
func selected(only, name string) bool {
	return only == "" || strings.Contains(","+only+",", ","+name+",")
}

// run starts a cluster and measures the selected points of the group.
func (g group) run(binaries cluster.Binaries, only string, t *table) error {
	var points []point
	for _, p := range g.points {
		if selected(only, p.name) {
			points = append(points, p)
		}
	}
	if len(points) == 0 {
		return nil
	}
	r, err := startRig(binaries, g.options)
	if err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	defer r.close()
	for _, p := range points {
		began := time.Now()
		if err := p.measure(r, t); err != nil {
			t.failed(p.name, err)
		}
		fmt.Fprintf(os.Stderr, "%s took %.1f s\n", p.name, time.Since(began).Seconds())
	}
	return nil
}
