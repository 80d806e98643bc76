package main

import (
	"fmt"
	"os/exec"
	"strconv"
	"strings"
)

// packageRun is one run of package benchmarks whose figures belong into the table.
type packageRun struct {
	pkg, pattern, benchtime string
}

var packageRuns = []packageRun{
	{"samphirepaddle.example/core/state", "^BenchmarkMemory$", "1x"},
	{"samphirepaddle.example/daemon/replica", "^BenchmarkRestart$", "3x"},
}

// Regression bounds on the restart.
const (
	restartGrowth   = 20 // restart with ten times the log against restart with the log
	restartSnapshot = 2  // restart with a snapshot of the log against restart without
)

// measurePackages runs the package benchmarks.
func measurePackages(t *table) {
	restart := map[string]float64{}
	for _, p := range packageRuns {
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
		t.limit("restart, 100,000 entries / 10,000, snapshot "+kind, long/short, restartGrowth, "x", fromRegression, "")
	}
	ratio := restart["entries=100000/snapshot=true"] / restart["entries=100000/snapshot=false"]
	t.limit("restart, 100,000 entries, snapshot / log", ratio, restartSnapshot, "x", fromRegression, "")
}

// addBenchmark adds one line of the output of go test.
func addBenchmark(t *table, line string, restart map[string]float64) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return
	}
	name := strings.TrimPrefix(fields[0], "Benchmark")
	if cut := strings.LastIndex(name, "-"); cut > 0 {
		name = name[:cut]
	}
	t.figure("package: "+name, "%s", strings.Join(fields[2:], " "))
	if kind, ok := strings.CutPrefix(name, "Restart/"); ok {
		restart[kind], _ = strconv.ParseFloat(fields[2], 64)
	}
}
