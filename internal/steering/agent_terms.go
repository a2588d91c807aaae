package steering

import "time"

// SetTerms applies terms unless their revision is not newer than the current one. It
// reports whether they were applied.
func (a *Agent) SetTerms(now time.Time, terms Terms) bool {
	if a.termsKnown && terms.Revision <= a.terms.Revision {
		return false
	}
	a.terms, a.termsKnown = terms, true
	a.applyWarmUpTerms(now)
	return true
}
