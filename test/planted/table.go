package planted

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Names of the files that WriteTables creates.
const (
	JSONFile     = "planted.json"
	MarkdownFile = "planted.md"
)

// WriteTables writes the results as JSON and as Markdown into the folder.
func WriteTables(dir string, results []Result) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, JSONFile), append(data, '\n'), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, MarkdownFile), []byte(Markdown(results)), 0o600)
}

// ReadResults returns the results of an earlier run that wrote its tables into the folder.
func ReadResults(dir string) ([]Result, error) {
	data, err := os.ReadFile(filepath.Join(dir, JSONFile))
	if err != nil {
		return nil, err
	}
	var results []Result
	if err := json.Unmarshal(data, &results); err != nil {
		return nil, fmt.Errorf("%s: %w", JSONFile, err)
	}
	return results, nil
}

// Merge returns the later results and those of the earlier ones that they do not repeat, in the order of the
// catalogue and of the kinds of checks. Results of faults that are no longer in the catalogue are left out.
func Merge(earlier, later []Result) []Result {
	repeated := func(r Result) bool {
		return slices.ContainsFunc(later, func(l Result) bool { return l.Fault == r.Fault && l.Check == r.Check })
	}
	all := append(slices.DeleteFunc(slices.Clone(earlier), repeated), later...)
	var merged []Result
	for _, fault := range Catalogue {
		for _, kind := range append([]Kind{""}, Kinds...) {
			for _, r := range all {
				if r.Fault == fault.ID && r.Kind == kind {
					merged = append(merged, r)
				}
			}
		}
	}
	return merged
}

// Markdown returns the results as a page.
func Markdown(results []Result) string {
	var b strings.Builder
	b.WriteString("# Planted faults\n\n")
	b.WriteString("Written by `test/cmd/planted` ([soak.md](soak.md), \"Planted faults\"). Each row is one check on a copy of the source with one\n")
	b.WriteString("fault. A unit test or soak seed counts as found only if it passes on the unchanged source. A model does not see the\n")
	b.WriteString("source: its row removes the same guard from the model. The time includes the build of the check.\n\n")
	found, examined := countFaults(results)
	fmt.Fprintf(&b, "%d of %d faults were found by at least one check.\n\n", found, examined)
	b.WriteString("| fault | check | result | seed | after |\n|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.1f s |\n", r.Fault, cell(r.Check), resultCell(r), seedCell(r), r.Seconds)
	}
	b.WriteString("\n| fault | belongs to | what it brings back |\n|---|---|---|\n")
	last := ""
	for _, r := range results {
		fault, err := Find(r.Fault)
		if err != nil || r.Fault == last {
			continue
		}
		last = r.Fault
		fmt.Fprintf(&b, "| %s | %s | %s |\n", fault.ID, cell(fault.Origin), cell(fault.Brings))
	}
	return b.String()
}

// countFaults returns how many faults were found by a check, and how many were examined.
func countFaults(results []Result) (found, examined int) {
	status := map[string]bool{}
	for _, r := range results {
		status[r.Fault] = status[r.Fault] || r.Status == Found
	}
	for _, ok := range status {
		if ok {
			found++
		}
	}
	return found, len(status)
}

func resultCell(r Result) string {
	if r.Status == Failed {
		return Failed + ": " + cell(r.Detail)
	}
	return r.Status
}

func seedCell(r Result) string {
	switch {
	case r.Seeds == 0:
		return ""
	case r.Status == Found:
		return fmt.Sprint(r.Seed)
	}
	return fmt.Sprintf("none of %d", r.Seeds)
}

// cell returns a text in a form that does not break a row.
func cell(text string) string {
	return strings.NewReplacer("|", "\\|", "\n", " ").Replace(text)
}
