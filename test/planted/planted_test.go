package planted

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const root = "../.."

// copyEdited copies the files that a fault changes.
func copyEdited(t *testing.T, fault *Fault) (source string) {
	t.Helper()
	source = t.TempDir()
	for _, edit := range fault.Edits {
		data, err := os.ReadFile(filepath.Join(root, edit.File))
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, filepath.Join(source, edit.File), string(data))
	}
	return source
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against faults that no longer match the source: no check could then be tested with them.
func TestFaultsMatchTheSource(t *testing.T) {
	for i := range Catalogue {
		if err := Catalogue[i].Apply(copyEdited(t, &Catalogue[i])); err != nil {
			t.Error(err)
		}
	}
}

// Guards against an incident without a fault that brings its cause back, and against incomplete entries.
func TestCatalogueNamesEachIncident(t *testing.T) {
	ids, origins := map[string]bool{}, ""
	for _, fault := range Catalogue {
		if ids[fault.ID] || fault.ID == "" || fault.Brings == "" || fault.Origin == "" || len(fault.Checks) == 0 {
			t.Errorf("fault %q is incomplete, or its id is used twice", fault.ID)
		}
		ids[fault.ID] = true
		origins += fault.Origin + "\n"
	}
	if len(Catalogue) < 24 {
		t.Errorf("the catalogue has %d faults, want at least 24", len(Catalogue))
	}
	pages, err := filepath.Glob(filepath.Join(root, "docs/incidents/*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatalf("no incidents found: %v", err)
	}
	for _, page := range pages {
		if name := filepath.Base(page); name != "README.md" && !strings.Contains(origins, "incidents/"+name) {
			t.Errorf("no fault brings back the cause of %s", name)
		}
	}
	if _, err := Find("none"); err == nil || !strings.Contains(err.Error(), Catalogue[0].ID) {
		t.Errorf("Find of an unknown id: %v, want an error that lists the known ones", err)
	}
}

// Guards against a change that is made at another place, at none, or in part.
func TestApplyNeedsEachTextExactlyOnce(t *testing.T) {
	const before = "one two two"
	for name, edits := range map[string][]Edit{
		"missing":             {{"a.go", "three", "x"}},
		"twice":               {{"a.go", "two", "x"}},
		"second edit missing": {{"a.go", "one", "x"}, {"b.go", "three", "x"}},
		"file missing":        {{"a.go", "one", "x"}, {"c.go", "one", "x"}},
		"no edits":            nil,
	} {
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, "a.go"), before)
		writeFile(t, filepath.Join(dir, "b.go"), before)
		if err := (&Fault{ID: "f", Edits: edits}).Apply(dir); err == nil {
			t.Errorf("%s: no error", name)
		}
		if data, err := os.ReadFile(filepath.Join(dir, "a.go")); err != nil || string(data) != before {
			t.Errorf("%s: the file is %q, %v", name, data, err)
		}
	}
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "a.go"), before)
	if err := (&Fault{ID: "f", Edits: []Edit{{"a.go", "one", "1"}, {"a.go", "1 two", "2"}}}).Apply(dir); err != nil {
		t.Error(err)
	}
	if data, err := os.ReadFile(filepath.Join(dir, "a.go")); err != nil || string(data) != "2 two" {
		t.Errorf("the file is %q, %v", data, err)
	}
}

// Guards against copies of generated and foreign files, which may be large.
func TestCopyLeavesOutWhatNoCheckNeeds(t *testing.T) {
	from, to := t.TempDir(), t.TempDir()
	for _, name := range []string{".git/config", "journal/x", "bin/x", "review/1/x", "core/review/x", "go.work"} {
		writeFile(t, filepath.Join(from, name), "text")
	}
	if err := CopySource(from, to); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]bool{
		".git/config": false, "journal/x": false, "bin/x": false, "review/1/x": false, "core/review/x": true, "go.work": true,
	} {
		if _, err := os.Stat(filepath.Join(to, name)); (err == nil) != want {
			t.Errorf("%s: copied is %v, want %v", name, err == nil, want)
		}
	}
}

// Guards against checks that no longer find a fault which they found before.
func TestKnownFaultsAreFound(t *testing.T) {
	began := time.Now()
	var faults []*Fault
	for _, id := range []string{"gang-checkpoints", "job-in-no-queue", "suspects-alone"} {
		fault, err := Find(id)
		if err != nil {
			t.Fatal(err)
		}
		faults = append(faults, fault)
	}
	results, err := Run(context.Background(), Options{Root: root, Faults: faults, Kinds: []Kind{Unit}, Jobs: 2, First: 1, Last: 3})
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, r := range results {
		t.Logf("%s: %s: %s, seed %d, after %.1f s: %s", r.Fault, r.Check, r.Status, r.Seed, r.Seconds, r.Detail)
		found[r.Fault] = found[r.Fault] || r.Status == Found
		if r.Status == Failed {
			t.Errorf("%s: %s: %s", r.Fault, r.Check, r.Detail)
		}
	}
	for _, fault := range faults {
		if !found[fault.ID] {
			t.Errorf("no test finds fault %s any more", fault.ID)
		}
	}
	t.Logf("all three in %v", time.Since(began).Round(time.Second))
}
