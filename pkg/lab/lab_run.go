package lab

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

type runWork struct {
	stdout, stderr io.Writer
	seed           uint64
	asJSON         bool
	only           string
	watch          string
	profile        string
}

// runCommand measures one experiment.
func runCommand(stdout, stderr io.Writer) *ffcli.Command {
	w := &runWork{stdout: stdout, stderr: stderr}
	fs := w.flags()
	return &ffcli.Command{
		Name: "run", ShortUsage: "rockspoke-lab run [--seed N] [--json] EXPERIMENT", FlagSet: fs,
		ShortHelp: "measure one experiment, system after system on the same load", Exec: w.run,
	}
}

func (w *runWork) run(ctx context.Context, args []string) error {
	name, err := w.parse(args)
	if err != nil {
		return err
	}
	x, err := experimentNamed(name)
	if err != nil {
		return err
	}
	stop, err := startProfile(w.profile)
	if err != nil {
		return err
	}
	defer stop()
	var reports []Report
	for _, sys := range slices.Concat(Systems, x.Also) {
		if w.only != "" && !slices.Contains(strings.Split(w.only, ","), sys.Name) {
			continue
		}
		m := startMeter()
		sys = sys.watching(w.watch)
		r, err := x.Run(ctx, sys, w.seed)
		if err != nil {
			return fmt.Errorf("%s of %s: %w", x.Name, sys.Name, err)
		}
		r.Experiment, r.System, r.Seed = x.Name, sys.Name, w.seed
		r.BusyShare = ptr(m.share())
		r.Valid = *r.BusyShare < busyLimit
		if w.asJSON {
			if err := json.NewEncoder(w.stdout).Encode(r); err != nil {
				return err
			}
		}
		reports = append(reports, r)
	}
	if w.asJSON {
		return nil
	}
	return writeReports(w.stdout, reports)
}

// startProfile writes a processor profile to the file until the function that it returns is called.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // the profile is only looked at
	}, nil
}

// parse takes the experiment's name; flags may stand after it too.
func (w *runWork) parse(args []string) (string, error) {
	if len(args) == 0 {
		return "", &NoExperimentError{""}
	}
	fs := w.flags()
	return args[0], fs.Parse(args[1:])
}

// flags makes the command's flags, with what was set before as defaults.
func (w *runWork) flags() *flag.FlagSet {
	fs := newFlags("rockspoke-lab run", w.stderr)
	fs.Uint64Var(&w.seed, "seed", max(w.seed, 1), "seed of all random choices")
	fs.BoolVar(&w.asJSON, "json", w.asJSON, "one JSON object for each system")
	fs.StringVar(&w.only, "systems", w.only, "systems to run, separated by commas; empty runs all")
	fs.StringVar(&w.profile, "cpuprofile", w.profile, "file to write a processor profile to")
	fs.StringVar(&w.watch, "watch", w.watch, "service whose gates are shown while rockspoke runs")
	return fs
}

func writeReports(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var rows []map[string]any
	for _, r := range reports {
		b, err := json.Marshal(r)
		if err != nil {
			return err
		}
		m := map[string]any{}
		if err := json.Unmarshal(b, &m); err != nil {
			return err
		}
		if extra, ok := m["extra"].(map[string]any); ok {
			for k, v := range extra {
				m[k] = v
			}
			delete(m, "extra")
		}
		rows = append(rows, m)
	}
	names := map[string]bool{}
	for _, m := range rows {
		for k, v := range m {
			if v != nil {
				names[k] = true
			}
		}
	}
	for _, k := range slices.Sorted(mapKeys(names)) {
		fmt.Fprint(t, k)
		for _, m := range rows {
			fmt.Fprintf(t, "\t%s", cellText(m[k]))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func mapKeys(m map[string]bool) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func cellText(v any) string {
	switch x := v.(type) {
	case nil:
		return "-"
	case float64:
		return fmt.Sprintf("%.4g", x)
	case map[string]any:
		parts := []string{}
		for k, y := range x {
			parts = append(parts, fmt.Sprintf("%s %s", k, cellText(y)))
		}
		slices.Sort(parts)
		return strings.Join(parts, ", ")
	default:
		return fmt.Sprint(x)
	}
}

// listCommand lists experiments and systems.
func listCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "list", ShortUsage: "rockspoke-lab list", FlagSet: newFlags("rockspoke-lab list", stderr),
		ShortHelp: "list the experiments, in order, and the systems",
		Exec: func(context.Context, []string) error {
			t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
			for _, x := range Experiments {
				fmt.Fprintf(t, "%s\t%s\n", x.Name, x.What)
			}
			for _, s := range Systems {
				fmt.Fprintf(t, "system\t%s\n", s.Name)
			}
			return t.Flush()
		},
	}
}
