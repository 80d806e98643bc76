package main

import (
	"fmt"
	"os/exec"
	"strconv"
	"strings"
)

// benchmarkRun selects package benchmarks whose figures are added to the table.
type benchmarkRun struct {
	pkg, pattern, benchtime string
}

var benchmarkRuns = []benchmarkRun{
	{"samphirepaddle.example/core/state", "^BenchmarkMemory$", "1x"},
	{"samphirepaddle.example/daemon/replica", "^BenchmarkRestart$", "3x"},
}

// Regression bounds on ratios of restart times.
const (
	restartGrowth   = 20 // with 100,000 log entries / with 10,000
	restartSnapshot = 2  // with a snapshot / from the log only
)

// measurePackages runs the package benchmarks and compares the restart times.
func measurePackages(t *table) {
	restart := map[string]float64{}
	for _, p := range benchmarkRuns {
		command := exec.Command("go", "test", "-run", "^$", "-bench", p.pattern, "-benchtime", p.benchtime, p.pkg)
		out, err := command.CombinedOutput()
		if err != nil {
			t.failed(p.pkg, fmt.Errorf("%w: %s", err, out))
			continue
		}
		for line := range strings.Lines(string(out)) {
			addBenchmark(t, line, restart)
		}
	}
	for _, kind := range []string{"false", "true"} {
		short, long := restart["entries=10000/snapshot="+kind], restart["entries=100000/snapshot="+kind]
		t.limit("restart, 100,000 entries / 10,000, snapshot "+kind, long/short, restartGrowth, "x", originRegression, "")
	}
	ratio := restart["entries=100000/snapshot=true"] / restart["entries=100000/snapshot=false"]
	t.limit("restart, 100,000 entries, snapshot / log", ratio, restartSnapshot, "x", originRegression, "")
}

// addBenchmark adds a benchmark line of the output of go test to the table. If it is a Restart
// benchmark, addBenchmark also stores its time in the map restart.
func addBenchmark(t *table, line string, restart map[string]float64) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return
	}
	name := strings.TrimPrefix(fields[0], "Benchmark")
	if cut := strings.LastIndex(name, "-"); cut > 0 {
		name = name[:cut]
	}
	t.addUnbounded("package: "+name, "%s", strings.Join(fields[2:], " "))
	if kind, ok := strings.CutPrefix(name, "Restart/"); ok {
		restart[kind], _ = strconv.ParseFloat(fields[2], 64)
	}
}
