package config

import (
	"fmt"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Kind names a sort of object.
type Kind string

// The kinds of object.
const (
	KindService Kind = "Service"
	KindRoute   Kind = "Route"
	KindClass   Kind = "Class"
	KindPolicy  Kind = "Policy"
	KindVM      Kind = "VM"
)

// Kinds lists every kind in the order of listings.
var Kinds = []Kind{KindService, KindRoute, KindClass, KindPolicy, KindVM}

// LabelLeaving is the label of a VM that is to leave when its value is "true".
const LabelLeaving = "rockspoke/leaving"

// Object is one configured thing; exactly the spec of its kind is set.
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

// ServiceSpec describes one service of the call graph.
type ServiceSpec struct {
	Slots       int `yaml:"slots" json:"slots"`             // calls that one backend server runs at once
	Connections int `yaml:"connections" json:"connections"` // connections that one backend server takes
}

// RouteSpec leads callers' requests to a service.
type RouteSpec struct {
	Host       string `yaml:"host,omitempty" json:"host,omitempty"`             // exact host without port; empty matches all
	PathPrefix string `yaml:"pathPrefix,omitempty" json:"pathPrefix,omitempty"` // empty matches all
	Service    string `yaml:"service" json:"service"`
}

// ClassSpec sorts requests and says what they need.
type ClassSpec struct {
	Tier       priority.Tier `yaml:"tier" json:"tier"`                                 // 0 is shed first, 3 last
	OnceOnly   bool          `yaml:"onceOnly,omitempty" json:"onceOnly,omitempty"`     // may run at most once
	Timeout    time.Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`       // longest time for a root request
	Services   []string      `yaml:"services,omitempty" json:"services,omitempty"`     // empty matches all
	Methods    []string      `yaml:"methods,omitempty" json:"methods,omitempty"`       // empty matches all
	PathPrefix string        `yaml:"pathPrefix,omitempty" json:"pathPrefix,omitempty"` // empty matches all
}

// PolicySpec attaches to services, routes and classes by labels and says how their calls are treated.
type PolicySpec struct {
	Selector    string   `yaml:"selector" json:"selector"`                           // over the labels of service, route and class together
	Order       int      `yaml:"order,omitempty" json:"order,omitempty"`             // a higher order goes first
	Retries     *int     `yaml:"retries,omitempty" json:"retries,omitempty"`         // retry tokens of a root request
	RetryShare  *float64 `yaml:"retryShare,omitempty" json:"retryShare,omitempty"`   // retries per fresh call that one target takes
	RepeatShare *float64 `yaml:"repeatShare,omitempty" json:"repeatShare,omitempty"` // repeats per fresh request that one customer may send
	Targets     []Target `yaml:"targets,omitempty" json:"targets,omitempty"`         // which VMs take the calls
}

// Target picks VMs by their labels with a weight.
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

// Find returns the object of the kind and name, or nil.
func (d *Document) Find(kind Kind, name string) *Object {
	for i := range d.Objects {
		if d.Objects[i].Kind == kind && d.Objects[i].Name == name {
			return &d.Objects[i]
		}
	}
	return nil
}
