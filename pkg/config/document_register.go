package config

// Register holds the newest Document that a daemon knows; its zero value is empty.
type Register struct {
	doc  *Document
	plan *Plan
}

// Offer replaces the held document if doc is valid and has a higher version, and reports whether it did.
func (r *Register) Offer(doc *Document) bool {
	if doc == nil || doc.Version <= r.Version() {
		return false
	}
	plan, err := Compile(doc)
	if err != nil {
		return false
	}
	r.doc, r.plan = doc, plan
	return true
}

// Version returns the version held, or 0.
func (r *Register) Version() int64 {
	if r.doc == nil {
		return 0
	}
	return r.doc.Version
}

// Document returns the document held, or nil.
func (r *Register) Document() *Document { return r.doc }

// Plan returns the compiled form of the document held, or nil.
func (r *Register) Plan() *Plan { return r.plan }
