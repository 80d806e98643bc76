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

// Removal removes one safeguard from the source of the daemons. A run of the modified
// daemons must report a violation of the promise, which shows that the checker detects it.
type Removal struct {
	Name    string
	Promise string // violated without the safeguard
	Edits   []Edit
	Series  bool // only runs with a series report it
}

// Edit replaces a text that occurs exactly once in a file of the repository.
type Edit struct{ File, From, To string }

// Removals lists the safeguards whose removal the checker must detect.
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
		// Makes calls to a new worker process that has not responded yet acknowledge ends up to
		// the number recorded for the previous process.
		Name: "unseen-ends", Promise: "twice",
		Edits: []Edit{{
			"daemon/fleet/session.go", "call := HoldCall{Token: l.token}", "call := HoldCall{Token: l.token, AckedThrough: s.recordedThrough}",
		}},
	},
	{
		// A leader that receives nothing from a quorum steps down within 1.2 s, so its lease
		// is the only safeguard against stale reads just after a freeze. The removal disables both
		// the lease check and the step-down.
		Name: "leader-lease", Promise: "config",
		Edits: []Edit{
			{"daemon/fleet/lease.go", "return now < bootclock.Time(l.until.Load())", "return l.until.Load() != 0 && now > 0"},
			{"core/consensus/election.go", "return responding >= n.members().Quorum()", "return responding > 0"},
		},
	},
	{
		// An empty controller then asks the seeds of its settings only.
		Name: "known-controllers", Promise: "recover", Series: true,
		Edits: []Edit{{"daemon/fleetd/controller.go", "KnownControllers: d.client.MemberAddrs,", ""}},
	},
}

// Build compiles the daemon of the repository at root into dir. If without is not nil, the
// daemon is built from a copy of the source with that safeguard removed.
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
			return fmt.Errorf("safeguard %s: %q occurs %d times in %s, want exactly once", r.Name, edit.From, n, edit.File)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), edit.From, edit.To, 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// FindRemoval returns the removal with the given name.
func FindRemoval(name string) (*Removal, error) {
	var names []string
	for i := range Removals {
		if Removals[i].Name == name {
			return &Removals[i], nil
		}
		names = append(names, Removals[i].Name)
	}
	return nil, fmt.Errorf("unknown safeguard %q, known safeguards: %s", name, strings.Join(names, ", "))
}

// excludedDirs lists the directories at the root that contain no source.
var excludedDirs = []string{".git", "journal", "bin", "target"}

// copyModules copies the Go files and the module files of the repository.
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
		case entry.IsDir() && slices.Contains(excludedDirs, relative):
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
