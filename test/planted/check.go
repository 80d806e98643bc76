package planted

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Kind is a kind of check.
type Kind string

// The kinds of checks.
const (
	Unit  Kind = "unit"  // tests of one package
	Model Kind = "model" // a model in spec/ with the same guard removed; it does not see the changed source
	Soak  Kind = "soak"  // the fault soak on the changed daemons
)

// Kinds lists the kinds of checks.
var Kinds = []Kind{Unit, Model, Soak}

// Check is one check that is expected to find a fault.
type Check struct {
	Kind    Kind
	Package string // of the tests, such as core/workflow
	Tests   string // names of the tests, separated by "|"
	Seeded  bool   // the tests draw their input by -rapid.seed
	Case    string // line of the model's case in spec/check.sh
	Series  bool   // the soak runs with a series
}

func unit(pkg, tests string) Check { return Check{Kind: Unit, Package: pkg, Tests: tests} }

func seeded(pkg, tests string) Check {
	return Check{Kind: Unit, Package: pkg, Tests: tests, Seeded: true}
}

func model(line string) Check { return Check{Kind: Model, Case: line} }

// String returns the name of the check in the table.
func (c Check) String() string {
	switch c.Kind {
	case Unit:
		return c.Package + " " + strings.ReplaceAll(c.Tests, "|", ", ")
	case Model:
		return "spec " + c.Case
	}
	return "soak"
}

// takesSeed reports whether the outcome of the check depends on the seed.
func (c Check) takesSeed() bool { return c.Seeded || c.Kind == Soak }

// finding is the outcome of one run of a check.
type finding struct {
	found  bool
	detail string // what the check reported
}

// Time limits of one run of a check, including the build of its tests.
const (
	unitTimeout  = 4 * time.Minute
	modelTimeout = 5 * time.Minute
	soakTimeout  = 5 * time.Minute
)

// run runs the check on the source in the folder. scratch is an empty folder for its files.
func (c Check) run(ctx context.Context, source, scratch string, seed uint64) (finding, error) {
	switch c.Kind {
	case Unit:
		return c.runTests(ctx, source, seed)
	case Model:
		return c.runModel(ctx, source)
	case Soak:
		return runSoak(ctx, source, scratch, seed, c.Series)
	}
	return finding{}, fmt.Errorf("unknown kind of check %q", c.Kind)
}

// goFlags keep the packages that a change does not concern in the build cache, whatever the folder of the copy,
// and limit each go command to one process.
var goFlags = []string{"-trimpath", "-p", "1"}

func (c Check) runTests(ctx context.Context, source string, seed uint64) (finding, error) {
	module, pkg, ok := strings.Cut(c.Package, "/")
	if !ok {
		module, pkg = c.Package, "."
	}
	args := append([]string{"test"}, goFlags...)
	args = append(args, "-vet=off", "-count=1", "-v", "-timeout", (unitTimeout - time.Minute).String(),
		"-run", "^("+c.Tests+")$", "./"+pkg)
	if c.Seeded {
		args = append(args, fmt.Sprintf("-rapid.seed=%d", seed), "-rapid.nofailfile")
	}
	out, err := command(ctx, unitTimeout, filepath.Join(source, module), "go", args...)
	return testFinding(out, err)
}

var (
	failedTest = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)
	passedTest = regexp.MustCompile(`(?m)^--- PASS: (\S+)`)
	message    = regexp.MustCompile(`(?m)^\s+\S+_test\.go:\d+: (.+)$`)
)

// testFinding derives the outcome from the output of go test -v. Only a failed test finds a fault: one that does
// not compile or does not exist is an error.
func testFinding(out string, err error) (finding, error) {
	var exit *exec.ExitError
	failed := failedTest.FindStringSubmatch(out)
	switch {
	case err == nil && passedTest.MatchString(out):
		return finding{}, nil
	case err == nil:
		return finding{}, errors.New("no such test ran")
	case !errors.As(err, &exit):
		return finding{}, err
	case strings.Contains(out, "[build failed]"), strings.Contains(out, "[setup failed]"):
		return finding{}, fmt.Errorf("the test does not compile: %s", lastLines(out))
	case failed != nil:
		return finding{true, failed[1] + ": " + strings.Join(messages(out), "; ")}, nil
	case strings.Contains(out, "panic: "):
		_, text, _ := strings.Cut(out, "panic: ")
		text, _, _ = strings.Cut(text, "\n")
		return finding{true, "panic: " + text}, nil
	}
	return finding{}, fmt.Errorf("go test: %w: %s", err, lastLines(out))
}

