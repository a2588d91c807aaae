// Package measure runs the decision packages on virtual time against small
// fakes of the network, of callers and of upstream servers, and reports how
// often the invariants of the design page were broken. The same options and
// seed give the same result, byte for byte.
package measure
