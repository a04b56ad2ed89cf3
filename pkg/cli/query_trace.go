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

// traceTime is a line's time of day to the millisecond.
const traceTime = "15:04:05.000"

// traceWork is one run of the command.
type traceWork struct {
	env *env
	why bool
}

func traceCommand(e *env) *ffcli.Command {
	w := &traceWork{env: e}
	fs := e.flags("rockspoke trace")
	fs.BoolVar(&w.why, "why", false, "group requests that weren't served by cause")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "rockspoke trace ID FILE... | rockspoke trace --why FILE...", ShortHelp: "tell a request's story from logs",
		LongHelp: traceHelp, FlagSet: fs, Exec: w.run,
	}
}

func (w *traceWork) run(_ context.Context, args []string) error {
	id, files, err := w.parse(args)
	if err != nil {
		return err
	}
	lines, skipped, err := readLogs(files)
	if err != nil {
		return err
	}
	w.tellSkipped(skipped)
	if w.why {
		return w.printCauses(trace.Causes(lines))
	}
	return w.printStory(id, trace.Timeline(lines, id))
}

// parse returns the request, which --why has none of, and the files.
func (w *traceWork) parse(args []string) (id string, files []string, err error) {
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

func (w *traceWork) tellSkipped(skipped []trace.Skipped) {
	if len(skipped) == 0 {
		return
	}
	s := skipped[0]
	fmt.Fprintf(w.env.stderr, "%d lines left out, the first at %s:%d (%s)\n", len(skipped), s.Source, s.Number, s.Why)
}

func (w *traceWork) printStory(id string, story []trace.Line) error {
	if len(story) == 0 {
		return usagef("no line speaks of request %s", id)
	}
	return w.env.print(story, func(t io.Writer) {
		for _, l := range story {
			row(t, l.Time.Format(traceTime), l.Source, l.Msg, fieldsText(l.Fields))
		}
	})
}

func (w *traceWork) printCauses(causes []trace.Cause) error {
	return w.env.print(causes, func(t io.Writer) {
		row(t, "LINES", "LEFT OUT", "WHAT", "ROUTE", "OUTCOME", "REASON", "FIRST")
		for _, c := range causes {
			row(t, c.Lines, c.LeftOut, c.Msg, orDash(c.Route), orDash(c.Outcome), c.Reason, c.First.Fields["request"])
		}
	})
}

// readLogs reads the files one after the other.
func readLogs(files []string) ([]trace.Line, []trace.Skipped, error) {
	var lines []trace.Line
	var skipped []trace.Skipped
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, &UsageError{err.Error()}
		}
		l, s, err := trace.Read(name, f)
		_ = f.Close() // only read
		if err != nil {
			return nil, nil, &UsageError{name + ": " + err.Error()}
		}
		lines = append(lines, l...)
		skipped = append(skipped, s...)
	}
	return lines, skipped, nil
}

// fieldsText writes a line's fields in order of name.
func fieldsText(fields map[string]any) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if k != "level" {
			fmt.Fprintf(&b, "%s=%v ", k, fields[k])
		}
	}
	return strings.TrimSpace(b.String())
}
