package directory

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// noRecordsPosition is the position in the responses of a control process that
	// serves no records. The tables of others have a position above 0, since they have
	// their own record.
	noRecordsPosition = 0
	// recordBytes is the size of a record in a response.
	recordBytes = 100
	// recordsLinkShare is the share of the link that records may take, averaged over
	// recordsPeriod after all subscribers have started at once.
	recordsLinkShare = 0.2
	recordsPeriod    = time.Second
)

// servesRecords reports whether other processes may get the records of this table.
// Control processes need them from replicas only: every process sends its own record to
// all control processes in turn.
//
// Load pattern: control processes run on every zone's first VMs, some of which have a
// link of 2 Mbit/s. When the processes of 200 VMs start at once, the tables for their
// subscribers filled such a link for seconds. All responses were late then, and
// balancers that got none sent requests to all control processes.
func (s *Server) servesRecords() bool {
	if s.cfg.AlwaysServesRecords || s.cfg.LinkBytesPerSecond == 0 {
		return true
	}
	balancers, controls := 0, 0
	s.table.Entries(vm.RoleBalancer, func(*Entry) { balancers++ })
	s.table.Entries(vm.RoleControl, func(*Entry) { controls++ })
	subscribers := float64(balancers) * min(float64(maxSubscriptions)/float64(max(controls, 1)), 1)
	tableBytes := float64(len(s.table.entries) * recordBytes)
	return subscribers*tableBytes <= recordsLinkShare*s.cfg.LinkBytesPerSecond*recordsPeriod.Seconds()
}
