package mesh

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// QuarantinePath is where a node's metrics listener lists the requests during whose runs servers crashed (GET), and
// lifts one (DELETE, followed by an attempt id or a fingerprint).
const QuarantinePath = "/held-back/"

// Suspect is a request during whose runs servers crashed, as shown to operators.
type Suspect struct {
	poison.Case
	Treatment string        `json:"treatment"`
	TimeLeft  time.Duration `json:"for_ns"` // how much longer it is quarantined
}

// suspects returns all suspects.
func (n *Node) suspects() []Suspect {
	now := n.clock.Now()
	list := []Suspect{}
	for _, c := range n.poison.SuspectCases(now) {
		d := n.poison.DecideCase(c)
		list = append(list, Suspect{Case: c, Treatment: d.Treatment.String(), TimeLeft: d.Remaining})
	}
	return list
}

// quarantineHandler returns the handler of QuarantinePath.
func (n *Node) quarantineHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, QuarantinePath)
		switch {
		case r.Method == http.MethodGet && name == "":
			n.writeSuspects(w, n.suspects())
		case r.Method != http.MethodDelete || name == "":
			http.Error(w, "GET "+QuarantinePath+" or DELETE "+QuarantinePath+"NAME", http.StatusMethodNotAllowed)
		case !n.fromThisVM(r):
			// Otherwise a caller could lift the quarantine of its own request.
			http.Error(w, "a request is lifted from the VM of a node", http.StatusForbidden)
		default:
			n.lift(w, name)
		}
	})
}

// writeSuspects writes the list as JSON.
func (n *Node) writeSuspects(w http.ResponseWriter, list []Suspect) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.controlLog.Debug("writing the suspect list failed", "err", err)
	}
}

// fromThisVM reports whether a call comes from the VM of this node.
func (n *Node) fromThisVM(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	return host == n.ip || net.ParseIP(host).IsLoopback()
}

// lift clears a request at all nodes, so that any server may run it again. name is an attempt id or a fingerprint.
func (n *Node) lift(w http.ResponseWriter, name string) {
	now := n.clock.Now()
	lifted := n.poison.ClearByName(now, name)
	if len(lifted) == 0 {
		http.Error(w, "no such request is under suspicion", http.StatusNotFound)
		return
	}
	n.controlLog.Warn("quarantine lifted", "request", name, "cases", len(lifted))
	n.enqueue(func() {
		for _, c := range lifted {
			n.control.suspects.addCleared(now, c)
		}
	})
	n.writeSuspects(w, []Suspect{})
}
