package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/rockspoke/rockspoke/pkg/client"
	"github.com/rockspoke/rockspoke/pkg/keys"
)

// env holds what all commands share: the standard streams and the common flags.
type env struct {
	stdin          io.Reader
	stdout, stderr io.Writer

	daemons string
	files   keys.Files
	output  string
}

// newFlagSet returns a flag set with the common flags; errors in parsing are printed to stderr.
func (e *env) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(e.stderr)
	fs.StringVar(&e.daemons, "daemon", e.daemons, "operators' listeners of daemons, IP:PORT, separated by commas")
	fs.StringVar(&e.files.CA, "ca", e.files.CA, "certificate of the authority, PEM file")
	fs.StringVar(&e.files.Cert, "cert", e.files.Cert, "operator's certificate, PEM file")
	fs.StringVar(&e.files.Key, "key", e.files.Key, "operator's key, PEM file")
	fs.StringVar(&e.output, "output", "table", "table, yaml or json")
	return fs
}

// newClient returns a client of the daemons given by the flags; a missing flag is a UsageError.
func (e *env) newClient() (*client.Client, error) {
	if e.daemons == "" {
		return nil, usagef("--daemon must name a daemon; see rockspoke --help")
	}
	if e.files.CA == "" || e.files.Cert == "" || e.files.Key == "" {
		return nil, usagef("--ca, --cert and --key must name the operator's key files")
	}
	k, err := keys.Open(e.files, time.Now)
	if err != nil {
		return nil, err
	}
	return client.New(strings.Split(e.daemons, ","), k), nil
}

// printResult writes v to stdout in the format of --output; table writes v as a table.
func (e *env) printResult(v any, table func(w io.Writer)) error {
	switch e.output {
	case "json":
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "yaml":
		return e.printYAML(v)
	case "table":
		w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	default:
		return usagef("--output %q is none of table, yaml, json", e.output)
	}
}

// printYAML writes v as YAML. It encodes v as JSON first, so that both formats have the same field names.
func (e *env) printYAML(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var plain any
	if err := yaml.Unmarshal(b, &plain); err != nil {
		return err
	}
	enc := yaml.NewEncoder(e.stdout)
	enc.SetIndent(2)
	if err := enc.Encode(plain); err != nil {
		return err
	}
	return enc.Close()
}

// writeRow writes the cells as one line, separated by tabs.
func writeRow(w io.Writer, cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(parts, "\t"))
}

// labelText returns labels as KEY=VALUE pairs, sorted by key and separated by commas, or "-" if there are none.
func labelText(labels map[string]string) string {
	if len(labels) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(labels))
	for _, k := range sortedKeys(labels) {
		parts = append(parts, k+"="+labels[k])
	}
	return strings.Join(parts, ",")
}
