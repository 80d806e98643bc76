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
	restartGrowth   = 8 // restart with four times the log against restart with the log
	restartSnapshot = 2 // restart with a snapshot of the log against restart without
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
	for _, kind := range []string{"log", "snapshot"} {
		short, long := restart[kind+"/entries=8000"], restart[kind+"/entries=32000"]
		t.limit("restart, "+kind+", 32,000 entries / 8,000", long/short, restartGrowth, "x", fromRegression, "")
	}
	t.limit("restart, 32,000 entries, snapshot / log", restart["snapshot/entries=32000"]/restart["log/entries=32000"], restartSnapshot, "x", fromRegression, "")
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
