package intent

// Class groups the requests that are admitted alike when room is scarce.
type Class struct {
	// Priority ranks classes. 0 is the highest priority.
	Priority int
	Kind     RequestKind
}

// Class returns the class of the requests on a route.
func (r *Route) Class() Class { return Class{Priority: r.Priority, Kind: r.Kind} }
