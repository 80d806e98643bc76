// Command planted brings known faults back into copies of the source and reports which checks find them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"samphirepaddle.example/test/planted"
)

// options holds the values of the flags.
type options struct {
	faults []string
	checks []string
	jobs   int
	seeds  string
	out    string
	root   string
	list   bool
	add    bool
}

func main() {
	app := kingpin.New("planted", "Brings known faults back into copies of the source and reports which checks find them.")
	var o options
	app.Flag("fault", "Fault to plant; repeatable. Default: all of the catalogue.").StringsVar(&o.faults)
	app.Flag("check", "Kind of checks to run: unit, model or soak; repeatable. Default: unit and model.").EnumsVar(&o.checks, kinds()...)
	app.Flag("jobs", "Number of faults that are examined at a time.").Default("2").IntVar(&o.jobs)
	app.Flag("seeds", "First and last seed of checks that take one, for example 1-50.").Default("1-3").StringVar(&o.seeds)
	app.Flag("out", "Folder for the tables.").Default("planted").StringVar(&o.out)
	app.Flag("root", "Root of the repository.").Default(".").ExistingDirVar(&o.root)
	app.Flag("add", "Keep the results of an earlier run in the folder of --out that this run does not repeat.").BoolVar(&o.add)
	app.Flag("list", "List the catalogue and exit.").BoolVar(&o.list)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "planted:", err)
		stop()
		os.Exit(1)
	}
}

func kinds() []string {
	var names []string
	for _, kind := range planted.Kinds {
		names = append(names, string(kind))
	}
	return names
}

var errFailed = errors.New("some checks could not be run; the table names them")

func run(ctx context.Context, o options) error {
	if o.list {
		for _, fault := range planted.Catalogue {
			fmt.Printf("%s (%s): %s\n", fault.ID, fault.Origin, fault.Brings)
		}
		return nil
	}
	selected, err := o.selection()
	if err != nil {
		return err
	}
	var earlier []planted.Result
	if o.add {
		if earlier, err = planted.ReadResults(o.out); err != nil {
			return fmt.Errorf("--add: %w", err)
		}
	}
	results, err := planted.Run(ctx, selected)
	if len(results) > 0 {
		table := results
		if o.add {
			table = planted.Merge(earlier, results)
		}
		err = errors.Join(err, planted.WriteTables(o.out, table))
	}
	if err != nil {
		return err
	}
	for _, result := range results {
		if result.Status == planted.Failed {
			return errFailed
		}
	}
	return nil
}

// selection returns what the flags select.
func (o options) selection() (planted.Options, error) {
	s := planted.Options{Root: o.root, Jobs: o.jobs, Progress: os.Stderr}
	for _, id := range o.faults {
		fault, err := planted.Find(id)
		if err != nil {
			return s, err
		}
		s.Faults = append(s.Faults, fault)
	}
	if len(o.faults) == 0 {
		for i := range planted.Catalogue {
			s.Faults = append(s.Faults, &planted.Catalogue[i])
		}
	}
	for _, kind := range o.checks {
		s.Kinds = append(s.Kinds, planted.Kind(kind))
	}
	if len(s.Kinds) == 0 {
		s.Kinds = []planted.Kind{planted.Unit, planted.Model}
	}
	var err error
	s.First, s.Last, err = planted.ParseSeeds(o.seeds)
	return s, err
}