// messages returns the first of the different texts that the tests wrote. A busy machine may add one that has
// another cause than the fault.
func messages(out string) []string {
	const maxMessages = 4
	var texts []string
	for _, said := range message.FindAllStringSubmatch(out, -1) {
		if len(texts) < maxMessages && !slices.Contains(texts, said[1]) {
			texts = append(texts, said[1])
		}
	}
	return texts
}

func (c Check) runModel(ctx context.Context, source string) (finding, error) {
	out, err := command(ctx, modelTimeout, filepath.Join(source, "spec"), "bash", "check.sh", "--only", c.Case)
	if err != nil {
		return finding{}, fmt.Errorf("spec/check.sh: %w: %s", err, lastLines(out))
	}
	if len(strings.Fields(c.Case)) < 2 || strings.Fields(c.Case)[1] == "holds" {
		return finding{}, fmt.Errorf("case %q of the models expects no violation", c.Case)
	}
	return finding{true, strings.Fields(c.Case)[1] + " is violated"}, nil
}

var (
	soakSummary   = regexp.MustCompile(`(?m)^seed \d+: .*: (\d+) violations$`)
	soakViolation = regexp.MustCompile(`(?m)^  (\S[^\n]*)$`)
)

// runSoak builds the daemons of the source and runs one seed, with a series if that is needed.
func runSoak(ctx context.Context, source, scratch string, seed uint64, series bool) (finding, error) {
	binary := filepath.Join(scratch, "soak")
	args := append([]string{"build"}, goFlags...)
	args = append(args, "-o", binary, "./cmd/soak")
	if out, err := command(ctx, unitTimeout, filepath.Join(source, "test"), "go", args...); err != nil {
		return finding{}, fmt.Errorf("build of the soak: %w: %s", err, lastLines(out))
	}
	args = []string{"--root", source, "--jobs", "1", "--seeds", fmt.Sprint(seed), "--dir", filepath.Join(scratch, "runs")}
	if series {
		args = append(args, "--series")
	}
	out, err := command(ctx, soakTimeout, scratch, binary, args...)
	return soakFinding(out, err)
}

// soakFinding derives the outcome from the output of the soak.
func soakFinding(out string, err error) (finding, error) {
	summary := soakSummary.FindStringSubmatch(out)
	switch {
	case summary == nil:
		return finding{}, fmt.Errorf("the soak did not complete: %w: %s", errors.Join(err, errNoSummary), lastLines(out))
	case summary[1] == "0":
		return finding{}, nil
	}
	detail := summary[1] + " violations"
	if first := soakViolation.FindStringSubmatch(out); first != nil {
		detail = first[1]
	}
	return finding{true, detail}, nil
}

var errNoSummary = errors.New("it wrote no summary")

// build compiles the packages that the fault changes. A change that does not compile would fail each check.
func build(ctx context.Context, source string, fault *Fault) error {
	built := map[string]bool{}
	for _, edit := range fault.Edits {
		module, file, _ := strings.Cut(edit.File, "/")
		pkg := module + "/" + filepath.Dir(file)
		if built[pkg] {
			continue
		}
		built[pkg] = true
		args := append([]string{"build"}, goFlags...)
		args = append(args, "./"+filepath.Dir(file))
		if out, err := command(ctx, unitTimeout, filepath.Join(source, module), "go", args...); err != nil {
			return fmt.Errorf("the changed source does not compile: %w: %s", err, lastLines(out))
		}
	}
	return nil
}

// command runs a program in its own process group, and ends the group if the context is done.
func command(ctx context.Context, timeout time.Duration, dir, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "PWD="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = 5 * time.Second
	out, err := cmd.CombinedOutput()
	if ctx.Err() != nil {
		err = fmt.Errorf("%s %s: %w", name, strings.Join(args[:min(2, len(args))], " "), ctx.Err())
	}
	return string(out), err
}

// lastLines returns the end of a program's output.
func lastLines(out string) string {
	const maxBytes = 1000
	out = strings.TrimSpace(out)
	return out[max(0, len(out)-maxBytes):]
}
