// Command soak plays random faults on the daemons and checks their promises.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/test/soak"
)

// settings are the values of the flags.
type settings struct {
	seeds       string
	faults      time.Duration
	jobs        int
	dir         string
	root        string
	without     string
	controllers int
	gateways    int
}

func main() {
	app := kingpin.New("soak", "Plays random faults on the daemons and checks their promises.")
	var s settings
	app.Flag("seeds", "First and last seed, for example 1-50. Without it, ten seeds from the clock.").StringVar(&s.seeds)
	app.Flag("faults", "How long each seed plays faults.").Default("12s").DurationVar(&s.faults)
	app.Flag("jobs", "Seeds that are played at a time.").Default("3").IntVar(&s.jobs)
	app.Flag("dir", "Directory for logs; those of seeds without a finding are removed.").Default("soak-runs").StringVar(&s.dir)
	app.Flag("root", "Root of the repository.").Default(".").ExistingDirVar(&s.root)
	app.Flag("without", "Take out a protection first; the run must then report a broken promise.").StringVar(&s.without)
	app.Flag("controllers", "3 or 5; 0 alternates.").Default("0").IntVar(&s.controllers)
	app.Flag("gateways", "Number of gateways.").Default("3").IntVar(&s.gateways)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		stop()
		os.Exit(1)
	}
}

var errBroken = errors.New("promises were broken")

func run(ctx context.Context, s settings) error {
	first, last, err := seedRange(s.seeds)
	if err != nil {
		return err
	}
	if s.jobs < 1 || s.gateways < 1 || (s.controllers != 0 && s.controllers != 3 && s.controllers != 5) {
		return errors.New("--jobs and --gateways must be at least 1, --controllers 0, 3 or 5")
	}
	dir, err := filepath.Abs(s.dir)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var removal *soak.Removal
	if s.without != "" {
		if removal, err = soak.FindRemoval(s.without); err != nil {
			return err
		}
	}
	binary, err := soak.Build(s.root, dir, removal)
	if err != nil {
		return err
	}
	return playAll(ctx, s, binary, dir, first, last, removal)
}

// defaultSeeds is the number of seeds that are drawn from the clock.
const defaultSeeds = 10

func seedRange(text string) (first, last uint64, err error) {
	if text == "" {
		first = uint64(time.Now().Unix())
		return first, first + defaultSeeds - 1, nil
	}
	from, to, found := strings.Cut(text, "-")
	if !found {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("--seeds %q: %w", text, err)
	}
	last, err = strconv.ParseUint(to, 10, 64)
	if err == nil && last < first {
		err = errors.New("the last seed is before the first")
	}
	if err != nil {
		return 0, 0, fmt.Errorf("--seeds %q: %w", text, err)
	}
	return first, last, nil
}

// playAll plays the seeds. Without a protection it ends with the first seed that reports the
// promise that the protection keeps.
func playAll(ctx context.Context, s settings, binary, dir string, first, last uint64, removal *soak.Removal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	seeds := make(chan uint64)
	var group sync.WaitGroup
	var mu sync.Mutex
	broken, seen := 0, false
	for range s.jobs {
		group.Go(func() {
			for seed := range seeds {
				report, err := playOne(ctx, s, binary, dir, seed)
				mu.Lock()
				if err != nil && ctx.Err() == nil {
					fmt.Printf("seed %d: %v\n", seed, err)
					broken++
				} else if ctx.Err() == nil {
					print(report)
					if len(report.Violations) > 0 {
						broken++
					}
				}
				if removal != nil && breaks(report, removal.Promise) {
					seen = true
					cancel()
				}
				mu.Unlock()
			}
		})
	}
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
		}
	}
	close(seeds)
	group.Wait()
	switch {
	case removal != nil && seen:
		fmt.Printf("without %s the promise %q is reported as broken\n", removal.Name, removal.Promise)
		return nil
	case removal != nil:
		return fmt.Errorf("without %s no seed reports %q", removal.Name, removal.Promise)
	case broken > 0:
		return errBroken
	}
	return ctx.Err()
}

func breaks(report soak.Report, promise string) bool {
	for _, v := range report.Violations {
		if v.Promise == promise {
			return true
		}
	}
	return false
}

func playOne(ctx context.Context, s settings, binary, dir string, seed uint64) (soak.Report, error) {
	controllers := s.controllers
	if controllers == 0 {
		controllers = soak.ControllersOf(seed)
	}
	runDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(runDir); err != nil {
		return soak.Report{}, err
	}
	if err := os.MkdirAll(runDir, 0o700); err != nil {
		return soak.Report{}, err
	}
	report, err := soak.Run(ctx, soak.Options{
		Binary: binary, Dir: runDir, Seed: seed, Faults: s.faults, Controllers: controllers, Gateways: s.gateways,
	})
	if err == nil && len(report.Violations) == 0 {
		err = os.RemoveAll(runDir)
	}
	return report, err
}

// mostShown is the number of broken promises that are printed for a seed; the report in its
// directory has all.
const mostShown = 5

func print(r soak.Report) {
	fmt.Printf("seed %d: %d jobs, %d accepted, %d refused, %d starts, %d configurations, %v: %d broken\n", r.Seed, r.Counts["jobs"],
		r.Counts["accepted"], r.Counts["refused"], r.Counts["starts"], r.Counts["configurations"], r.Took.Round(time.Millisecond), len(r.Violations))
	for i, v := range r.Violations {
		if i == mostShown {
			break
		}
		fmt.Printf("  %s: %s\n", v.Promise, v.Detail)
	}
}
