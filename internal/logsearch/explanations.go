package logsearch

// causes names what an event means for the caller, the most telling first.
var causes = []struct{ event, reason, meaning string }{
	{"reset", "overloaded", "refused: every upstream that was asked had its slots in use and could not answer within the objective; the request has not run"},
	{"reset", "link_full", "refused: the link of the entry VM had no room for another upload; the request has not run"},
	{"reset", "no_upstream", "refused: no upstream of the service takes work; the request has not run"},
	{"reset", "no_route", "refused: the desired state has no route for the virtual address"},
	{"reset", "no_desired_state", "refused: the balancer had just started and knew no desired state; the request has not run"},
	{"reset", "route_removed", "ended: a desired state has removed the route of the flow"},
	{"reset", "nobody_holds", "ended: the upstream that held the flow is gone; every upstream has denied the flow twice"},
	{"reset", "upstream_lost", "ended: the upstream process that held the flow has crashed or started again"},
	{"rejected", "silent", "late: an upstream did not answer the opening, and it was placed elsewhere"},
	{"drop", "not_held", "silent: a packet of a flow that no upstream is known to hold was dropped; the caller sends it again"},
	{"drop", "directory_incomplete", "silent: no upstream that the balancer knew held the flow, but after the start of control others might; it is searched again when all are known"},
	{"drop", "agent_silent", "silent: no upstream that answered held the flow, and the agent at the peer's address did not answer; the caller sends the packet again"},
	{"drop", "agent_unsure", "silent: the agent at the peer's address has started a short while ago and did not say whether its upstream holds the flow; the caller sends the packet again"},
	{"drop", "search_limit", "silent: the balancer did not know the flow and too many others were waiting to be searched; the caller sends the packet again"},
	{"wait", "none_answered", "late: the opening waited for an upstream that was starting or did not answer"},
	{"forward", "placed_again", "late: an upstream returned the opening or its agent did not answer, and it was placed elsewhere"},
	{"forward", "found", "late: the balancer did not know the flow and had to ask the agents for its holder"},
	{"not_found", "", "late: an upstream had no longer the flow that a balancer sent it"},
}

// cause returns the meaning of the most telling entry.
func cause(entries []Entry) string {
	for _, c := range causes {
		for _, e := range entries {
			if e.Event == c.event && (c.reason == "" || e.Reason == c.reason) {
				return c.meaning
			}
		}
	}
	return "no decision of a balancer or agent explains a failure: the packets were passed on, look at the upstream and the network"
}
