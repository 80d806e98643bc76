package planted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options selects what a Run does.
type Options struct {
	Root     string // of the repository
	Faults   []*Fault
	Kinds    []Kind
	Jobs     int // faults that are examined at a time
	First    uint64
	Last     uint64    // seeds of the soak and of tests that take one; a check stops at the first that finds the fault
	Progress io.Writer // receives a line for each result
}

// The values of Result.Status.
const (
	Found    = "found"
	NotFound = "not found"
	Failed   = "error"
)

// Result is the outcome of one check of one fault.
type Result struct {
	Fault   string  `json:"fault"`
	Check   string  `json:"check"`
	Kind    Kind    `json:"kind"`
	Status  string  `json:"status"`
	Seed    uint64  `json:"seed,omitempty"`  // that found the fault
	Seeds   uint64  `json:"seeds,omitempty"` // that ran
	Seconds float64 `json:"seconds"`         // of all runs of the check, including the build of its tests
	Detail  string  `json:"detail,omitempty"`
}

// Run examines the faults and returns the results in their order. A fault that cannot be planted, and a check that
// fails without a fault, have the status Failed.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "planted-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(scratch)
	r := &runner{Options: o, scratch: scratch, unchanged: filepath.Join(scratch, "unchanged"), baselines: map[string]*baseline{}}
	if err := CopySource(o.Root, r.unchanged); err != nil {
		return nil, err
	}
	results := make([][]Result, len(o.Faults))
	var group sync.WaitGroup
	running := make(chan struct{}, o.Jobs)
	for i, fault := range o.Faults {
		group.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			if ctx.Err() == nil {
				results[i] = r.examine(ctx, fault)
			}
		})
	}
	group.Wait()
	return slices.Concat(results...), ctx.Err()
}

func (o *Options) validate() error {
	switch {
	case o.Jobs < 1:
		return fmt.Errorf("number of jobs %d must be at least 1", o.Jobs)
	case o.Last < o.First:
		return fmt.Errorf("the last seed %d is less than the first, %d", o.Last, o.First)
	case len(o.Faults) == 0:
		return errors.New("no fault is selected")
	}
	for _, kind := range o.Kinds {
		if !slices.Contains(Kinds, kind) {
			return fmt.Errorf("unknown kind of check %q", kind)
		}
	}
	if _, err := os.Stat(filepath.Join(o.Root, "go.work")); err != nil {
		return fmt.Errorf("%s is not the root of the repository: %w", o.Root, err)
	}
	return nil
}

type runner struct {
	Options
	scratch   string
	unchanged string // copy of the source without a fault

	mu        sync.Mutex
	baselines map[string]*baseline
}

// baseline is the outcome of a check on the unchanged source.
type baseline struct {
	once    sync.Once
	finding finding
	err     error
}

// examine plants one fault and runs its checks.
func (r *runner) examine(ctx context.Context, fault *Fault) []Result {
	checks := r.selectChecks(fault)
	dir := filepath.Join(r.scratch, fault.ID)
	defer os.RemoveAll(dir)
	source := filepath.Join(dir, "source")
	err := CopySource(r.unchanged, source)
	if err == nil {
		err = fault.Apply(source)
	}
	if err == nil {
		err = build(ctx, source, fault)
	}
	if len(checks) == 0 {
		return r.withoutCheck(ctx, fault, err)
	}
	var results []Result
	for i, check := range checks {
		result := Result{Fault: fault.ID, Check: check.String(), Kind: check.Kind, Status: Failed}
		if err != nil {
			result.Detail = err.Error()
		} else {
			r.runCheck(ctx, check, source, filepath.Join(dir, strconv.Itoa(i)), &result)
		}
		if ctx.Err() != nil {
			return results // the run was interrupted, which is no result
		}
		r.report(result)
		results = append(results, result)
	}
	return results
}

// withoutCheck returns the result of a fault that no check of the selected kinds is expected to find.
func (r *runner) withoutCheck(ctx context.Context, fault *Fault, err error) []Result {
	if ctx.Err() != nil {
		return nil
	}
	result := Result{Fault: fault.ID, Check: "none of the selected kinds", Status: NotFound}
	if err != nil {
		result.Status, result.Detail = Failed, err.Error()
	}
	r.report(result)
	return []Result{result}
}

// selectChecks returns the checks of the selected kinds.
func (r *runner) selectChecks(fault *Fault) []Check {
	var checks []Check
	for _, check := range append(slices.Clone(fault.Checks), Check{Kind: Soak, Series: fault.Series}) {
		if slices.Contains(r.Kinds, check.Kind) {
			checks = append(checks, check)
		}
	}
	return checks
}

// runCheck runs a check with each seed until one finds the fault.
func (r *runner) runCheck(ctx context.Context, check Check, source, scratch string, result *Result) {
	first, last := r.First, r.Last
	if !check.takesSeed() {
		first, last = 0, 0
	}
	began := time.Now()
	result.Status = NotFound
	for seed := first; seed <= last && result.Status == NotFound; seed++ {
		f, err := r.runOnce(ctx, check, source, scratch, seed)
		if check.takesSeed() {
			result.Seeds++
		}
		switch {
		case err != nil:
			result.Status, result.Detail = Failed, err.Error()
		case f.found:
			result.Status, result.Detail, result.Seed = Found, f.detail, seed
		}
	}
	result.Seconds = time.Since(began).Seconds()
	if result.Status == Found {
		r.compare(ctx, check, result)
	}
}

func (r *runner) runOnce(ctx context.Context, check Check, source, scratch string, seed uint64) (finding, error) {
	scratch = filepath.Join(scratch, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(scratch, 0o700); err != nil {
		return finding{}, err
	}
	defer os.RemoveAll(scratch)
	return check.run(ctx, source, scratch, seed)
}

// compare makes a finding an error if the check reports the same on the unchanged source. A model does not see the
// source, so that it has no run without the fault here: spec/check.sh requires that the complete models hold.
func (r *runner) compare(ctx context.Context, check Check, result *Result) {
	if check.Kind == Model {
		return
	}
	name := fmt.Sprintf("%s %d", check, result.Seed)
	r.mu.Lock()
	b := r.baselines[name]
	if b == nil {
		b = &baseline{}
		r.baselines[name] = b
	}
	r.mu.Unlock()
	b.once.Do(func() {
		dir, err := os.MkdirTemp(r.scratch, "baseline-")
		if b.err = err; err == nil {
			b.finding, b.err = r.runOnce(ctx, check, r.unchanged, dir, result.Seed)
		}
	})
	switch {
	case b.err != nil:
		result.Status, result.Detail = Failed, "on the unchanged source: "+b.err.Error()
	case b.finding.found:
		result.Status, result.Detail = Failed, "the check fails on the unchanged source too: "+b.finding.detail
	}
}

func (r *runner) report(result Result) {
	if r.Progress == nil {
		return
	}
	line := fmt.Sprintf("%s: %s: %s", result.Fault, result.Check, result.Status)
	if result.Kind == Soak && result.Status == Found {
		line += fmt.Sprintf(" with seed %d", result.Seed)
	}
	line += fmt.Sprintf(" after %.1f s", result.Seconds)
	if result.Detail != "" {
		line += ": " + strings.ReplaceAll(result.Detail, "\n", " | ")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.Progress, line)
}

// ParseSeeds returns the first and the last seed of a text such as 1-50 or 7.
func ParseSeeds(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "-")
	if !found {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	last, err = strconv.ParseUint(to, 10, 64)
	if err == nil && last < first {
		err = errors.New("the last seed is less than the first")
	}
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	return first, last, nil
}
