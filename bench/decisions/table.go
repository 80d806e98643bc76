// Package decisions measures scheduling decisions in seeded simulations of two sites.
package decisions

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sync"

	"samphirepaddle.example/core/fake"
)

// Seeds are the seeds with which the policies were developed.
var Seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}

// parallelRuns is the maximum number of simultaneous runs, which leaves cores free for other work on
// the machine.
const parallelRuns = 4

// Sites returns the two simulated sites.
func Sites() []fake.Site { return []fake.Site{fake.SobreAndino(), fake.Tamworth()} }

// Measure runs a policy with every seed, in parallel, and returns the results in the order of the
// seeds.
func Measure(site fake.Site, options fake.Options, seeds []uint64) []fake.Result {
	results := make([]fake.Result, len(seeds))
	limit := make(chan struct{}, parallelRuns)
	var wait sync.WaitGroup
	for i, seed := range seeds {
		wait.Add(1)
		limit <- struct{}{}
		go func() {
			defer wait.Done()
			results[i] = fake.Run(site, seed, func(w *fake.World) fake.Policy {
				return fake.NewScheduler(w, seed, options)
			})
			<-limit
		}()
	}
	wait.Wait()
	return results
}

// Row holds the results of one policy at one site, one for each seed.
type Row struct {
	Policy  string
	Results []fake.Result
}

// MeasureAll runs every policy with every seed at a site and returns a row for each policy.
func MeasureAll(site fake.Site, policies []fake.Options, seeds []uint64) []Row {
	var rows []Row
	for _, options := range policies {
		rows = append(rows, Row{options.Name, Measure(site, options, seeds)})
	}
	return rows
}

// Spread holds the mean, minimum and maximum of a figure over the seeds.
type Spread struct{ Mean, Min, Max float64 }

func spreadOf(values []float64) Spread {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Spread{sum / float64(len(values)), slices.Min(values), slices.Max(values)}
}

// String formats the spread as mean [min max].
func (s Spread) String() string {
	return fmt.Sprintf("%.2f [%.2f %.2f]", s.Mean, s.Min, s.Max)
}

// Column is one figure of a run. Value may relate it to the oracle's run with the same seed.
type Column struct {
	Name  string
	Value func(run, oracle fake.Result) float64
}

// Columns are the figures of the table.
var Columns = []Column{
	{"p99", func(r, _ fake.Result) float64 { return r.P99 }},
	{"p99.9", func(r, _ fake.Result) float64 { return r.P999 }},
	{"p99/oracle", func(r, o fake.Result) float64 { return r.P99 / o.P99 }},
	{"p99.9/oracle", func(r, o fake.Result) float64 { return r.P999 / o.P999 }},
	{"late %", func(r, _ fake.Result) float64 { return 100 * r.LateShare() }},
	{"work/oracle", func(r, o fake.Result) float64 { return r.Work / o.Work }},
	{"evictions/1000", func(r, _ fake.Result) float64 { return r.EvictionsPer1000() }},
	{"preempted/1000", func(r, _ fake.Result) float64 { return 1000 * float64(r.Preempted) / math.Max(float64(r.Started), 1) }},
	{"lost %", func(r, _ fake.Result) float64 { return 100 * r.WorkLost / math.Max(r.Work, 1) }},
}

// Figure returns a column of a row as a spread over the seeds.
func Figure(c Column, row, oracle Row) Spread {
	var values []float64
	for i := range row.Results {
		values = append(values, c.Value(row.Results[i], oracle.Results[i]))
	}
	return spreadOf(values)
}

// Print writes the table of one site. The last row must be the oracle's.
func Print(out io.Writer, site fake.Site, rows []Row) {
	fmt.Fprintf(out, "\n%s: mean [min max] over %d seeds\n", site.Name, len(rows[0].Results))
	fmt.Fprintf(out, "%-16s", "policy")
	for _, c := range Columns {
		fmt.Fprintf(out, " %22s", c.Name)
	}
	fmt.Fprintln(out)
	oracle := rows[len(rows)-1]
	for _, row := range rows {
		fmt.Fprintf(out, "%-16s", row.Policy)
		for _, c := range Columns {
			fmt.Fprintf(out, " %22s", Figure(c, row, oracle))
		}
		fmt.Fprintln(out)
	}
}
