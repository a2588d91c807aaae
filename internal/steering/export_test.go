package steering

import "time"

// PresumeCold gives tests the hook of a zone that returns to service.
func (a *Agent) PresumeCold(now time.Time) { a.presumeCold(now) }
