package mesh

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// HeldBackPath is where a node's metrics listener lists the requests under which servers ended, and takes the word to lift one (DELETE, with the id of
// an attempt or a fingerprint behind it).
const HeldBackPath = "/held-back/"

// Suspect is a request under which servers ended, for who looks after the system.
type Suspect struct {
	poison.Case
	Treatment string        `json:"treatment"`
	For       time.Duration `json:"for_ns"` // how much longer it is held back
}

// suspects returns all of them.
func (n *Node) suspects() []Suspect {
	now := n.clock.Now()
	list := []Suspect{}
	for _, c := range n.poison.SuspectCases(now) {
		j := n.poison.DecideCase(c)
		list = append(list, Suspect{Case: c, Treatment: j.Treatment.String(), For: j.Remaining})
	}
	return list
}

// heldBackHandler serves HeldBackPath.
func (n *Node) heldBackHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, HeldBackPath)
		switch {
		case r.Method == http.MethodGet && name == "":
			n.writeSuspects(w, n.suspects())
		case r.Method != http.MethodDelete || name == "":
			http.Error(w, "GET "+HeldBackPath+" or DELETE "+HeldBackPath+"NAME", http.StatusMethodNotAllowed)
		case !n.fromThisVM(r):
			// Else a caller could have its own request tried again.
			http.Error(w, "a request is lifted from the VM of a node", http.StatusForbidden)
		default:
			n.lift(w, name)
		}
	})
}

func (n *Node) writeSuspects(w http.ResponseWriter, list []Suspect) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.controlLog.Debug("list of suspects broke off", "err", err)
	}
}

// fromThisVM tells whether a call comes from the VM of this node.
func (n *Node) fromThisVM(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	return host == n.ip || net.ParseIP(host).IsLoopback()
}

// lift has a request go anywhere again, at all nodes.
func (n *Node) lift(w http.ResponseWriter, name string) {
	now := n.clock.Now()
	lifted := n.poison.ClearByName(now, name)
	if len(lifted) == 0 {
		http.Error(w, "no such request is under suspicion", http.StatusNotFound)
		return
	}
	n.controlLog.Warn("held back request lifted", "request", name, "cases", len(lifted))
	n.do(func() {
		for _, c := range lifted {
			n.control.suspects.addCleared(now, c)
		}
	})
	n.writeSuspects(w, []Suspect{})
}
