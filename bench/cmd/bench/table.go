package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// row is one line of the table. A row without a bound is a figure for docs/CAPACITY.md.
type row struct {
	point   string
	figure  string
	bound   string
	reason  string // where the bound comes from
	missed  bool
	bounded bool
}

// table collects the rows of all points.
type table struct {
	rows []row
}

// Origins of bounds.
const (
	fromGoal       = "goal"
	fromRegression = "regression"
)

func (t *table) figure(point, format string, args ...any) {
	t.rows = append(t.rows, row{point: point, figure: fmt.Sprintf(format, args...)})
}

// limit adds a row whose value must not exceed the bound.
func (t *table) limit(point string, value, bound float64, unit, reason, note string) {
	t.rows = append(t.rows, row{
		point:   point,
		figure:  strings.TrimSpace(fmt.Sprintf("%.3g %s %s", value, unit, note)),
		bound:   fmt.Sprintf("<= %.3g %s", bound, unit),
		reason:  reason,
		missed:  !(value <= bound), // also true of NaN
		bounded: true,
	})
}

// knownPrefix begins the names of the entries of KNOWN-RED.txt that are points of this table.
const knownPrefix = "- bench/"

// knownMisses reads the points whose miss is listed in a file. A missing file lists none.
func knownMisses(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	known := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		if point, ok := strings.CutPrefix(line, knownPrefix); ok {
			known[strings.TrimSpace(point)] = true
		}
	}
	return known, nil
}

// failed adds a point that could not be measured, which counts as a missed bound.
func (t *table) failed(point string, err error) {
	t.rows = append(t.rows, row{point: point, figure: "not measured: " + err.Error(), missed: true, bounded: true})
}

// print writes the table and returns the number of missed bounds that are not known.
func (t *table) print(out io.Writer, known map[string]bool) (missed int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POINT\tFIGURE\tBOUND\tORIGIN\tRESULT")
	for _, r := range t.rows {
		result := ""
		switch {
		case r.missed && known[r.point]:
			result = "MISS, known"
		case r.missed:
			result = "MISS"
			missed++
		case r.bounded:
			result = "pass"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.point, r.figure, r.bound, r.reason, result)
	}
	_ = w.Flush()
	return missed
}

// spread describes repeats by their median, least and greatest.
func spread(values []float64) string {
	return fmt.Sprintf("(%d repeats, %.3g to %.3g)", len(values), slices.Min(values), slices.Max(values))
}

func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile sorts a copy of the values; it returns the nearest rank.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// slope returns the least-squares line through the points.
func slope(x, y []float64) (perX, base float64) {
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	perX = covariance / variance
	return perX, meanY - perX*meanX
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// loadAverage returns the machine's load of the last minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
