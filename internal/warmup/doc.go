// Package warmup decides how many openings a cold upstream gets.
//
// An upstream is cold for some time after its start, and answers fewer requests than
// later. Its service may state the rate of requests that it bears meanwhile. The rate
// binds what all balancers send together, so the process beside the upstream decides: it
// is the only one that sees every opening.
//
// Belief says whether the upstream is cold, Limiter whether an opening fits into the
// stated rate. Both have no clock, no network and no randomness; callers pass the time.
// Differences of times are taken with the monotonic clock. If it stands still while the
// VM is paused, measured spans are shorter than real ones: windows are left later and
// warm-ups end later, so that fewer openings are admitted than allowed.
package warmup
