package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checkTeams finds requests that reached a server labeled with a team other than their key's.
func checkTeams(h *history, _ time.Time) (found []Finding) {
	team := map[string]string{}
	for _, a := range h.attempts {
		if a.Key.Key != "" {
			team[a.ID] = teamName(a.Key.Team)
		}
	}
	for _, a := range h.arrivals {
		if want, known := team[a.ID]; known && a.Team != want {
			found = append(found, Finding{"team", fmt.Sprintf("%s came as %q, not as %q", a.ID, a.Team, want)})
		}
	}
	return found
}

// checkRevokedKeys finds requests executed with a key that was revoked more than revokeTime before they were sent.
func checkRevokedKeys(h *history, _ time.Time) (found []Finding) {
	ends := map[string]time.Time{}
	for _, k := range h.keys {
		ends[k.Key] = k.RevokedAt
	}
	runs := h.runsByID()
	for _, a := range h.attempts {
		to := ends[a.Key.Key]
		if !to.IsZero() && a.Begun.Sub(to) > revokeTime && runs[a.ID] > 0 {
			found = append(found, Finding{"revoked key", fmt.Sprintf("%s ran, sent %v after its key was taken away", a.ID, a.Begun.Sub(to))})
		}
	}
	return found
}

// checkValidKeys finds requests that got 401 with a key that was in every desired state.
func checkValidKeys(h *history, _ time.Time) (found []Finding) {
	for _, a := range h.attempts {
		if a.Key.Key != "" && a.Key.Team != teamRekeyed && a.Status == http.StatusUnauthorized {
			found = append(found, Finding{"sound key", fmt.Sprintf("%s got 401 at %s", a.ID, a.VM)})
		}
	}
	return found
}

// checkQuota finds the first window in which the team that exceeds its quota had more requests executed than the quota allows.
func checkQuota(h *history, _ time.Time) (found []Finding) {
	sent := map[string]time.Time{}
	for _, a := range h.attempts {
		if a.Key.Key != "" && a.Key.Team == teamHot {
			sent[a.ID] = a.Begun
		}
	}
	var at []time.Time
	seen := map[string]bool{}
	for _, a := range h.arrivals { // in order of time
		if _, hot := sent[a.ID]; hot && a.Ran && !seen[a.ID] {
			seen[a.ID] = true
			at = append(at, a.At)
		}
	}
	allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaExcess) + quotaSlack
	first := 0
	for i, t := range at {
		for t.Sub(at[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return append(found, Finding{"quota", fmt.Sprintf("%d ran in a window, at most %.0f may", n, allowed)})
		}
	}
	return found
}
