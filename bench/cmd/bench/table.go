package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// row is one line of the table. Rows without a bound are measurements for docs/CAPACITY.md.
type row struct {
	point    string
	measured string
	bound    string
	origin   string // origin of the bound
	missed   bool
	bounded  bool
}

// table collects the rows of all points.
type table struct {
	rows []row
}

// Origins of bounds.
const (
	originGoal       = "goal"
	originRegression = "regression"
)

// addUnbounded adds a row without a bound.
func (t *table) addUnbounded(point, format string, args ...any) {
	t.rows = append(t.rows, row{point: point, measured: fmt.Sprintf(format, args...)})
}

// limit adds a row with a value that must not exceed the bound.
func (t *table) limit(point string, value, bound float64, unit, origin, note string) {
	t.rows = append(t.rows, row{
		point:    point,
		measured: strings.TrimSpace(fmt.Sprintf("%.3g %s %s", value, unit, note)),
		bound:    fmt.Sprintf("<= %.3g %s", bound, unit),
		origin:   origin,
		missed:   !(value <= bound), // also true of NaN
		bounded:  true,
	})
}

// knownPrefix is the prefix of the lines of KNOWN-RED.txt that name points of this table.
const knownPrefix = "- bench/"

// knownMisses reads the names of the points with known misses from a file. If the file does not
// exist, there are none.
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

// failed adds a row for a point that could not be measured. It counts as a missed bound.
func (t *table) failed(point string, err error) {
	t.rows = append(t.rows, row{point: point, measured: "not measured: " + err.Error(), missed: true, bounded: true})
}

// print writes the table and returns the number of missed bounds that are not in known.
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.point, r.measured, r.bound, r.origin, result)
	}
	_ = w.Flush()
	return missed
}

// spread formats the number of values, one for each repeat, and the smallest and largest value.
func spread(values []float64) string {
	return fmt.Sprintf("(%d repeats, %.3g to %.3g)", len(values), slices.Min(values), slices.Max(values))
}

func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile returns the element at index int(q*len(values)) of the sorted values, or the last one
// if q is 1. It returns 0 without values.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// fitLine returns the slope and intercept of the least-squares line through the points.
func fitLine(x, y []float64) (perX, base float64) {
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

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
