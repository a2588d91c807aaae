// Package slopes measures how state, messages and processor time grow with the
// size of the fleet. The figures of docs/CAPACITY.md are derived from its output.
// The same seed gives the same figures, except for processor times and memory
// sizes.
package slopes
