package planted

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// newRepository returns the root of a repository with one function, Two, which returns 2.
func newRepository(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "go.work"), "go 1.26.0\n\nuse (\n\t./core\n\t./platform\n\t./daemon\n)\n")
	for _, module := range []string{"core", "platform", "daemon"} {
		writeFile(t, filepath.Join(dir, module, "go.mod"), "module example/"+module+"\n\ngo 1.26.0\n")
		writeFile(t, filepath.Join(dir, module, "two", "two.go"), "package two\n\n// Two returns 2.\nfunc Two() int { return 2 }\n")
	}
	writeFile(t, filepath.Join(dir, "core", "two", "two_test.go"), `package two

import "testing"

func TestTwo(t *testing.T) {
	if got := Two(); got != 2 {
		t.Errorf("Two returns %d", got)
	}
}

func TestNothing(t *testing.T) {}

func TestThatAlwaysFails(t *testing.T) { t.Error("it always fails") }

func TestPanic(t *testing.T) { _ = []int{2: 0}[Two()] }
`)
	return dir
}

// Guards against a result that is taken for another one, above all against an error that counts as a finding.
func TestResultsOfFaults(t *testing.T) {
	edit := func(old, text string) []Edit { return []Edit{{"core/two/two.go", old, text}} }
	faults := []*Fault{
		{ID: "found", Edits: edit("return 2", "return 1"), Checks: []Check{unit("core/two", "TestTwo")}},
		{ID: "panics", Edits: edit("return 2", "return 3"), Checks: []Check{unit("core/two", "TestPanic")}},
		{ID: "not found", Edits: edit("return 2", "return 1"), Checks: []Check{unit("core/two", "TestNothing")}},
		{ID: "does not apply", Edits: edit("return 7", "return 1"), Checks: []Check{unit("core/two", "TestTwo")}},
		{ID: "does not compile", Edits: edit("return 2", "return"), Checks: []Check{unit("core/two", "TestTwo")}},
		{ID: "no such test", Edits: edit("return 2", "return 1"), Checks: []Check{unit("core/two", "TestMissing")}},
		{ID: "fails anyway", Edits: edit("return 2", "return 1"), Checks: []Check{unit("core/two", "TestThatAlwaysFails")}},
		{ID: "no check", Edits: edit("return 2", "return 1"), Checks: []Check{model("calls holds")}},
		{ID: "no check and does not apply", Edits: edit("return 7", "return 1")},
	}
	want := map[string]string{
		"found": Found, "panics": Found, "not found": NotFound, "does not apply": Failed, "does not compile": Failed, "no such test": Failed,
		"fails anyway": Failed, "no check": NotFound, "no check and does not apply": Failed,
	}
	var progress bytes.Buffer
	results, err := Run(context.Background(), Options{Root: newRepository(t), Faults: faults, Kinds: []Kind{Unit}, Jobs: 2, First: 1, Last: 2, Progress: &progress})
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != len(faults) {
		t.Fatalf("%d results of %d faults", len(results), len(faults))
	}
	for i, r := range results {
		if r.Fault != faults[i].ID || r.Status != want[r.Fault] {
			t.Errorf("result %d of fault %q is %q for %q, want %q: %s", i, faults[i].ID, r.Status, r.Fault, want[faults[i].ID], r.Detail)
		}
		if !strings.Contains(progress.String(), r.Fault+": "+r.Check+": "+r.Status) {
			t.Errorf("no line of progress for fault %q:\n%s", r.Fault, progress.String())
		}
	}
	if detail := results[0].Detail; detail != "TestTwo: Two returns 1" {
		t.Errorf("detail %q", detail)
	}
}

