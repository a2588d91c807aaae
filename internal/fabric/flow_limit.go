package fabric

const (
	// flowTableDivisor is the part of the memory of a VM that its flow table may use: one
	// eighth. The garbage collector needs as much again, and packets that wait need more.
	flowTableDivisor = 8
	// flowBytes is the memory for one flow, with room for that of the table itself.
	flowBytes = 400
	// defaultMaxFlows applies if the platform sets no limit of memory.
	defaultMaxFlows = 100_000
	// minMaxFlows applies to VMs with less memory than the programs need.
	minMaxFlows = 1_000
)

// maxFlows returns the size of a flow table.
//
// Load pattern: upstreams with more connections than usual, and callers that go away
// without closing their flows. The table must not keep out flows that the VM has memory
// for, nor end the process for want of memory.
func (c *Config) maxFlows() int {
	if c.MemoryBytes <= 0 {
		return defaultMaxFlows
	}
	return max(minMaxFlows, int(c.MemoryBytes/flowTableDivisor/flowBytes))
}
