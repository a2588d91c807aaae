// Package slopes measures how state, messages and processor time grow with the
// size of the fleet. docs/CAPACITY.md is computed from its figures. The same
// seed gives the same figures, except for times of the processor and memory.
package slopes