// Guards against a run that begins with values that select nothing or cannot be used.
func TestUnusableOptions(t *testing.T) {
	fault := []*Fault{{ID: "f"}}
	for name, o := range map[string]Options{
		"no jobs":      {Root: root, Faults: fault, Jobs: 0},
		"no faults":    {Root: root, Jobs: 1},
		"seeds":        {Root: root, Faults: fault, Jobs: 1, First: 2, Last: 1},
		"kind":         {Root: root, Faults: fault, Jobs: 1, Kinds: []Kind{"other"}},
		"another root": {Root: t.TempDir(), Faults: fault, Jobs: 1},
	} {
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	for text, want := range map[string][2]uint64{"7": {7, 7}, "1-50": {1, 50}} {
		first, last, err := ParseSeeds(text)
		if err != nil || first != want[0] || last != want[1] {
			t.Errorf("seeds %q: %d, %d, %v", text, first, last, err)
		}
	}
	for _, text := range []string{"", "x", "1-", "5-1", "-3", "1-2-3"} {
		if _, _, err := ParseSeeds(text); err == nil || !strings.Contains(err.Error(), "seeds") {
			t.Errorf("seeds %q: error %v", text, err)
		}
	}
}

// Guards against a soak that ends early and counts as one without a violation.
func TestOutcomeOfASoak(t *testing.T) {
	const summary = "seed 3: 9 jobs, 9 accepted, 0 refused, 9 starts, 2 configurations, 20s: "
	exit := &exec.ExitError{}
	for name, c := range map[string]struct {
		out     string
		err     error
		found   bool
		isError bool
	}{
		"none":       {out: summary + "0 violations\n"},
		"violations": {out: summary + "2 violations\n  twice: task a\n  lost: job b\n", err: exit, found: true},
		"no run":     {out: "seed 3: no leader\n", err: exit, isError: true},
		"no output":  {isError: true},
	} {
		f, err := soakFinding(c.out, c.err)
		if f.found != c.found || (err != nil) != c.isError {
			t.Errorf("%s: found %v, error %v", name, f.found, err)
		}
		if c.found && f.detail != "twice: task a" {
			t.Errorf("%s: detail %q", name, f.detail)
		}
	}
	if _, err := testFinding("--- FAIL: TestX", errors.New("signal: killed")); err == nil {
		t.Error("a test that was ended from outside counts as a result")
	}
}

// Guards against rows that are lost or broken by the texts in them.
func TestTables(t *testing.T) {
	dir := t.TempDir()
	results := []Result{
		{Fault: "fencing", Check: "soak", Kind: Soak, Status: Found, Seed: 2, Seeds: 2, Seconds: 61.26, Detail: "twice"},
		{Fault: "fencing", Check: "core/x TestA", Kind: Unit, Status: NotFound, Seconds: 1},
		{Fault: "kept-route", Check: "soak", Kind: Soak, Status: NotFound, Seeds: 3, Seconds: 90},
		{Fault: "kept-agent", Check: "core/x TestB", Kind: Unit, Status: Failed, Detail: "a | b\nc"},
	}
	if err := WriteTables(dir, results); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, MarkdownFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"1 of 3 faults were found by at least one check.",
		"| fencing | soak | found | 2 | 61.3 s |",
		"| fencing | core/x TestA | not found |  | 1.0 s |",
		"| kept-route | soak | not found | none of 3 | 90.0 s |",
		`| kept-agent | core/x TestB | error: a \| b c |  | 0.0 s |`,
		"| fencing | promise: workers refuse an earlier leader | All leaders use one fencing token. |",
	} {
		if !strings.Contains(string(page), line+"\n") {
			t.Errorf("no line %q in\n%s", line, page)
		}
	}
	var stored []Result
	data, err := os.ReadFile(filepath.Join(dir, JSONFile))
	if err != nil || json.Unmarshal(data, &stored) != nil || len(stored) != len(results) || stored[0] != results[0] {
		t.Errorf("stored results: %s, %v", data, err)
	}
}

// Guards against results of an earlier run that stay beside the later ones of the same check, or are lost.
func TestMergeOfTwoRuns(t *testing.T) {
	row := func(fault, check string, kind Kind, status string) Result {
		return Result{Fault: fault, Check: check, Kind: kind, Status: status}
	}
	earlier := []Result{row("fencing", "soak", Soak, NotFound), row("fencing", "a", Unit, Found), row("removed fault", "a", Unit, Found)}
	later := []Result{row("fencing", "soak", Soak, Found), row("crash-budget", "b", Unit, NotFound)}
	want := []Result{later[1], earlier[1], later[0]}
	if got := Merge(earlier, later); !slices.Equal(got, want) {
		t.Errorf("merged %+v, want %+v", got, want)
	}
	if _, err := ReadResults(t.TempDir()); err == nil {
		t.Error("a folder without tables: no error")
	}
}
