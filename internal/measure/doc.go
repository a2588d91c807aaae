// Package measure runs the decision packages on virtual time against small
// fakes of the network, of callers and of upstream servers, and reports how
// often the invariants of the design page were broken. The same options and
// seed give the same result, byte for byte.
//
// Definitions that the design page leaves open: an opening waits while a slot
// is free if some eligible upstream has had a slot without a request or an
// opening under way for longer than the load interval and one message each way;
// openings with payload are left out, because they may wait for a claim. Work
// after leave counts from the time at which the leaving upstream has the rule.
// Control bytes are those that the busiest node sends while openings arrive.
// A revision is in force when the last node that ran at its acceptance has it.
package measure
