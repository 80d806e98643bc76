package soak

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// Removal takes one protection out of the source of the daemons. A run on the result must
// report the promise; it shows that the checker would see the fault.
type Removal struct {
	Name    string
	Promise string // that breaks without the protection
	Edits   []Edit
}

// Edit replaces a text that occurs once in a file of the repository.
type Edit struct{ File, From, To string }

// Removals are the protections that the soak is checked with.
var Removals = []Removal{
	{
		Name: "fencing", Promise: "twice",
		Edits: []Edit{{"daemon/fleet/engine.go", "token: term, since:", "token: 1, since:"}},
	},
	{
		Name: "settled-starts", Promise: "twice",
		Edits: []Edit{{"daemon/fleet/orders.go", "o.phase = startUnanswered\n", "o.phase = startImpossible\n"}},
	},
	{
		Name: "synced-accept", Promise: "lost",
		Edits: []Edit{{
			"core/consensus/types.go", "func (m Membership) Quorum() int {\n",
			"func (m Membership) Quorum() int {\n\tif len(m) > 0 {\n\t\treturn 1\n\t}\n",
		}},
	},
	{
		Name: "durable-ends", Promise: "twice",
		Edits: []Edit{{
			"daemon/fleet/session.go", "call.AckedThrough = s.recordedThrough", "call.AckedThrough = max(s.recordedThrough, s.endsQueued)",
		}},
	},
	{
		// Calls to a life that has not answered acknowledge ends by the number of the former one.
		Name: "unseen-ends", Promise: "twice",
		Edits: []Edit{{
			"daemon/fleet/session.go", "call := HoldCall{Token: l.token}", "call := HoldCall{Token: l.token, AckedThrough: s.recordedThrough}",
		}},
	},
	{
		// A leader that hears no quorum steps down by itself within 1.2 s, so that its lease
		// alone decides only in the moment after a freeze: both are taken out.
		Name: "leader-lease", Promise: "config",
		Edits: []Edit{
			{"daemon/fleet/lease.go", "return now < bootclock.Time(l.until.Load())", "return l.until.Load() != 0 && now > 0"},
			{"core/consensus/election.go", "return responding >= n.members().Quorum()", "return responding > 0"},
		},
	},
}

// Build compiles the daemon of the repository at root into dir, without the protection that
// the removal takes out, if it is not nil.
func Build(root, dir string, without *Removal) (binary string, err error) {
	source := root
	if without != nil {
		source = filepath.Join(dir, "source")
		if err := copyModules(root, source); err != nil {
			return "", err
		}
		if err := without.apply(source); err != nil {
			return "", err
		}
	}
	binary = filepath.Join(dir, "samphired")
	command := exec.Command("go", "build", "-o", binary, "./cmd/samphired")
	command.Dir = filepath.Join(source, "daemon")
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build in %s: %w: %s", command.Dir, err, out)
	}
	return binary, nil
}

func (r *Removal) apply(source string) error {
	for _, edit := range r.Edits {
		path := filepath.Join(source, edit.File)
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if n := strings.Count(string(text), edit.From); n != 1 {
			return fmt.Errorf("protection %s: %q occurs %d times in %s, once is expected", r.Name, edit.From, n, edit.File)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), edit.From, edit.To, 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// FindRemoval returns the removal with a name.
func FindRemoval(name string) (*Removal, error) {
	var names []string
	for i := range Removals {
		if Removals[i].Name == name {
			return &Removals[i], nil
		}
		names = append(names, Removals[i].Name)
	}
	return nil, fmt.Errorf("protection %q is not known, known are %s", name, strings.Join(names, ", "))
}

// notSource are the directories at the root that hold no source.
var notSource = []string{".git", "journal", "bin", "target"}

// copyModules copies the sources of the Go modules.
func copyModules(root, to string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, relative)
		switch name := entry.Name(); {
		case entry.IsDir() && slices.Contains(notSource, relative):
			return fs.SkipDir
		case entry.IsDir():
			return os.MkdirAll(target, 0o700)
		case filepath.Ext(name) != ".go" && !strings.HasPrefix(name, "go."):
			return nil
		}
		data, err := os.ReadFile(path)
		return errors.Join(err, os.WriteFile(target, data, 0o600))
	})
}
