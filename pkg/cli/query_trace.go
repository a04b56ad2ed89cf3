package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/trace"
)

const traceHelp = `Trace reads the logs of mesh nodes and prints one request's story in order of time, with what its nodes
changed their beliefs to meanwhile. With --why it groups the requests that weren't served by cause. Lines that
are cut or not a node's are left out, and counted.

Examples:
  rockspoke trace 9c41d07be2a35f68 node-1.log node-2.log
  rockspoke trace --why node-*.log`

// traceTimeFormat shows the time of day in milliseconds.
const traceTimeFormat = "15:04:05.000"

// traceRunner holds the flags of the trace command.
type traceRunner struct {
	env *env
	why bool
}

// traceCommand returns the trace command.
func traceCommand(e *env) *ffcli.Command {
	w := &traceRunner{env: e}
	fs := e.newFlagSet("rockspoke trace")
	fs.BoolVar(&w.why, "why", false, "group requests that weren't served by cause")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "rockspoke trace ID FILE... | rockspoke trace --why FILE...", ShortHelp: "tell a request's story from logs",
		LongHelp: traceHelp, FlagSet: fs, Exec: w.run,
	}
}

// run prints the timeline of a request, or with --why the causes of requests that weren't served.
func (w *traceRunner) run(_ context.Context, args []string) error {
	id, files, err := w.parseArgs(args)
	if err != nil {
		return err
	}
	lines, skipped, err := readLogs(files)
	if err != nil {
		return err
	}
	w.reportSkipped(skipped)
	if w.why {
		return w.printCauses(trace.Causes(lines))
	}
	return w.printTimeline(id, trace.Timeline(lines, id))
}

// parseArgs returns the request id, which is empty with --why, and the names of the log files.
func (w *traceRunner) parseArgs(args []string) (id string, files []string, err error) {
	if w.why {
		if len(args) == 0 {
			return "", nil, usagef("trace --why needs at least one file")
		}
		return "", args, nil
	}
	if len(args) < 2 {
		return "", nil, usagef("trace needs an id and at least one file; see rockspoke trace --help")
	}
	return args[0], args[1:], nil
}

// reportSkipped prints to stderr how many lines were skipped, and the first of them.
func (w *traceRunner) reportSkipped(skipped []trace.Skipped) {
	if len(skipped) == 0 {
		return
	}
	s := skipped[0]
	fmt.Fprintf(w.env.stderr, "%d lines left out, the first at %s:%d (%s)\n", len(skipped), s.Source, s.Number, s.Why)
}

// printTimeline prints the lines about request id; no lines are a UsageError.
func (w *traceRunner) printTimeline(id string, timeline []trace.Line) error {
	if len(timeline) == 0 {
		return usagef("no line speaks of request %s", id)
	}
	return w.env.printResult(timeline, func(t io.Writer) {
		for _, l := range timeline {
			writeRow(t, l.Time.Format(traceTimeFormat), l.Source, l.Msg, fieldsText(l.Fields))
		}
	})
}

// printCauses prints one row for each cause.
func (w *traceRunner) printCauses(causes []trace.Cause) error {
	return w.env.printResult(causes, func(t io.Writer) {
		writeRow(t, "LINES", "LEFT OUT", "WHAT", "ROUTE", "OUTCOME", "REASON", "FIRST")
		for _, c := range causes {
			writeRow(t, c.Lines, c.LeftOut, c.Msg, orDash(c.Route), orDash(c.Outcome), c.Reason, c.First.Fields["request"])
		}
	})
}

// readLogs returns the parsed and the skipped lines of all files; a file that can't be read is a UsageError.
func readLogs(files []string) ([]trace.Line, []trace.Skipped, error) {
	var lines []trace.Line
	var skipped []trace.Skipped
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, &UsageError{err.Error()}
		}
		l, s, err := trace.Read(name, f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, nil, &UsageError{name + ": " + err.Error()}
		}
		lines = append(lines, l...)
		skipped = append(skipped, s...)
	}
	return lines, skipped, nil
}

// fieldsText returns a line's fields but level as KEY=VALUE pairs in order of name.
func fieldsText(fields map[string]any) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if k != "level" {
			fmt.Fprintf(&b, "%s=%v ", k, fields[k])
		}
	}
	return strings.TrimSpace(b.String())
}
