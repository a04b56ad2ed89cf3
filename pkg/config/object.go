package config

import (
	"fmt"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindService Kind = "Service"
	KindRoute   Kind = "Route"
	KindClass   Kind = "Class"
	KindPolicy  Kind = "Policy"
	KindVM      Kind = "VM"
)

// Kinds lists every kind in the order in which objects are listed.
var Kinds = []Kind{KindService, KindRoute, KindClass, KindPolicy, KindVM}

// LabelLeaving is a label of VMs; the value "true" makes the VM leave the system.
const LabelLeaving = "rockspoke/leaving"

// Object is one unit of configuration; only the spec of its kind is set, and a VM has none.
type Object struct {
	Kind   Kind              `yaml:"kind" json:"kind"`
	Name   string            `yaml:"name" json:"name"`
	Labels map[string]string `yaml:"labels,omitempty" json:"labels,omitempty"`

	Service *ServiceSpec `yaml:"service,omitempty" json:"service,omitempty"`
	Route   *RouteSpec   `yaml:"route,omitempty" json:"route,omitempty"`
	Class   *ClassSpec   `yaml:"class,omitempty" json:"class,omitempty"`
	Policy  *PolicySpec  `yaml:"policy,omitempty" json:"policy,omitempty"`
}

// ID returns the object's kind and name, as in "Service/billing".
func (o Object) ID() string { return fmt.Sprintf("%s/%s", o.Kind, o.Name) }

// ServiceSpec holds the capacity of each backend server of a service.
type ServiceSpec struct {
	Slots       int `yaml:"slots" json:"slots"`             // concurrent calls that one backend server runs
	Connections int `yaml:"connections" json:"connections"` // connections that one backend server accepts
}

// RouteSpec selects callers' requests by host and path, and the service that they go to.
type RouteSpec struct {
	Host       string `yaml:"host,omitempty" json:"host,omitempty"`             // exact host without port; empty matches all
	PathPrefix string `yaml:"pathPrefix,omitempty" json:"pathPrefix,omitempty"` // empty matches all
	Service    string `yaml:"service" json:"service"`
}

// ClassSpec selects requests by service, method and path, and sets their priority, timeout and execution guarantee.
type ClassSpec struct {
	Tier       priority.Tier `yaml:"tier" json:"tier"`                                 // 0 is shed first, 3 last
	OnceOnly   bool          `yaml:"onceOnly,omitempty" json:"onceOnly,omitempty"`     // may run at most once
	Timeout    time.Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`       // longest time for a root request
	Services   []string      `yaml:"services,omitempty" json:"services,omitempty"`     // empty matches all
	Methods    []string      `yaml:"methods,omitempty" json:"methods,omitempty"`       // empty matches all
	PathPrefix string        `yaml:"pathPrefix,omitempty" json:"pathPrefix,omitempty"` // empty matches all
}

// PolicySpec selects services, routes and classes by labels, and sets how their calls are retried and which VMs serve them.
type PolicySpec struct {
	Selector    string   `yaml:"selector" json:"selector"`                           // matched against the merged labels of service, route and class
	Order       int      `yaml:"order,omitempty" json:"order,omitempty"`             // policies with a higher order take precedence
	Retries     *int     `yaml:"retries,omitempty" json:"retries,omitempty"`         // retries that one root request may use
	RetryShare  *float64 `yaml:"retryShare,omitempty" json:"retryShare,omitempty"`   // limit of retries per new call to one target
	RepeatShare *float64 `yaml:"repeatShare,omitempty" json:"repeatShare,omitempty"` // limit of client retries per new request of one customer
	Targets     []Target `yaml:"targets,omitempty" json:"targets,omitempty"`         // VMs that receive the calls; empty means all of the service
}

// Target selects VMs by their labels and gives them a weight.
type Target struct {
	Selector string `yaml:"selector" json:"selector"`
	Weight   int    `yaml:"weight" json:"weight"`
}

// Document is the whole configuration at one version.
type Document struct {
	Version  int64     `yaml:"version" json:"version"`
	ChangeID string    `yaml:"changeID" json:"changeID"`
	Author   string    `yaml:"author,omitempty" json:"author,omitempty"`
	At       time.Time `yaml:"at" json:"at"`
	Note     string    `yaml:"note,omitempty" json:"note,omitempty"`
	Objects  []Object  `yaml:"objects" json:"objects"`
}

// Find returns the object with the kind and name, or nil.
func (d *Document) Find(kind Kind, name string) *Object {
	for i := range d.Objects {
		if d.Objects[i].Kind == kind && d.Objects[i].Name == name {
			return &d.Objects[i]
		}
	}
	return nil
}
