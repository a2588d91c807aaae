package logsearch

// explanations lists what the events in a decision log mean for the caller. If
// several events are found, the first match in this order explains the failure.
var explanations = []struct{ event, reason, text string }{
	{"reset", "overloaded", "refused: every upstream that was tried had all slots in use and could not respond within the objective; the request has not run"},
	{"reset", "link_full", "refused: the network link of the entry VM had no capacity for another upload; the request has not run"},
	{"reset", "all_warming_up", "refused: the upstreams that could take it are cold and have got as many openings as they bear; the request has not run"},
	{"reset", "no_upstream", "refused: no upstream of the service accepts openings; the request has not run"},
	{"reset", "no_route", "refused: the desired state has no route for the virtual address"},
	{"reset", "no_desired_state", "refused: the balancer had just started and had not received a desired state; the request has not run"},
	{"reset", "route_removed", "ended: a desired state has removed the route of the flow"},
	{"reset", "nobody_holds", "ended: the upstream that held the flow has left or failed; every upstream has reported twice that it does not hold the flow"},
	{"reset", "upstream_lost", "ended: the upstream process that held the flow has crashed or started again"},
	{"rejected", "silent", "late: an upstream did not respond to the opening, and another upstream was selected"},
	{"drop", "not_held", "silent: a packet was dropped because no upstream is known to hold its flow; the caller sends the packet again"},
	{"drop", "directory_incomplete", "silent: no upstream in the balancer's directory held the flow, but the directory was incomplete after a start of control; the holder is looked up again when the directory is complete"},
	{"drop", "agent_silent", "silent: no upstream that responded held the flow, and the agent at the peer's address did not respond; the caller sends the packet again"},
	{"drop", "agent_unsure", "silent: the agent at the peer's address had just started and could not determine whether its upstream holds the flow; the caller sends the packet again"},
	{"drop", "search_limit", "silent: the flow was not in the balancer's table, and too many other flows were queued for a holder lookup; the caller sends the packet again"},
	{"wait", "none_answered", "late: the opening was queued because the upstreams were starting or did not respond"},
	{"forward", "placed_again", "late: an upstream returned the opening or its agent did not respond, and another upstream was selected"},
	{"forward", "found", "late: the flow was not in the balancer's table, and the balancer had to look up its holder at the agents"},
	{"not_found", "", "late: an upstream no longer held a flow whose packet a balancer forwarded to it"},
}

// explain returns the first explanation that matches any of the entries.
func explain(entries []Entry) string {
	for _, explanation := range explanations {
		for _, e := range entries {
			if e.Event == explanation.event && (explanation.reason == "" || e.Reason == explanation.reason) {
				return explanation.text
			}
		}
	}
	return "no decision of a balancer or agent explains a failure: the packets were forwarded; check the upstream and the network"
}
