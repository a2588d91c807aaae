// Package membership decides which processes are alive and spreads what they
// announce. It does no I/O: it takes the time and received message bodies and
// returns messages to send and changes of members. A Node is used from one
// goroutine at a time.
//
// Inside a zone members probe each other and gossip changes. Between zones two
// delegates per zone exchange the changes of their own zone. Digests repair
// what was lost. A record is ordered by incarnation, then version, then the
// verdict of its observers, so that old records never replace newer ones and
// a member refutes a verdict by announcing a higher version.
//
// Records of other zones are leased per zone: the delegates of a zone advance
// its stamp, and a zone whose stamp has not advanced for the lease is shown as
// failed. Renewing every record by itself would cost each node more than the
// whole budget for control traffic at 6,600 members.
package membership
