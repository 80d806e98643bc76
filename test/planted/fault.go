// Package planted brings known faults back into a copy of the source and runs the checks that are expected to
// find them. A check that finds none of them shows nothing.
package planted

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Fault is a change of the source that brings one fault back.
type Fault struct {
	ID      string
	Brings  string // what goes wrong, in one sentence
	Origin  string // the incident, review case, or promise to which the fault belongs
	Promise string // of the soak that is violated; empty if it is not known
	Series  bool   // only runs of the soak with a series report it
	Edits   []Edit
	Checks  []Check // beside the soak, which may run for any fault
}

// Edit replaces a text that occurs exactly once in a file of the repository.
type Edit struct{ File, Old, New string }

// Find returns the fault with the given id.
func Find(id string) (*Fault, error) {
	var known []string
	for i := range Catalogue {
		if Catalogue[i].ID == id {
			return &Catalogue[i], nil
		}
		known = append(known, Catalogue[i].ID)
	}
	return nil, fmt.Errorf("unknown fault %q, known faults: %s", id, strings.Join(known, ", "))
}

// Apply changes the source in the folder. Nothing is written if an edit does not match.
func (f *Fault) Apply(source string) error {
	changed := map[string]string{}
	for _, edit := range f.Edits {
		path := filepath.Join(source, edit.File)
		text, known := changed[path]
		if !known {
			data, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("fault %s: %w", f.ID, err)
			}
			text = string(data)
		}
		if n := strings.Count(text, edit.Old); n != 1 {
			return fmt.Errorf("fault %s: %q occurs %d times in %s, want exactly once", f.ID, edit.Old, n, edit.File)
		}
		changed[path] = strings.Replace(text, edit.Old, edit.New, 1)
	}
	if len(changed) == 0 {
		return fmt.Errorf("fault %s changes nothing", f.ID)
	}
	for path, text := range changed {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("fault %s: %w", f.ID, err)
		}
	}
	return nil
}

// excludedDirs lists the directories at the root that no check needs.
var excludedDirs = []string{".git", "bin", "journal", "review", "run", "target"}

// CopySource copies the files of the repository at root.
func CopySource(root, to string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, relative)
		switch {
		case slices.Contains(excludedDirs, relative) && entry.IsDir():
			return fs.SkipDir
		case entry.IsDir():
			return os.MkdirAll(target, 0o700)
		case !entry.Type().IsRegular() || relative == ".git":
			return nil
		}
		data, err := os.ReadFile(path)
		return errors.Join(err, os.WriteFile(target, data, 0o600))
	})
}
