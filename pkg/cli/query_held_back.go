package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/mesh"
)

const heldBackHelp = `Held-back lists the requests under which backend servers ended, as one node of a mesh knows them, and what is done with each:
confined (one server, the same for all its copies), alone (there, one at a time) or held back (not sent on). SOUND tells whether
runs of it have ended well in the last seconds: such a request needs three more ends for each of these.

--lift has one go anywhere again, at all nodes: by the id of an attempt or the fingerprint that the list shows. It is taken
only on the VM of the node.

Example:
  rockspoke held-back --node 10.1.0.8:9464
  rockspoke held-back --node 10.1.0.8:9464 --lift 680674fc7cfe4b36`

// nodeRequestTimeout limits one request to a node's metrics listener.
const nodeRequestTimeout = 5 * time.Second

// maxNodeResponseBytes limits how much of the node's response is read.
const maxNodeResponseBytes = 4 << 20

// heldBackRunner holds the flags of the held-back command.
type heldBackRunner struct {
	env        *env
	node, lift string
}

// heldBackCommand returns the held-back command.
func heldBackCommand(e *env) *ffcli.Command {
	w := &heldBackRunner{env: e}
	fs := e.newFlagSet("rockspoke held-back")
	fs.StringVar(&w.node, "node", "", "metrics listener of a node, IP:PORT")
	fs.StringVar(&w.lift, "lift", "", "id of an attempt, or fingerprint, of the request that may go anywhere again")
	return &ffcli.Command{
		Name: "held-back", ShortUsage: "rockspoke held-back --node IP:PORT [--lift NAME]", ShortHelp: "show or lift requests that end servers",
		LongHelp: heldBackHelp, FlagSet: fs, Exec: w.run,
	}
}

// run lists the quarantined requests of a node, or lifts the quarantine of one.
func (w *heldBackRunner) run(ctx context.Context, _ []string) error {
	if w.node == "" {
		return usagef("--node must name a node's metrics listener; see rockspoke held-back --help")
	}
	method := http.MethodGet
	if w.lift != "" {
		method = http.MethodDelete
	}
	list, err := w.request(ctx, method)
	if err != nil {
		return err
	}
	if w.lift != "" {
		fmt.Fprintln(w.env.stdout, "lifted", w.lift)
		return nil
	}
	return w.env.printResult(list, func(t io.Writer) { suspectsTable(t, list) })
}

// request sends a request with the method to the node and returns the suspect requests that it lists.
func (w *heldBackRunner) request(ctx context.Context, method string) ([]mesh.Suspect, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.node+mesh.QuarantinePath+url.PathEscape(w.lift), nil)
	if err != nil {
		return nil, usagef("--node %q: %v", w.node, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxNodeResponseBytes))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", w.node, strings.TrimSpace(string(data)))
	}
	var list []mesh.Suspect
	return list, json.Unmarshal(data, &list)
}

// suspectsTable writes one row for each suspect request.
func suspectsTable(t io.Writer, list []mesh.Suspect) {
	writeRow(t, "REQUEST", "SERVICE", "ROUTE", "TREATMENT", "FOR", "SOUND", "ENDED", "FINGERPRINT")
	for _, s := range list {
		crashed := make([]string, 0, len(s.Crashed))
		for _, l := range s.Crashed {
			crashed = append(crashed, l.Host+" "+l.Instance)
		}
		writeRow(t, s.Request, s.Service, s.Route, s.Treatment, s.TimeLeft.Round(time.Second), s.RecentlySuccessful, strings.Join(crashed, ", "), s.Fingerprint)
	}
}
