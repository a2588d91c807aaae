// Package admission decides which class of requests gets the room of an upstream when
// there is less room than demand. It has no clock, network or randomness of its own.
//
// Load pattern: two classes share upstreams of a few slots. One opens a flow for each
// request and is urgent; the other sends many requests on long flows, which cannot be
// refused. Demand rises to 1.9 times the usual while a third of the upstreams takes five
// times as long for a request. Served in the order of arrival, the urgent requests wait
// behind the others, and most refusals meet the urgent class, because it has the most
// openings.
package admission
