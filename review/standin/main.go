// Command standin holds the stand-ins of the review's scripts: the platform's store, backends, clients and a proxy, around real rockspoked
// processes. It uses the standard library alone.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// The processes end with the thread that started them, which is the main one.
func init() { runtime.LockOSThread() }

// The exit statuses of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(s *site, trouble bool) (int, error){
		"forge": forgedIdentity, "upload": earlyAnswers, "stale": staleState, // the cases 1 to 3
		"reset": resetAnswers, "stop": stopCutsRequests, "foreign": foreignPing, // shown beside them, see REPORT.md
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(c func(s *site, trouble bool) (int, error), root, folder string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	rec := &record{f: f, began: time.Now()}
	s, err := newSite(rec, root)
	if err != nil {
		rec.say("can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	status, err := c(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec.say("exit %d", status)
	return status
}

// routeSpec is a route of the desired state.
type routeSpec struct {
	name, host, prefix, kind, service string
	timeout                           string
	maxAttempts                       int
}

// tenantSpec is a tenant of the desired state.
type tenantSpec struct{ name, key string }

// stateDocument returns op/config as the operator writes it.
func stateDocument(version int64, services []string, tenants []tenantSpec, routes ...routeSpec) []byte {
	var resources []map[string]any
	for _, t := range tenants {
		resources = append(resources, map[string]any{"entryKind": "tenants", "metadata": map[string]any{"name": t.name}, "spec": map[string]any{
			"apiKeys": []string{t.key}, "priority": 0, "ratePerS": 0, "burst": 0,
		}})
	}
	for _, r := range routes {
		resources = append(resources, map[string]any{"entryKind": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": r.host, "pathPrefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "goal": "1500ms", "priority": 0, "service": r.service,
			"maxAttempts": r.maxAttempts,
		}})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{"entryKind": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"healthPath": "/health", "maxConns": 1108, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{"entryKind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"headerBytes": 16384, "bodyBytes": 67108864, "header": "3000ms", "idle": "15000ms",
	}})
	b, _ := json.Marshal(map[string]any{"version": version, "baseVersion": 0, "resources": resources})
	return b
}
