package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"

	"samphirepaddle.example/test/planted"
)

// Build compiles the daemon of the repository at root into dir. If fault is not nil, the daemon is built
// from a copy of the source with that fault.
func Build(root, dir string, fault *planted.Fault) (binary string, err error) {
	source := root
	if fault != nil {
		source = filepath.Join(dir, "source")
		if err := planted.CopySource(root, source); err != nil {
			return "", err
		}
		if err := fault.Apply(source); err != nil {
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
